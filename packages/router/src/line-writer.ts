import { write } from 'node:fs';

/** Total length of queued lines beyond which further lines are dropped, in characters. */
const maxQueuedChars = 512 * 1_024;

/** Time for which lines are collected into one write. */
const batchDelayMs = 100;

/** Writes lines to a file descriptor without blocking the process. */
export interface LineWriter {
  /** Queues a line; false if it is dropped because the reader is too slow. */
  readonly write: (line: string) => boolean;
  /** Returns the number of lines dropped since the last call. */
  readonly takeDroppedCount: () => number;
  /** Writes the queued lines; resolves when the current write has ended. */
  readonly flush: () => Promise<void>;
}

/**
 * Makes a line writer; lines that a slow reader does not accept are dropped and counted.
 *
 * @param writeBytes - writes to the descriptor and calls back with the number of bytes written
 * @example
 * makeLineWriter(writeToDescriptor(1)).write('{}\n');
 */
export const makeLineWriter = (
  writeBytes: (data: Buffer, done: (writtenBytes: number) => void) => void,
): LineWriter => {
  let queuedLines: string[] = [];
  let queuedChars = 0;
  let droppedCount = 0;
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
    queuedChars = 0;
    writeAll(data);
  };

  const scheduleWrite = (): void => {
    if (isWriting || timer) return;
    timer = setTimeout(writeQueued, batchDelayMs);
    timer.unref();
  };

  return {
    write: (line) => {
      if (queuedChars + line.length > maxQueuedChars) {
        droppedCount += 1;
        return false;
      }
      queuedLines.push(line);
      queuedChars += line.length;
      scheduleWrite();
      return true;
    },
    takeDroppedCount: () => {
      const count = droppedCount;
      droppedCount = 0;
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

/** Writes to a descriptor on the thread pool, so that a full pipe does not block requests. */
export const writeToDescriptor =
  (fd: number) =>
  (data: Buffer, done: (writtenBytes: number) => void): void => {
    write(fd, data, (error, writtenBytes) => {
      if (error?.code === 'EAGAIN')
        setTimeout(() => writeToDescriptor(fd)(data, done), batchDelayMs);
      // Other errors mean that the reader has closed: the data is discarded.
      else done(error ? 0 : writtenBytes);
    });
  };
