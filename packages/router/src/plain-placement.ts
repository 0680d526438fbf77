import type { BackendServer } from '@hemlocksill/types/routing.js';
import {
  choosePlainByTime,
  choosePlainServer,
  listPlainCandidates,
  type PlainChoice,
} from '@hemlocksill/routing/place-plain.js';
import type { PlacementView } from '@hemlocksill/routing/place-work.js';
import {
  decideHedge,
  makeHedgeShare,
  makeRouteLatencies,
  type HedgeCandidate,
  type HedgeDecision,
} from '@hemlocksill/routing/hedge.js';
import type { PlainRow, ResponseTimes } from '@hemlocksill/routing/response-times.js';
import type { RouterMetrics } from './router-metrics.js';

/** Dependencies of the placement of plain requests. */
export interface PlainPlacementDeps {
  readonly policy: 'slots' | 'expected-time';
  readonly times: ResponseTimes;
  readonly listReady: (service: string) => readonly BackendServer[];
  /** View whose ledger holds the requests of this VM at plain services. */
  readonly getPlacementView: () => PlacementView;
  /** Schedules a message to other VMs about new response times. */
  readonly notifyPeers: () => void;
  readonly metrics: Pick<RouterMetrics, 'plainDecisions' | 'secondAttempts'>;
  readonly random: () => number;
  readonly now: () => number;
}

/** A first attempt that may get a second one. */
export interface LateAttempt {
  readonly server: BackendServer;
  readonly elapsedMs: number;
  readonly isSuspect: boolean;
}

/** Chooses the servers of plain requests and of their second attempts, and learns from the answers. */
export interface PlainPlacement {
  /** Chooses a server; `remainingMs` is the time until the caller's deadline. */
  readonly choose: (
    service: string,
    excluded: ReadonlySet<string>,
    remainingMs: number,
  ) => PlainChoice;
  readonly recordResponse: (server: BackendServer, latencyMs: number) => void;
  /** Records that an attempt without an answer was given up. */
  readonly recordGivenUp: (server: BackendServer, elapsedMs: number) => void;
  readonly recordFull: (server: BackendServer) => void;
  readonly recordPeerRows: (rows: readonly PlainRow[], now: number) => void;
  /** Counts an idempotent request, of which a share may get a second attempt. */
  readonly recordRequest: () => void;
  /** Records the time from the first send of a request of a route to its answer. */
  readonly recordRouteLatency: (route: string, latencyMs: number) => void;
  /** Time after which a second attempt is considered; undefined while there are none. */
  readonly getHedgeDelayMs: (route: string) => number | undefined;
  readonly decideHedge: (
    service: string,
    excluded: ReadonlySet<string>,
    attempt: LateAttempt,
  ) => HedgeDecision;
  readonly recordHedge: () => void;
  /** Takes back a second attempt that was not sent. */
  readonly returnHedge: () => void;
  readonly setShare: (share: number) => void;
}

/**
 * Makes the placement of a VM. Response times are exchanged only while something depends on them.
 *
 * @example
 * makePlainPlacement(deps, 0.05).choose('desk', new Set(), 900); // { kind: 'server', server }
 */
export const makePlainPlacement = (
  deps: PlainPlacementDeps,
  initialShare: number,
): PlainPlacement => {
  const { policy, times, listReady, getPlacementView, metrics, now } = deps;
  const latencies = makeRouteLatencies();
  const hedgeShare = makeHedgeShare();
  let share = initialShare;

  const isUsed = (): boolean => policy === 'expected-time' || share > 0;

  const notify = (): void => {
    if (isUsed()) deps.notifyPeers();
  };

  const countInFlight = (view: PlacementView, server: BackendServer): number =>
    view.ledger.getTotal(server.id, view.now).requests;

  const toCandidate = (view: PlacementView, server: BackendServer): HedgeCandidate => ({
    server,
    expectedMs: times.predictMs(server, countInFlight(view, server), view.now),
    isFull: times.isFull(server, view.now),
  });

  return {
    choose: (service, excluded, remainingMs) => {
      const view = getPlacementView();
      if (policy === 'slots') {
        const server = choosePlainServer(listReady(service), view, excluded);
        return server ? { kind: 'server', server } : { kind: 'none' };
      }
      const timedView = { ...view, times, random: deps.random };
      const choice = choosePlainByTime(listReady(service), timedView, excluded, remainingMs);
      if (choice.kind === 'late') metrics.plainDecisions.inc({ decision: 'late' });
      else if (choice.kind === 'server')
        metrics.plainDecisions.inc({
          decision: choice.server.dataCentre === view.dataCentre ? 'near' : 'far',
        });
      return choice;
    },
    recordResponse: (server, latencyMs) => {
      if (!isUsed()) return;
      times.recordResponse(server, latencyMs, countInFlight(getPlacementView(), server), now());
      notify();
    },
    recordGivenUp: (server, elapsedMs) => {
      if (!isUsed()) return;
      times.recordAtLeast(server, elapsedMs, now());
      notify();
    },
    recordFull: (server) => {
      if (!isUsed()) return;
      times.recordFull(server, now());
      notify();
    },
    recordPeerRows: (rows, nowMs) => {
      if (isUsed()) times.recordPeerRows(rows, nowMs);
    },
    recordRequest: () => {
      if (share > 0) hedgeShare.recordRequest(now());
    },
    recordRouteLatency: (route, latencyMs) => {
      if (share > 0) latencies.record(route, latencyMs);
    },
    getHedgeDelayMs: (route) => (share > 0 ? latencies.getQuantileMs(route) : undefined),
    decideHedge: (service, excluded, { server, elapsedMs, isSuspect }) => {
      const view = getPlacementView();
      const current = toCandidate(view, server);
      const decision = decideHedge({
        elapsedMs,
        current,
        candidates: listPlainCandidates(listReady(service), view, excluded).map((candidate) =>
          toCandidate(view, candidate),
        ),
        isSuspect,
        hasShare: hedgeShare.hasRoom(share, view.now),
      });
      if (decision.kind === 'withhold')
        metrics.secondAttempts.inc({ outcome: 'withheld', reason: decision.obstacle });
      return decision;
    },
    recordHedge: () => hedgeShare.recordAttempt(now()),
    returnHedge: hedgeShare.returnAttempt,
    setShare: (newShare) => {
      share = newShare;
    },
  };
};
