import type { BackendServer } from '@hemlocksill/types/routing.js';

/** Share of a route's answers that come before a second attempt is considered. */
const quantile = 0.95;

/** Answers of a route that its quantile is learned from, the latest ones. */
const maxSamples = 200;

/** Answers before which the quantile of a route is not known; fewer don't show one answer in twenty. */
const minSamples = 40;

/** Window over which second attempts are compared with requests, in milliseconds. */
const shareWindowMs = 10_000;

/** Why a second attempt is not made. */
export type HedgeObstacle = 'suspect' | 'no-server' | 'full' | 'not-sooner' | 'share';

/** A server that could get the second attempt. */
export interface HedgeCandidate {
  readonly server: BackendServer;
  /** Undefined if nothing is known about the server. */
  readonly expectedMs: number | undefined;
  readonly isFull: boolean;
}

/** What the decision depends on. */
export interface HedgeView {
  /** Time for which the first attempt has run. */
  readonly elapsedMs: number;
  /** The server of the first attempt, and what a request to it is expected to take now. */
  readonly current: Pick<HedgeCandidate, 'server' | 'expectedMs'>;
  readonly candidates: readonly HedgeCandidate[];
  readonly isSuspect: boolean;
  /** Whether the share of second attempts has one left. */
  readonly hasShare: boolean;
}

/** Whether and where a second attempt is made. */
export type HedgeDecision =
  | { readonly kind: 'send'; readonly server: BackendServer; readonly expectedMs: number }
  | { readonly kind: 'withhold'; readonly obstacle: HedgeObstacle };

const withhold = (obstacle: HedgeObstacle): HedgeDecision => ({ kind: 'withhold', obstacle });

/**
 * Decides whether a request that has run for longer than most of its route gets a second attempt.
 *
 * Load pattern: single answers are late because one server is slow for a while. If all servers are slow or
 * loaded, a second attempt would only add load. An attempt that has outlived the quantile is expected to take as
 * long again, or as long as its server now takes, whichever is more.
 *
 * @example
 * decideHedge({ ...view, isSuspect: true }); // { kind: 'withhold', obstacle: 'suspect' }
 */
export const decideHedge = ({
  elapsedMs,
  current,
  candidates,
  isSuspect,
  hasShare,
}: HedgeView): HedgeDecision => {
  if (isSuspect) return withhold('suspect');
  const elsewhere = candidates.filter(
    ({ server }) => server.dataCentre !== current.server.dataCentre,
  );
  const eligible = elsewhere.length > 0 ? elsewhere : candidates;
  if (eligible.length === 0) return withhold('no-server');
  const withRoom = eligible.filter(({ isFull }) => !isFull);
  if (withRoom.length === 0) return withhold('full');
  const remainingMs = Math.max(elapsedMs, (current.expectedMs ?? 0) - elapsedMs);
  let best: { readonly server: BackendServer; readonly expectedMs: number } | undefined;
  withRoom.forEach(({ server, expectedMs }) => {
    if (expectedMs === undefined || expectedMs >= (best?.expectedMs ?? remainingMs)) return;
    best = { server, expectedMs };
  });
  if (!best) return withhold('not-sooner');
  return hasShare ? { kind: 'send', ...best } : withhold('share');
};

/** Learns the usual response times of routes. */
export interface RouteLatencies {
  readonly record: (route: string, latencyMs: number) => void;
  /** Returns the time within which 95% of a route's answers came; undefined with few answers. */
  readonly getQuantileMs: (route: string) => number | undefined;
}

interface Samples {
  readonly latencies: number[];
  next: number;
  /** Undefined after a new sample. */
  quantileMs: number | undefined;
}

/** Samples after which the quantile is computed anew. */
const samplesPerUpdate = 10;

/**
 * Creates a record without answers.
 *
 * @example
 * makeRouteLatencies().getQuantileMs('stock'); // undefined
 */
export const makeRouteLatencies = (): RouteLatencies => {
  const samplesByRoute = new Map<string, Samples>();
  return {
    record: (route, latencyMs) => {
      const samples = samplesByRoute.get(route) ?? {
        latencies: [],
        next: 0,
        quantileMs: undefined,
      };
      samplesByRoute.set(route, samples);
      samples.latencies[samples.next] = latencyMs;
      samples.next = (samples.next + 1) % maxSamples;
      if (samples.next % samplesPerUpdate === 0) samples.quantileMs = undefined;
    },
    getQuantileMs: (route) => {
      const samples = samplesByRoute.get(route);
      if (!samples || samples.latencies.length < minSamples) return undefined;
      samples.quantileMs ??= [...samples.latencies].sort((a, b) => a - b)[
        Math.ceil(samples.latencies.length * quantile) - 1
      ];
      return samples.quantileMs;
    },
  };
};

/** Keeps second attempts within a share of the requests of this VM. */
export interface HedgeShare {
  readonly recordRequest: (now: number) => void;
  /** Whether one more second attempt stays within the share. */
  readonly hasRoom: (share: number, now: number) => boolean;
  readonly recordAttempt: (now: number) => void;
  /** Takes back the attempt that was recorded last, since it was not sent. */
  readonly returnAttempt: () => void;
}

/** Slots of the window; counts in slots need less memory than times. */
const slotCount = 10;

/**
 * Creates a share without requests. Each VM keeps the share of its own requests, so that all VMs together do.
 *
 * @example
 * makeHedgeShare().hasRoom(0.1, now); // false: no request has come
 */
export const makeHedgeShare = (): HedgeShare => {
  const slotMs = shareWindowMs / slotCount;
  const slots = new Map<number, { requests: number; attempts: number }>();
  const getSlot = (now: number): { requests: number; attempts: number } => {
    const index = Math.floor(now / slotMs);
    const slot = slots.get(index) ?? { requests: 0, attempts: 0 };
    if (slots.has(index)) return slot;
    slots.set(index, slot);
    slots.forEach((_, other) => {
      if (other <= index - slotCount) slots.delete(other);
    });
    return slot;
  };
  return {
    recordRequest: (now) => {
      getSlot(now).requests += 1;
    },
    hasRoom: (share, now) => {
      getSlot(now);
      let requests = 0;
      let attempts = 0;
      slots.forEach((slot) => {
        requests += slot.requests;
        attempts += slot.attempts;
      });
      return attempts + 1 <= share * requests;
    },
    recordAttempt: (now) => {
      getSlot(now).attempts += 1;
    },
    returnAttempt: () => {
      const last = [...slots.values()].reverse().find(({ attempts }) => attempts > 0);
      if (last) last.attempts -= 1;
    },
  };
};
