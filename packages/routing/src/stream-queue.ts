/** A stream that is waiting for engine memory. */
export interface WaitingStream {
  readonly id: string;
  readonly service: string;
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Tokens of engine memory that the stream needs to start. */
  readonly neededTokens: number;
  /** Time of the caller's first attempt, as far as it is known. */
  readonly arrivedAt: number;
  /** Time until which the stream can be placed and still meet its latency target. */
  readonly onTimeUntil: number;
  /** Time at which the stream is refused if it has not been placed. */
  readonly waitUntil: number;
  /** Tries to place the stream; returns true if it no longer needs to wait. */
  readonly tryPlace: (now: number) => boolean;
  /** Refuses the stream; memory is predicted to be free after `retryAfterMs`. */
  readonly refuse: (retryAfterMs: number, reason: string) => void;
}

/**
 * Queue of the streams that wait at this VM: first those that can still meet their latency target,
 * then the late ones, each ordered by priority and arrival.
 */
export interface StreamQueue {
  readonly push: (stream: WaitingStream) => void;
  readonly remove: (id: string) => void;
  /** Places the streams for which memory is free and refuses those whose wait time has expired. */
  readonly process: (now: number) => void;
  /** Tokens needed by all streams that wait for a service. */
  readonly countWaitingTokens: (service: string) => number;
  /** Tokens needed by the streams that can still meet their latency target. */
  readonly countOnTimeTokens: (service: string, now: number) => number;
  readonly size: () => number;
}

/** Number of streams without enough free memory after which no later stream is tried. */
const maxSkippedStreams = 4;

/** Minimum time after which a refused caller may retry. */
const minRetryDelayMs = 300;

const compareStreams = (a: WaitingStream, b: WaitingStream): number =>
  a.priority - b.priority || a.arrivedAt - b.arrivedAt;

const sumTokens = (streams: readonly WaitingStream[]): number =>
  streams.reduce((sum, { neededTokens }) => sum + neededTokens, 0);

/** Predictions and states outside of a queue that its decisions depend on. */
export interface QueueInputs {
  /** Predicts the time until a service has a number of tokens free, in milliseconds. */
  readonly predictMemoryWaitMs: (service: string, tokens: number, now: number) => number;
  /** Whether streams that can still meet their latency target wait at another VM. */
  readonly hasOnTimeElsewhere: (service: string, now: number) => boolean;
}

/**
 * Creates an empty queue.
 *
 * Load pattern: bursts of twice the usual arrival rate for a few seconds. A stream that can no
 * longer meet its latency target gets memory that no other stream could use in time; refused, it
 * would come back into the same burst. Smaller streams can't overtake a large one indefinitely,
 * since only a few streams that don't fit are skipped.
 *
 * @example
 * const queue = makeStreamQueue({ predictMemoryWaitMs: () => 500, hasOnTimeElsewhere: () => false });
 * queue.process(now);
 */
export const makeStreamQueue = (inputs: QueueInputs): StreamQueue => {
  const waitingStreams: WaitingStream[] = [];
  const remove = (id: string): void => {
    const index = waitingStreams.findIndex((stream) => stream.id === id);
    if (index >= 0) waitingStreams.splice(index, 1);
  };
  const refuseExpired = (now: number): void => {
    const expired = waitingStreams.filter((stream) => stream.waitUntil <= now);
    expired.forEach((stream) => {
      remove(stream.id);
      const retryDelayMs = inputs.predictMemoryWaitMs(stream.service, stream.neededTokens, now);
      stream.refuse(Math.max(minRetryDelayMs, retryDelayMs), 'no memory in time');
    });
  };
  const isOnTime = (stream: WaitingStream, now: number): boolean => stream.onTimeUntil > now;

  /** Tries streams in order; returns the services of those that don't fit. */
  const tryStreams = (streams: readonly WaitingStream[], now: number): Set<string> => {
    const fullServices = new Set<string>();
    let skipped = 0;
    streams.every((stream) => {
      if (stream.tryPlace(now)) remove(stream.id);
      else {
        skipped += 1;
        fullServices.add(stream.service);
      }
      return skipped < maxSkippedStreams;
    });
    return fullServices;
  };
  return {
    push: (stream) => {
      const index = waitingStreams.findIndex((other) => compareStreams(stream, other) < 0);
      if (index < 0) waitingStreams.push(stream);
      else waitingStreams.splice(index, 0, stream);
    },
    remove,
    process: (now) => {
      refuseExpired(now);
      const onTime = waitingStreams.filter((stream) => isOnTime(stream, now));
      const late = waitingStreams.filter((stream) => !isOnTime(stream, now));
      const fullServices = tryStreams(onTime, now);
      tryStreams(
        late.filter(
          ({ service }) => !fullServices.has(service) && !inputs.hasOnTimeElsewhere(service, now),
        ),
        now,
      );
    },
    countWaitingTokens: (service) =>
      sumTokens(waitingStreams.filter((stream) => stream.service === service)),
    countOnTimeTokens: (service, now) =>
      sumTokens(
        waitingStreams.filter((stream) => stream.service === service && isOnTime(stream, now)),
      ),
    size: () => waitingStreams.length,
  };
};
