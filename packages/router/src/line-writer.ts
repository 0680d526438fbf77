import { write } from 'node:fs';

/** Bytes of lines that wait for a slow reader before lines are left out. */
const maxQueuedBytes = 512 * 1_024;

/** Time for which lines are gathered before they are written together. */
const batchDelayMs = 100;

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
  writeBytes: (data: Buffer, done: (writtenBytes: number) => void) => void,
): LineWriter => {
  let queuedLines: string[] = [];
  let queuedBytes = 0;
  let dropped = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let flushCallbacks: (() => void)[] = [];

  const finishWrite = (): void => {
    isWriting = false;
    if (queuedLines.length > 0) scheduleWrite();
    flushCallbacks.forEach((done) => done());
    flushCallbacks = [];
  };

  const writeAll = (data: Buffer): void =>
    writeBytes(data, (writtenBytes) => {
      if (writtenBytes > 0 && writtenBytes < data.length) writeAll(data.subarray(writtenBytes));
      else finishWrite();
    });

  const writeQueued = (): void => {
    timer = undefined;
    if (isWriting || queuedLines.length === 0) return;
    isWriting = true;
    const data = Buffer.from(queuedLines.join(''));
    queuedLines = [];
    queuedBytes = 0;
    writeAll(data);
  };

  const scheduleWrite = (): void => {
    if (isWriting || timer) return;
    timer = setTimeout(writeQueued, batchDelayMs);
    timer.unref();
  };

  return {
    write: (line) => {
      if (queuedBytes + line.length > maxQueuedBytes) {
        dropped += 1;
        return false;
      }
      queuedLines.push(line);
      queuedBytes += line.length;
      scheduleWrite();
      return true;
    },
    takeDroppedCount: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
    flush: () =>
      new Promise((resolve) => {
        if (!isWriting && queuedLines.length === 0) {
          resolve();
          return;
        }
        flushCallbacks.push(resolve);
        if (timer) clearTimeout(timer);
        writeQueued();
      }),
  };
};

/** Writes to a descriptor on a thread of the pool, so that a full pipe blocks no request. */
export const writeToDescriptor =
  (fd: number) =>
  (data: Buffer, done: (writtenBytes: number) => void): void => {
    write(fd, data, (error, writtenBytes) => {
      if (error?.code === 'EAGAIN')
        setTimeout(() => writeToDescriptor(fd)(data, done), batchDelayMs);
      // A closed reader can't be told of its loss.
      else done(error ? 0 : writtenBytes);
    });
  };
