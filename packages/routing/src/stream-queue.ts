/** A stream that waits for engine memory. */
export interface WaitingStream {
  readonly id: string;
  readonly service: string;
  readonly workspace: string;
  readonly priority: number;
  readonly neededTokens: number;
  readonly arrivedAt: number;
  /** Time until which it is worth waiting. */
  readonly waitUntil: number;
  /** Tries to place it; true when it has left the queue. */
  readonly tryPlace: (now: number) => boolean;
  /** Refuses it, with the time after which a place is predicted. */
  readonly refuse: (retryAfterMs: number, reason: string) => void;
}

/** Streams that wait at this VM, in the order in which they are served. */
export interface StreamQueue {
  readonly push: (stream: WaitingStream) => void;
  readonly remove: (id: string) => void;
  /** Serves what fits and refuses what is no longer worth waiting. */
  readonly process: (now: number) => void;
  readonly waitingTokens: (service: string) => number;
  readonly size: () => number;
}

/** Requests that may be passed over by smaller ones before the queue waits for the first. */
const mostPassedOver = 4;

/** Shortest time after which a refused caller is asked to return. */
const shortestRetryMs = 300;

const compare = (a: WaitingStream, b: WaitingStream): number =>
  a.priority - b.priority || a.arrivedAt - b.arrivedAt;

/**
 * Makes an empty queue.
 *
 * Load pattern: bursts of twice the usual arrivals for a few seconds. A request waits only
 * while it can still be answered within its objective; a large one is not passed over for
 * ever by smaller ones.
 *
 * @param predictFreeMs - predicts how long a service takes to free some tokens
 * @example
 * const queue = makeStreamQueue(() => 500);
 * queue.review(now);
 */
export const makeStreamQueue = (
  predictFreeMs: (service: string, tokens: number, now: number) => number,
): StreamQueue => {
  const waiting: WaitingStream[] = [];
  const remove = (id: string): void => {
    const at = waiting.findIndex((one) => one.id === id);
    if (at >= 0) waiting.splice(at, 1);
  };
  const refuseLate = (now: number): void => {
    const late = waiting.filter((one) => one.waitUntil <= now);
    late.forEach((one) => {
      remove(one.id);
      const retryMs = predictFreeMs(one.service, one.neededTokens, now);
      one.refuse(Math.max(shortestRetryMs, retryMs), 'no memory in time');
    });
  };
  return {
    push: (stream) => {
      const at = waiting.findIndex((one) => compare(stream, one) < 0);
      if (at < 0) waiting.push(stream);
      else waiting.splice(at, 0, stream);
    },
    remove,
    process: (now) => {
      refuseLate(now);
      let passed = 0;
      [...waiting].every((stream) => {
        if (stream.tryPlace(now)) remove(stream.id);
        else passed += 1;
        return passed < mostPassedOver;
      });
    },
    waitingTokens: (service) =>
      waiting.reduce((sum, one) => (one.service === service ? sum + one.neededTokens : sum), 0),
    size: () => waiting.length,
  };
};
