import { readClock, sleepUntil } from '../clock.js';
import type { EngineClient } from '../engine-client.js';

const initialRetryDelayMs = 100;
const maxRetryDelayMs = 2_000;
const cancelTimeoutMs = 30_000;

/** A start in flight may reach the engine after its cancel, so the cancel is sent twice. */
const secondCancelDelayMs = 1_000;

/** Cancels requests at engines, and retries each cancel until the engine confirms it. */
export interface Cancels {
  readonly cancel: (url: string, id: string) => void;
  readonly countPending: () => number;
}

/** Creates a sender of cancels. */
export const makeCancels = (engines: EngineClient): Cancels => {
  let pendingCount = 0;

  const cancelWithRetry = async (url: string, id: string): Promise<void> => {
    const deadline = readClock() + cancelTimeoutMs;
    let retryDelayMs = initialRetryDelayMs;
    while (readClock() < deadline) {
      const cancelled = await engines.cancel(url, id);
      if (cancelled.isOk()) return;
      await sleepUntil(readClock() + retryDelayMs);
      retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
    }
  };

  const cancelTwice = async (url: string, id: string): Promise<void> => {
    pendingCount += 1;
    await cancelWithRetry(url, id);
    await sleepUntil(readClock() + secondCancelDelayMs);
    await cancelWithRetry(url, id);
    pendingCount -= 1;
  };

  return { cancel: (url, id) => void cancelTwice(url, id), countPending: () => pendingCount };
};
