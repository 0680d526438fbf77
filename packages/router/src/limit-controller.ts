import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { ServerDirectory } from '@hemlocksill/routing/server-directory.js';
import { makeLimitQueue, type Room, type WaitingCall } from '@hemlocksill/routing/limit-queue.js';
import {
  makeServerLimits,
  type ColdRules,
  type LimitRow,
} from '@hemlocksill/routing/server-limits.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** Interval between two searches for servers that are gone. */
const prunePeriodMs = 5_000;

/** Minimum delay until the queue is processed again. */
const minQueueDelayMs = 2;

/** Dependencies of the controller. */
export interface LimitControllerDeps {
  /** Tells the other VMs of what has changed. */
  readonly notifyPeers: () => void;
  readonly countVms: () => number;
  readonly listReady: (service: string) => readonly BackendServer[];
  readonly log: LogRouterEvent;
  readonly cold: ColdRules;
  readonly metrics: Pick<RouterMetrics, 'limitedServers' | 'coldServers' | 'limitDecisions'>;
  readonly now: () => number;
}

/** Keeps the requests to backend servers within the limits that they name. */
export interface LimitController {
  /** Records the limit in a response, or that it names none. */
  readonly recordResponse: (
    server: BackendServer,
    requestsPerS: number | undefined,
    latencyMs: number,
  ) => void;
  /** Charges a request that is sent, unless room was held for it. */
  readonly recordSend: (server: BackendServer, request?: string) => void;
  /** Holds room for a request that will be sent. */
  readonly hold: (server: BackendServer, request: string) => void;
  /** Records a new entry of a server, which may say that it is cold. */
  readonly recordEntry: (server: BackendServer) => void;
  /** Ramps up the servers of a data centre that is taken back. */
  readonly recordReturn: (servers: readonly BackendServer[]) => void;
  readonly isCold: (server: BackendServer) => boolean;
  readonly isLimited: (server: BackendServer) => boolean;
  readonly hasRoom: (server: BackendServer) => boolean;
  /** Room of the servers of a service that `fits` accepts: none to wait for while a server has no limit. */
  readonly getRoom: (service: string, fits?: (server: BackendServer) => boolean) => Room;
  /**
   * Queues a request that no server has room for.
   *
   * @returns the time after which a refused request may come back, or undefined if it is queued
   */
  readonly tryQueue: (call: WaitingCall) => number | undefined;
  readonly hasWaiting: (service: string) => boolean;
  readonly removeWaiting: (id: string) => void;
  readonly listRows: (which: 'all' | 'changed', now: number) => LimitRow[];
  readonly recordPeer: (
    incarnation: string,
    rows: readonly LimitRow[],
    uptimeMs: number,
    now: number,
  ) => void;
  readonly tick: (reachableShare: number, directory: Pick<ServerDirectory, 'list'>) => void;
}

/**
 * Makes the controller of a VM.
 *
 * @example
 * const limits = makeLimitController(deps);
 * limits.hasRoom(server); // true
 */
export const makeLimitController = (deps: LimitControllerDeps): LimitController => {
  const { log, metrics, now } = deps;
  const limits = makeServerLimits(deps.cold);
  let nextPruneAt = 0;
  let queueTimer: NodeJS.Timeout | undefined;

  const getRoom = (
    service: string,
    nowMs: number,
    fits: (server: BackendServer) => boolean = () => true,
  ): Room => {
    // A prompt whose prefill engines have no room is read by the decode engine.
    const servers = deps
      .listReady(service)
      .filter((server) => server.stage !== 'prefill' && fits(server));
    let waitMs = servers.length === 0 ? 0 : Number.POSITIVE_INFINITY;
    let requestsPerS = 0;
    servers.forEach((server) => {
      waitMs = Math.min(waitMs, limits.getWaitMs(server, nowMs));
      requestsPerS += limits.getRate(server, nowMs);
    });
    return { waitMs, requestsPerS };
  };

  const queue = makeLimitQueue(getRoom, deps.countVms);

  const processQueue = (): void => {
    queue.process(now());
    scheduleQueue();
  };

  const scheduleQueue = (): void => {
    clearTimeout(queueTimer);
    const delayMs = queue.getNextDelayMs(now());
    if (delayMs === undefined) return;
    queueTimer = setTimeout(processQueue, Math.max(minQueueDelayMs, delayMs));
  };

  const logChange = (
    server: string,
    requestsPerS: number | undefined,
    source: 'response' | 'peer',
  ): void => {
    log(2114, { server, requestsPerS, source });
    metrics.limitedServers.set(limits.countLimited());
    processQueue();
  };

  return {
    recordResponse: (server, requestsPerS, latencyMs) => {
      if (!limits.recordResponse(server, requestsPerS, latencyMs, now())) return;
      logChange(server.id, requestsPerS, 'response');
      deps.notifyPeers();
    },
    recordSend: (server, request) => {
      if (limits.recordSend(server, request, now())) deps.notifyPeers();
    },
    hold: (server, request) => {
      if (limits.hold(server, request, now())) deps.notifyPeers();
    },
    recordEntry: (server) => {
      const state = limits.recordEntry(server, now());
      const { coldRemainingMs } = server;
      // Without the figure of its service, a server is never cold.
      if (state !== 'warm' && deps.cold.findService(server.service)?.coldPerS !== undefined)
        log(state === 'cold' ? 2115 : 2116, { server: server.id, coldRemainingMs });
    },
    recordReturn: (servers) => servers.forEach((server) => limits.recordReturn(server, now())),
    isCold: (server) => limits.isCold(server, now()),
    isLimited: (server) => limits.getLimit(server, now()) !== undefined,
    hasRoom: (server) => {
      const hasRoom = limits.getWaitMs(server, now()) <= 0;
      if (!hasRoom) metrics.limitDecisions.inc({ decision: 'passed-over' });
      return hasRoom;
    },
    getRoom: (service, fits) => getRoom(service, now(), fits),
    tryQueue: (call) => {
      const retryAfterMs = queue.tryPush(call, now());
      if (retryAfterMs === undefined) processQueue();
      metrics.limitDecisions.inc({ decision: retryAfterMs === undefined ? 'queued' : 'refused' });
      return retryAfterMs;
    },
    hasWaiting: queue.hasWaiting,
    removeWaiting: queue.remove,
    listRows: limits.listRows,
    recordPeer: (incarnation, rows, uptimeMs, nowMs) =>
      limits
        .recordPeer(incarnation, rows, uptimeMs, nowMs)
        .forEach(([instance, requestsPerS]) =>
          logChange(instance.split(' ')[0] ?? instance, requestsPerS ?? undefined, 'peer'),
        ),
    tick: (reachableShare, directory) => {
      limits.setReachableShare(reachableShare);
      const nowMs = now();
      if (nowMs < nextPruneAt) return;
      nextPruneAt = nowMs + prunePeriodMs;
      limits.prune(
        directory.list().flatMap(({ server }) => server ?? []),
        nowMs,
      );
      metrics.limitedServers.set(limits.countLimited());
      metrics.coldServers.set(limits.countCold(nowMs));
    },
  };
};
