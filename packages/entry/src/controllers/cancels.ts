import { readClock, sleepUntil } from '../clock.js';
import type { EngineClient } from '../engine-client.js';

const firstPauseMs = 100;
const longestPauseMs = 2_000;
const giveUpMs = 30_000;

/** A start that was under way may arrive after its cancel; so it is sent once more. */
const secondCancelMs = 1_000;

/** Cancels requests at engines until the engines have confirmed. */
export interface Cancels {
  readonly cancel: (url: string, id: string) => void;
  readonly countPending: () => number;
}

/** Makes a sender of cancels. */
export const makeCancels = (engines: EngineClient): Cancels => {
  let open = 0;

  const cancelOnce = async (url: string, id: string): Promise<void> => {
    const deadline = readClock() + giveUpMs;
    let pauseMs = firstPauseMs;
    while (readClock() < deadline) {
      const done = await engines.cancel(url, id);
      if (done.isOk()) return;
      await sleepUntil(readClock() + pauseMs);
      pauseMs = Math.min(longestPauseMs, pauseMs * 2);
    }
  };

  const run = async (url: string, id: string): Promise<void> => {
    open += 1;
    await cancelOnce(url, id);
    await sleepUntil(readClock() + secondCancelMs);
    await cancelOnce(url, id);
    open -= 1;
  };

  return { cancel: (url, id) => void run(url, id), countPending: () => open };
};
