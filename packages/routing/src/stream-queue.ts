import { listBoundRows, type WaitingRows } from './bound-streams.js';

/** A stream that is waiting for engine memory. */
export interface WaitingStream {
  readonly id: string;
  readonly service: string;
  /** Software version to which the stream is bound since it has begun. */
  readonly softwareVersion: string | undefined;
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Tokens of engine memory that the stream needs to start. */
  readonly neededTokens: number;
  readonly arrivedAt: number;
  /** Time at which the caller was refused before, if it has returned. */
  readonly refusedAt?: number;
  /** Time at which the stream is refused if it has not been placed. */
  readonly waitUntil: number;
  /** Tries to place the stream; returns true if it no longer needs to wait. */
  readonly tryPlace: (now: number) => boolean;
  /** Refuses the stream; memory is predicted to be free after `retryAfterMs`. */
  readonly refuse: (retryAfterMs: number, reason: string) => void;
}

/** Queue of the streams that wait at this VM, ordered by priority and arrival. */
export interface StreamQueue {
  readonly push: (stream: WaitingStream) => void;
  readonly remove: (id: string) => void;
  /** Places the streams for which memory is free and refuses those whose wait time has expired. */
  readonly process: (now: number) => void;
  readonly countWaitingTokens: (service: string) => number;
  /** Tokens that the streams need which have begun, as other VMs are told of them. */
  readonly listBoundRows: () => WaitingRows;
  readonly size: () => number;
}

/**
 * Number of streams without enough free memory after which no later stream of the same service, and of the
 * same software version if they are bound to one, is tried.
 */
const maxSkippedStreams = 4;

/** Minimum time after which a refused caller may retry. */
const minRetryDelayMs = 300;

const isBound = ({ softwareVersion }: WaitingStream): boolean => softwareVersion !== undefined;

/** Of the same priority, streams that have begun come first: fewer engines can take them. */
const compareStreams = (a: WaitingStream, b: WaitingStream): number =>
  a.priority - b.priority || Number(isBound(b)) - Number(isBound(a)) || a.arrivedAt - b.arrivedAt;

/**
 * Creates an empty queue.
 *
 * Load pattern: bursts of twice the usual arrival rate for a few seconds. A stream waits only
 * while it can still meet its latency target. Smaller streams can't overtake a large one
 * indefinitely, since only a few streams that don't fit are skipped.
 *
 * @param predictMemoryWaitMs - predicts the time until a service has a number of tokens free
 * @example
 * const queue = makeStreamQueue(() => 500);
 * queue.process(now);
 */
export const makeStreamQueue = (
  predictMemoryWaitMs: (service: string, tokens: number, now: number) => number,
): StreamQueue => {
  const waitingStreams: WaitingStream[] = [];
  const remove = (id: string): void => {
    const index = waitingStreams.findIndex((stream) => stream.id === id);
    if (index >= 0) waitingStreams.splice(index, 1);
  };
  const refuseExpired = (now: number): void => {
    const expired = waitingStreams.filter((stream) => stream.waitUntil <= now);
    expired.forEach((stream) => {
      remove(stream.id);
      const retryDelayMs = predictMemoryWaitMs(stream.service, stream.neededTokens, now);
      stream.refuse(Math.max(minRetryDelayMs, retryDelayMs), 'no memory in time');
    });
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
      const skipped = new Map<string, number>();
      [...waitingStreams].forEach((stream) => {
        const group = `${stream.service} ${stream.softwareVersion ?? ''}`;
        const skippedOfGroup = skipped.get(group) ?? 0;
        if (skippedOfGroup >= maxSkippedStreams) return;
        if (stream.tryPlace(now)) remove(stream.id);
        else skipped.set(group, skippedOfGroup + 1);
      });
    },
    countWaitingTokens: (service) =>
      waitingStreams.reduce(
        (sum, stream) => (stream.service === service ? sum + stream.neededTokens : sum),
        0,
      ),
    listBoundRows: () => listBoundRows(waitingStreams),
    size: () => waitingStreams.length,
  };
};

/**
 * Joins queues of different streams to one; streams are added to a single queue directly.
 *
 * @example
 * joinQueues([admission, makeStreamQueue(() => 500)]).size();
 */
export const joinQueues = (queues: readonly StreamQueue[]): Omit<StreamQueue, 'push'> => ({
  remove: (id) => queues.forEach((queue) => queue.remove(id)),
  process: (now) => queues.forEach((queue) => queue.process(now)),
  countWaitingTokens: (service) =>
    queues.reduce((sum, queue) => sum + queue.countWaitingTokens(service), 0),
  listBoundRows: () => Object.assign({}, ...queues.map((queue) => queue.listBoundRows())),
  size: () => queues.reduce((sum, queue) => sum + queue.size(), 0),
});
