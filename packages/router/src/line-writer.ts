import { write } from 'node:fs';

/** Bytes of lines that wait for a slow reader before lines are left out. */
const mostWaitingBytes = 512 * 1_024;

/** Time for which lines are gathered before they are written together. */
const gatherMs = 100;

/** Writes lines to a descriptor without ever blocking the process. */
export interface LineWriter {
  /** Takes a line; false when it is left out because the reader is too slow. */
  readonly write: (line: string) => boolean;
  /** Lines left out since the last question. */
  readonly takeDroppedCount: () => number;
  /** Writes what waits, as far as the reader takes it in time. */
  readonly flush: () => Promise<void>;
}

/**
 * Makes a writer of lines; what a slow reader does not take is counted and left out.
 *
 * @param writeBytes - writes to the descriptor and calls back with the bytes taken
 * @example
 * makeLineWriter(writeToDescriptor(1)).write('{}\n');
 */
export const makeLineWriter = (
  writeBytes: (data: Buffer, done: (taken: number) => void) => void,
): LineWriter => {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let leftOut = 0;
  let busy = false;
  let timer: NodeJS.Timeout | undefined;
  let idle: (() => void)[] = [];

  const settle = (): void => {
    busy = false;
    if (waiting.length > 0) schedule();
    idle.forEach((done) => done());
    idle = [];
  };

  const writeAll = (data: Buffer): void =>
    writeBytes(data, (taken) => {
      if (taken > 0 && taken < data.length) writeAll(data.subarray(taken));
      else settle();
    });

  const send = (): void => {
    timer = undefined;
    if (busy || waiting.length === 0) return;
    busy = true;
    const data = Buffer.from(waiting.join(''));
    waiting = [];
    waitingBytes = 0;
    writeAll(data);
  };

  const schedule = (): void => {
    if (busy || timer) return;
    timer = setTimeout(send, gatherMs);
    timer.unref();
  };

  return {
    write: (line) => {
      if (waitingBytes + line.length > mostWaitingBytes) {
        leftOut += 1;
        return false;
      }
      waiting.push(line);
      waitingBytes += line.length;
      schedule();
      return true;
    },
    takeDroppedCount: () => {
      const count = leftOut;
      leftOut = 0;
      return count;
    },
    flush: () =>
      new Promise((resolve) => {
        if (!busy && waiting.length === 0) {
          resolve();
          return;
        }
        idle.push(resolve);
        if (timer) clearTimeout(timer);
        send();
      }),
  };
};

/** Writes to a descriptor on a thread of the pool, so that a full pipe blocks no request. */
export const writeToDescriptor =
  (fd: number) =>
  (data: Buffer, done: (taken: number) => void): void => {
    write(fd, data, (error, taken) => {
      if (error?.code === 'EAGAIN') setTimeout(() => writeToDescriptor(fd)(data, done), gatherMs);
      // A closed reader can't be told of its loss.
      else done(error ? 0 : taken);
    });
  };
