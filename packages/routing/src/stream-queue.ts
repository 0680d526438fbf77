/** A stream that is waiting for engine memory. */
export interface WaitingStream {
  readonly id: string;
  readonly service: string;
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Tokens of engine memory that it needs to start. */
  readonly neededTokens: number;
  readonly arrivedAt: number;
  /** Time at which it is refused if it has not been placed. */
  readonly waitUntil: number;
  /** Tries to place it; returns true if it no longer needs to wait. */
  readonly tryPlace: (now: number) => boolean;
  /** Refuses it; memory is predicted to be free after `retryAfterMs`. */
  readonly refuse: (retryAfterMs: number, reason: string) => void;
}

/** Queue of the streams that wait at this VM, ordered by priority and arrival. */
export interface StreamQueue {
  readonly push: (stream: WaitingStream) => void;
  readonly remove: (id: string) => void;
  /** Places the streams that fit and refuses those whose wait time has expired. */
  readonly process: (now: number) => void;
  readonly waitingTokens: (service: string) => number;
  readonly size: () => number;
}

/** Number of streams that do not fit after which no later stream is tried. */
const maxSkippedStreams = 4;

/** Minimum time after which a refused caller may retry. */
const minRetryDelayMs = 300;

const compareStreams = (a: WaitingStream, b: WaitingStream): number =>
  a.priority - b.priority || a.arrivedAt - b.arrivedAt;

/**
 * Creates an empty queue.
 *
 * Load pattern: bursts of twice the usual arrival rate for a few seconds. A stream waits only
 * while it can still meet its latency target. Smaller streams can't overtake a large one
 * indefinitely, since only a few streams that don't fit are skipped.
 *
 * @param predictFreeMs - predicts the time until a service has a number of tokens free
 * @example
 * const queue = makeStreamQueue(() => 500);
 * queue.process(now);
 */
export const makeStreamQueue = (
  predictFreeMs: (service: string, tokens: number, now: number) => number,
): StreamQueue => {
  const waiting: WaitingStream[] = [];
  const remove = (id: string): void => {
    const index = waiting.findIndex((stream) => stream.id === id);
    if (index >= 0) waiting.splice(index, 1);
  };
  const refuseExpired = (now: number): void => {
    const expired = waiting.filter((stream) => stream.waitUntil <= now);
    expired.forEach((stream) => {
      remove(stream.id);
      const retryDelayMs = predictFreeMs(stream.service, stream.neededTokens, now);
      stream.refuse(Math.max(minRetryDelayMs, retryDelayMs), 'no memory in time');
    });
  };
  return {
    push: (stream) => {
      const index = waiting.findIndex((other) => compareStreams(stream, other) < 0);
      if (index < 0) waiting.push(stream);
      else waiting.splice(index, 0, stream);
    },
    remove,
    process: (now) => {
      refuseExpired(now);
      let skipped = 0;
      [...waiting].every((stream) => {
        if (stream.tryPlace(now)) remove(stream.id);
        else skipped += 1;
        return skipped < maxSkippedStreams;
      });
    },
    waitingTokens: (service) =>
      waiting.reduce(
        (sum, stream) => (stream.service === service ? sum + stream.neededTokens : sum),
        0,
      ),
    size: () => waiting.length,
  };
};
