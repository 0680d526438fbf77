import { runAfterReads } from './run-after-reads.js';

/**
 * Runs a callback once a time has passed without the read that would have cancelled it. Reads that are due by
 * then come first, see `runAfterReads`.
 *
 * @returns a function that cancels the timeout
 * @example
 * const cancelTimeout = startReadTimeout(() => fail('no answer in time'), 500);
 * socket.once('data', cancelTimeout);
 */
export const startReadTimeout = (callback: () => void, timeoutMs: number): (() => void) => {
  let isCancelled = false;
  const timer = setTimeout(
    () =>
      runAfterReads(() => {
        if (!isCancelled) callback();
      }),
    timeoutMs,
  );
  return () => {
    isCancelled = true;
    clearTimeout(timer);
  };
};
