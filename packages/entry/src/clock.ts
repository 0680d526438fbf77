import { performance } from 'node:perf_hooks';
import type { Clock } from '@hemlocksill/types/ports.js';

/** Returns the time of the process's monotonic clock, in milliseconds. */
export const readClock: Clock = () => performance.now();

/** Sleeps until a time of the monotonic clock, or until the signal is aborted. */
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
 * Runs a task repeatedly until the signal is aborted; each run starts `periodMs` after the
 * previous one has ended.
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
