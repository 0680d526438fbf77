/** Runs a callback once what the operating system has received by now was read. */
export type RunAfterReads = (callback: () => void) => void;

/**
 * Runs a callback after the reads that are due. Timers come before them: in a process that has not run for a
 * while, a timer can't tell what has not been sent from what has not been read. A connection that is paused is
 * not read.
 *
 * @example
 * setTimeout(() => runAfterReads(() => closeIfIdle(socket)), 500);
 */
export const runAfterReads: RunAfterReads = (callback) => {
  setImmediate(callback);
};

/**
 * Resolves after the reads that are due, see `runAfterReads`.
 *
 * @example
 * await waitForReads();
 */
export const waitForReads = (): Promise<void> =>
  new Promise((resolve) => {
    runAfterReads(resolve);
  });
