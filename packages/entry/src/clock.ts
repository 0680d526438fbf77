import { performance } from 'node:perf_hooks';
import type { Clock } from '@hemlocksill/types/ports.js';

/** Milliseconds on the process's monotonic clock. */
export const readClock: Clock = () => performance.now();

/** Waits until a time of the monotonic clock, or until the signal is aborted. */
export const sleepUntil = (time: number, signal?: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const timer = setTimeout(() => finish(), Math.max(0, time - readClock()));
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    signal?.addEventListener('abort', finish);
  });

/**
 * Runs a task again and again until the signal is aborted; a pass begins `periodMs` after
 * the one before has ended.
 */
export const repeatUntilStopped = async (
  periodMs: number,
  signal: AbortSignal,
  task: () => Promise<void>,
): Promise<void> => {
  while (!signal.aborted) {
    await task();
    await sleepUntil(readClock() + periodMs, signal);
  }
};
