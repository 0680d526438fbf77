import { makeSpendWindow, type SpendWindow } from './spend-window.js';

/** Time over which the requests of each workspace count for its place in the queue. */
const fairnessWindowMs = 10_000;

/** Minimum time after which a refused caller may retry. */
const minRetryDelayMs = 100;

/** A request that waits until a backend server has room under its limit. */
export interface WaitingCall {
  readonly id: string;
  readonly service: string;
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: number;
  /** Time at which the request is refused if it has not been sent. */
  readonly waitUntil: number;
  /** Sends the request, or ends it; returns false if no server has room. */
  readonly trySend: () => boolean;
  /** Refuses the request; a server is predicted to have room after `retryAfterMs`. */
  readonly refuse: (retryAfterMs: number) => void;
}

/** Room under the limits of the servers of a service. */
export interface Room {
  /** Time until a server has room for one request, in milliseconds. */
  readonly waitMs: number;
  /** Requests per second that all servers take from all VMs together. */
  readonly requestsPerS: number;
}

/** Queue of the requests at this VM that no server has room for. */
export interface LimitQueue {
  /**
   * Queues a request if there will be room for it in time.
   *
   * @returns the time after which a refused request may come back, or undefined if it is queued
   */
  readonly tryPush: (call: WaitingCall, now: number) => number | undefined;
  readonly remove: (id: string) => void;
  /** Sends the requests for which there is room and refuses those whose wait time has expired. */
  readonly process: (now: number) => void;
  readonly hasWaiting: (service: string) => boolean;
  /** Time until `process` has something to do; undefined while nothing waits. */
  readonly getNextDelayMs: (now: number) => number | undefined;
}

/**
 * Creates an empty queue.
 *
 * Load pattern: all servers of a service name limits that are lower than the demand. A request waits
 * only if there will be room before its objective; urgent ones come first, then the workspaces that
 * were sent least lately. Refused callers are told to return one after the other, at the rate at
 * which there is room.
 *
 * @param getRoom - the room of a service
 * @param countVms - number of VMs at which refused callers return
 * @example
 * const queue = makeLimitQueue(() => ({ waitMs: 80, requestsPerS: 8 }), () => 4);
 * queue.tryPush(call, now); // undefined: it waits
 */
export const makeLimitQueue = (
  getRoom: (service: string, now: number) => Room,
  countVms: () => number,
): LimitQueue => {
  let waitingCalls: WaitingCall[] = [];
  const sentByWorkspace = new Map<string, SpendWindow>();
  /** Times at which refused callers were told to return, by service. */
  const returnTimes = new Map<string, number[]>();

  const countSent = (workspace: string, now: number): number =>
    sentByWorkspace.get(workspace)?.sum(now) ?? 0;

  const compareCalls = (a: WaitingCall, b: WaitingCall, now: number): number =>
    a.priority - b.priority ||
    countSent(a.workspace, now) - countSent(b.workspace, now) ||
    a.arrivedAt - b.arrivedAt;

  const recordSent = (workspace: string, now: number): void => {
    const window = sentByWorkspace.get(workspace) ?? makeSpendWindow(fairnessWindowMs);
    sentByWorkspace.set(workspace, window);
    window.add(1, now);
  };

  const remove = (id: string): void => {
    waitingCalls = waitingCalls.filter((call) => call.id !== id);
  };

  const listWaiting = (service: string, now: number): WaitingCall[] =>
    waitingCalls.filter((call) => call.service === service).sort((a, b) => compareCalls(a, b, now));

  /** Assigns a refused caller the next return time of its service. */
  const bookReturn = (service: string, now: number): number => {
    const { waitMs, requestsPerS } = getRoom(service, now);
    const booked = (returnTimes.get(service) ?? []).filter((at) => at > now);
    const intervalMs = (1_000 * countVms()) / requestsPerS;
    const earliestAt = now + Math.max(minRetryDelayMs, waitMs);
    const lastReturnAt = booked.at(-1);
    const returnAt =
      lastReturnAt === undefined ? earliestAt : Math.max(earliestAt, lastReturnAt + intervalMs);
    returnTimes.set(service, [...booked, returnAt]);
    return returnAt - now;
  };

  const processService = (service: string, now: number): void => {
    listWaiting(service, now)
      .filter(({ waitUntil }) => waitUntil <= now)
      .forEach((call) => {
        remove(call.id);
        call.refuse(bookReturn(service, now));
      });
    for (let [next] = listWaiting(service, now); next; [next] = listWaiting(service, now)) {
      if (!next.trySend()) return;
      remove(next.id);
      recordSent(next.workspace, now);
    }
  };

  return {
    tryPush: (call, now) => {
      const { waitMs, requestsPerS } = getRoom(call.service, now);
      const callsAhead = listWaiting(call.service, now).filter(
        (other) => compareCalls(other, call, now) <= 0,
      ).length;
      const predictedMs = waitMs + (callsAhead * 1_000) / requestsPerS;
      if (now + predictedMs >= call.waitUntil) return bookReturn(call.service, now);
      waitingCalls.push(call);
      return undefined;
    },
    remove,
    process: (now) =>
      new Set(waitingCalls.map(({ service }) => service)).forEach((service) =>
        processService(service, now),
      ),
    hasWaiting: (service) => waitingCalls.some((call) => call.service === service),
    getNextDelayMs: (now) => {
      if (waitingCalls.length === 0) return undefined;
      return Math.min(
        ...waitingCalls.map(({ service, waitUntil }) =>
          Math.min(waitUntil - now, getRoom(service, now).waitMs),
        ),
      );
    },
  };
};
