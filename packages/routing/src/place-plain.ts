import type { BackendServer } from '@hemlocksill/types/routing.js';
import {
  failureWeight,
  isAllowed,
  isAvailable,
  isTried,
  otherDataCentrePenalty,
  type PlacementView,
} from './place-work.js';
import type { ResponseTimes } from './response-times.js';

/**
 * Round-trip time to another data centre, in milliseconds: twice the measured one-way time of 1.4 ms.
 * A near server is preferred while the difference of the expected times is smaller.
 */
const crossDataCentreRoundTripMs = 2.8;

/**
 * Power of the inverse expected time in the weight of a server. A server that is 2.5 times as slow is drawn
 * with a sixth of the weight of a usual one.
 */
const weightPower = 2;

/** Result of the choice of a server by expected time. */
export type PlainChoice =
  | { readonly kind: 'server'; readonly server: BackendServer }
  /** All servers are expected to answer after the deadline; `retryAfterMs` is the excess. */
  | { readonly kind: 'late'; readonly retryAfterMs: number }
  | { readonly kind: 'none' };

/** Inputs of the choice by expected time. */
export interface TimedPlacementView extends PlacementView {
  readonly times: Pick<ResponseTimes, 'predictMs' | 'isFull' | 'hasRecentSample'>;
  /** Returns a number from 0 to less than 1. */
  readonly random: () => number;
}

/** Servers that may get a request. If all of them are cooling down or on trial, they are used rather than none. */
export const listPlainCandidates = (
  servers: readonly BackendServer[],
  view: PlacementView,
  excluded: ReadonlySet<string>,
): readonly BackendServer[] => {
  const allowed = servers.filter((server) => !excluded.has(server.id) && isAllowed(server, view));
  const available = allowed.filter((server) => isAvailable(server, view) && !isTried(server, view));
  return available.length > 0 ? available : allowed;
};

/**
 * Chooses the backend server of a plain service with the lowest share of used slots.
 *
 * @example
 * choosePlainServer(servers, view, new Set(['i-1']));
 */
export const choosePlainServer = (
  servers: readonly BackendServer[],
  view: PlacementView,
  excluded: ReadonlySet<string>,
): BackendServer | undefined => {
  let best: BackendServer | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  listPlainCandidates(servers, view, excluded).forEach((server) => {
    const usedShare =
      view.ledger.getTotal(server.id, view.now).requests / Math.max(1, server.slots);
    const penalty = server.dataCentre === view.dataCentre ? 0 : otherDataCentrePenalty;
    const score = usedShare + penalty + failureWeight * view.health.getFailureShare(server.id);
    if (score < bestScore) {
      best = server;
      bestScore = score;
    }
  });
  return best;
};

/** A server and the time from now until its answer is expected. */
interface TimedServer {
  readonly server: BackendServer;
  readonly expectedMs: number;
}

/** Predicts the answers of servers; one without history counts as the average of the others. */
const predictAll = (
  servers: readonly BackendServer[],
  view: TimedPlacementView,
): readonly TimedServer[] => {
  const predictions = servers.map((server) =>
    view.times.predictMs(server, view.ledger.getTotal(server.id, view.now).requests, view.now),
  );
  const known = predictions.filter((ms) => ms !== undefined);
  if (known.length === 0) return [];
  const averageMs = known.reduce((sum, ms) => sum + ms, 0) / known.length;
  return servers.map((server, index) => {
    const pathMs = server.dataCentre === view.dataCentre ? 0 : crossDataCentreRoundTripMs;
    const failureFactor = 1 + failureWeight * view.health.getFailureShare(server.id);
    return {
      server,
      expectedMs: ((predictions[index] ?? averageMs) + pathMs) * failureFactor,
    };
  });
};

/** Draws one of the servers, those with a short expected time more often. */
const drawServer = (
  servers: readonly TimedServer[],
  random: () => number,
): TimedServer | undefined => {
  const minMs = Math.min(...servers.map(({ expectedMs }) => expectedMs));
  const weights = servers.map(({ expectedMs }) => (minMs / expectedMs) ** weightPower);
  let rest = random() * weights.reduce((sum, weight) => sum + weight, 0);
  return (
    servers.find((_, index) => {
      rest -= weights[index] ?? 0;
      return rest < 0;
    }) ?? servers.at(-1)
  );
};

/**
 * Chooses the backend server of a plain service by the expected time of its answer: drawn at random, fast
 * ones more often. A near server is taken instead if it isn't slower by more than the round trip.
 *
 * Load pattern: the servers of a service are uneven because the demand of data centres differs and because a
 * server is slow for a while. Each VM sees a small part of the requests, so its own requests don't show
 * which server is loaded. If all VMs chose the server that was fastest a moment ago, they would fill it.
 *
 * @param remainingMs - time until the caller's deadline
 * @example
 * choosePlainByTime(servers, view, new Set(), 900); // { kind: 'server', server }
 */
export const choosePlainByTime = (
  servers: readonly BackendServer[],
  view: TimedPlacementView,
  excluded: ReadonlySet<string>,
  remainingMs: number,
): PlainChoice => {
  const candidates = listPlainCandidates(servers, view, excluded);
  const timed = predictAll(candidates, view);
  if (timed.length === 0) {
    const server = choosePlainServer(candidates, view, excluded);
    return server ? { kind: 'server', server } : { kind: 'none' };
  }
  const minMs = Math.min(...timed.map(({ expectedMs }) => expectedMs));
  // A server without a recent answer may have recovered, which only a request can tell.
  if (minMs > remainingMs && candidates.every((s) => view.times.hasRecentSample(s, view.now)))
    return { kind: 'late', retryAfterMs: minMs - remainingMs };
  const withRoom = timed.filter(({ server }) => !view.times.isFull(server, view.now));
  const drawable = withRoom.length > 0 ? withRoom : timed;
  const drawn = drawServer(drawable, view.random);
  if (!drawn) return { kind: 'none' };
  const near = drawable.find(
    ({ server, expectedMs }) =>
      server.dataCentre === view.dataCentre && expectedMs <= drawn.expectedMs,
  );
  return { kind: 'server', server: (near ?? drawn).server };
};
