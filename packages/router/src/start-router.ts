import { createServer, type Server } from 'node:http';
import { randomBytes } from 'node:crypto';
import type { RouterSettings } from '@hemlocksill/config/router-settings.js';
import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { Store } from '@hemlocksill/types/ports.js';
import type {
  BackendClient,
  OnAnswer,
  OnServerNotice,
  ReadCallMetadata,
  ServerRoutes,
  StoreFormat,
} from '@hemlocksill/types/routing-ports.js';
import { deriveMemoryLimits } from '@hemlocksill/routing/caller-memory.js';
import { deriveMaxConnections } from '@hemlocksill/routing/connection-limit.js';
import { chooseWatchWaitMs } from '@hemlocksill/routing/choose-watchers.js';
import { makeEngineLedger } from '@hemlocksill/routing/engine-ledger.js';
import { makeEngineRates } from '@hemlocksill/routing/engine-rates.js';
import { makeFleetQuota } from '@hemlocksill/routing/fleet-quota.js';
import { measureMemory } from '@hemlocksill/routing/measure-memory.js';
import type { PlacementView } from '@hemlocksill/routing/place-work.js';
import { deriveRequestBytes } from '@hemlocksill/routing/request-memory.js';
import { makeRelayChoice } from '@hemlocksill/routing/relay-choice.js';
import { makeRetryBudget, type RetryBudget } from '@hemlocksill/routing/retry-budget.js';
import { makeResponseTimes } from '@hemlocksill/routing/response-times.js';
import { makeServerDirectory } from '@hemlocksill/routing/server-directory.js';
import { makeServerReach } from '@hemlocksill/routing/server-reach.js';
import { makeServerHealth, type CallOutcome } from '@hemlocksill/routing/server-health.js';
import { makeStreamTiming } from '@hemlocksill/routing/stream-timing.js';
import {
  makeStreamAdmission,
  waitingRepeatMs,
  type StreamAdmission,
} from '@hemlocksill/routing/stream-admission.js';
import { countBoundTokens } from '@hemlocksill/routing/bound-streams.js';
import { joinQueues, makeStreamQueue } from '@hemlocksill/routing/stream-queue.js';
import { answerReads } from '@hemlocksill/sockets/read-answers.js';
import { startReadTimeout } from '@hemlocksill/timers/read-timeout.js';
import {
  acceptWaiting,
  awaitHandling,
  runAfterReads,
  waitForReads,
} from '@hemlocksill/timers/run-after-reads.js';
import { makeAnswerWatch } from './answer-watch.js';
import type { LogRouterEvent } from './events.js';
import {
  connectionCheckPeriodMs,
  countMaxFields,
  makeCallerConnections,
} from './caller-connections.js';
import { makeCallerFlows } from './caller-flows.js';
import { connectError, makeClientErrorHandler } from './client-errors.js';
import { makeCallHandler } from './handle-call.js';
import { collectGarbage, makeHeapWatch, readHeapUse } from './heap-watch.js';
import { makeIdleConnections } from './idle-connections.js';
import { makeLoopDelay } from './loop-delay.js';
import { makeRequestOrder } from './request-order.js';
import { sleep } from './sleep.js';
import { readMemoryLimit, readProcessLimits } from './process-limits.js';
import { makePeersController } from './peers-controller.js';
import { servePeerViews } from './peer-views.js';
import { textResponse, serveSimpleHttp } from './simple-http-server.js';
import type { RouterMetrics } from './router-metrics.js';
import type { RunDeps } from './run-deps.js';
import { makePlainOutbox } from './plain-outbox.js';
import { makePlainPlacement } from './plain-placement.js';
import { makeResponseEnds } from './response-ends.js';
import { runPlain, type PlainDeps } from './run-plain.js';
import { runStream } from './run-stream.js';
import { makeCrashWatch } from './crash-watch.js';
import { makeChangingEngines } from './changing-engines.js';
import { makeFailingEngines } from './failing-engines.js';
import { makeEngineStages } from './engine-stages.js';
import { makeChargedBackends } from './charged-backends.js';
import { makeOriginController } from './origin-controller.js';
import { makeRateController } from './rate-controller.js';
import { makeEvacuationController } from './evacuation-controller.js';
import { makeLimitController } from './limit-controller.js';
import { serveServerTunnels } from './server-tunnels.js';
import { makeViewController } from './view-controller.js';
import { makeViewTransfers } from './view-transfers.js';

/** Connect timeout for backend servers; the one-way latency is about a millisecond. */
export const connectTimeoutMs = 150;

/** Interval between checks of the stream queue, the peers and the clock. */
const tickPeriodMs = 100;

/** Header limit of the HTTP parser; the limit of the configuration is checked afterwards. */
const maxParsedHeaderBytes = 64 * 1_024;

/** Interval at which the HTTP server looks for heads that don't arrive in time; they last that much longer at most. */
const timeoutCheckIntervalMs = 1_000;

/** Timeouts of callers' connections until a configuration is known. */
const defaultHeaderTimeoutMs = 5_000;
const defaultIdleTimeoutMs = 15_000;

/**
 * Time after the signal to stop was handled during which new requests are accepted. The load balancer removes the
 * VM after two failed checks, within 2 s.
 */
const lameDuckMs = 2_500;

/** Time after the signal to stop within which a request must be accepted to outlast the grace period. */
const maxAcceptMs = 3_000;

/** Time for which callers that connect without a pause may keep a VM from closing its listener. */
const maxListenMs = 500;

/** Part of the grace period that remains after open requests are abandoned, to close the router. */
const graceReserveMs = 400;

/**
 * Maximum time for which a signal is taken to have waited until the process ran. The grace period counts from the
 * signal; a process that does not run for longer has been suspended.
 */
const maxSignalDelayMs = 1_000;

/** Time for which the responses of abandoned requests are sent. */
const abandonedFlushMs = 100;

/**
 * Minimum jump of the wall clock, relative to the monotonic clock, that is logged: the process was
 * suspended or the clock was set.
 */
const minClockJumpMs = 1_000;

/** Interval of the attempts of a partitioned VM to reach a server directly. */
const probePeriodMs = 250;

/** Number of servers that are tried before a VM takes itself for partitioned. */
const suspicionProbes = 3;

/** Number of connections that other VMs may have open through this one. */
const maxTunnels = 256;

/** Share of the VMs that must be responsive if this VM's list of backend servers is to count as current. */
const minCurrentShare = 0.5;

/** Interfaces to the platform that the router runs on. */
export interface RouterPorts {
  readonly store: Store;
  readonly format: StoreFormat;
  readonly makeBackends: (
    onNotice: OnServerNotice,
    routes: ServerRoutes,
    onAnswer: OnAnswer,
  ) => BackendClient;
  readonly readMetadata: ReadCallMetadata;
  /** Path of the load balancer's readiness check. */
  readonly readyPath: string;
  readonly log: LogRouterEvent;
  readonly metrics: RouterMetrics;
}

/** A running router. */
export interface Router {
  /** Finishes the requests in progress within the grace period, then closes the router. */
  readonly shutDown: () => Promise<void>;
  /** Whether the router has been ready for requests. */
  readonly hasBeenReady: () => boolean;
  /** Applies the settings that may change while the router runs. */
  readonly applySettings: (settings: Pick<RouterSettings, 'secondAttemptShare'>) => void;
}

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

/**
 * Starts a router.
 *
 * @example
 * const router = startRouter(settings, ports);
 * await router.shutDown();
 */
export const startRouter = (settings: RouterSettings, ports: RouterPorts): Router => {
  const { log, metrics, store, format } = ports;
  awaitHandling(answerReads.hasLightWaiting);
  const now = (): number => performance.now();
  const incarnation = randomBytes(6).toString('hex');
  const directory = makeServerDirectory();
  const health = makeServerHealth();
  const sharedRates = makeRateController({
    vm: settings.vm,
    listResponsivePeers: () => peers.listResponsivePeers(),
    listServers: () => directory.list().flatMap(({ server }) => server ?? []),
    sendDatagram: (bytes, address) => peers.sendDatagram(bytes, address),
  });
  const usesEngineRates = settings.streamPlacement === 'engine-rates';
  const rates = makeEngineRates(usesEngineRates ? sharedRates : undefined);
  const engineLedger = makeEngineLedger(rates);
  const plainLedger = makeEngineLedger(rates);
  const quota = makeFleetQuota(
    { windowMs: settings.quotaWindowMs, slack: settings.quotaSlack },
    settings.isFirstStart,
    now(),
  );
  const limits = makeLimitController({
    notifyPeers: () => peers.notifyLimits(),
    countVms: () => peers.countVms(),
    listReady: (service) => listReady(service),
    cold: {
      findService: (service) => view.getTable()?.findService(service),
      overage: settings.coldOverage,
      slack: settings.coldSlack,
      getTurn: () => peers.getTurn(),
    },
    log,
    metrics,
    now,
  });
  const listServers = (): BackendServer[] => directory.list().flatMap(({ server }) => server ?? []);
  const evacuations = makeEvacuationController({
    isKnown: (dataCentre) =>
      // At the start, the list of servers may come last.
      !view.isComplete() ||
      peers.hasVmIn(dataCentre) ||
      listServers().some((server) => server.dataCentre === dataCentre),
    onChange: ({ dataCentre, isEvacuated }) => {
      if (!isEvacuated)
        limits.recordReturn(listServers().filter((server) => server.dataCentre === dataCentre));
      peers.notifyEvacuations();
    },
    log,
    metrics,
  });
  const origins = makeOriginController({
    listPeers: () => peers.listPeers(),
    sendDatagram: (bytes, address) => peers.sendDatagram(bytes, address),
    isViewCurrent: () =>
      view.isComplete() && view.isStoreReachable() && peers.getReachableShare() >= minCurrentShare,
    readServers: async () => (await view.readServers()).isOk(),
    isFirstStart: settings.isFirstStart,
    records: settings.recordsOrigins
      ? {
          vm: settings.vm,
          store,
          versionKey: format.versionRecordKey,
          originPrefix: format.originPrefix,
          isFirst: () => !isShuttingDown && peers.isFirst(),
          isListComplete: () => view.isComplete(),
          getSeenRevision: () => Math.max(...Object.values(view.getSeenRevisions())),
          unixNow: Date.now,
        }
      : undefined,
    log,
    metrics,
    now,
  });
  const streamTiming = makeStreamTiming();
  const changingEngines = makeChangingEngines();
  const failingEngines = makeFailingEngines();
  const crashWatch = makeCrashWatch({
    log,
    metrics,
    notifyPeers: () => peers.notifyChange({ kind: 'crash' }),
    now,
    random: Math.random,
    checkInstance: (server, onDone) => backends.checkInstance(server, onDone),
  });
  const retryBudgets = new Map<string, RetryBudget>();
  const abandonAtStop = new Set<() => void>();
  let isShuttingDown = false;
  let isRefusing = false;
  let isAbandoning = false;
  let hasLoggedReady = false;

  const view = makeViewController({
    store,
    format,
    directory,
    log,
    now,
    isWatcher: () => peers.isWatcher(),
    getWatchWaitMs: () =>
      chooseWatchWaitMs(
        // One watch follows the configuration and the evacuations, another one the backend servers.
        Math.min(settings.configApplyMs, settings.evacuateMs, settings.drainMs),
      ),
    evacuations,
    onServer: limits.recordEntry,
    onChange: (kind) => {
      applyLimits();
      if (kind === 'view')
        origins.updateServers(directory.list().flatMap(({ server }) => server ?? []));
      peers.notifyChange({ kind, isWatcher: peers.isWatcher() });
    },
  });

  const predictEngineWaitMs = (
    service: string,
    tokens: number,
    nowMs: number,
    softwareVersion?: string,
  ): number => {
    const engine = view.getTable()?.findService(service)?.engine;
    if (!engine) return 0;
    const isBound = softwareVersion !== undefined;
    const fits = (server: BackendServer): boolean =>
      !isBound || server.softwareVersion === softwareVersion;
    // Streams that are bound to a version are placed before those that are not.
    const tokensAhead = isBound
      ? 0
      : queue.countWaitingTokens(service) + peers.countWaitingTokens(service, nowMs);
    const memoryWaitMs = streamTiming.predictMemoryWaitMs(
      listReady(service).filter(fits),
      engine,
      engineLedger,
      tokens + tokensAhead,
      nowMs,
    );
    return Math.max(memoryWaitMs, limits.getRoom(service, fits).waitMs);
  };

  const admission = settings.hasStreamClasses
    ? makeStreamAdmission({
        getMemory: (service, tokens, nowMs, softwareVersion) => {
          const engine = view.getTable()?.findService(service)?.engine;
          const servers = listReady(service).filter(
            (server) => softwareVersion === undefined || server.softwareVersion === softwareVersion,
          );
          const placementView = { ledger: engineLedger, rates, now: nowMs };
          return engine
            ? measureMemory(servers, tokens, engine, placementView, streamTiming)
            : { usedTokens: 0, freeTokens: Number.MAX_SAFE_INTEGER, streamMs: 1, engineFreeMs: 1 };
        },
        countVms: () => peers.countVms(),
      })
    : undefined;
  const arrivalQueue = makeStreamQueue(predictEngineWaitMs);
  const queue = admission ? joinQueues([admission, arrivalQueue]) : arrivalQueue;
  /** Classes matter only to a service whose streams have several priorities. */
  const findAdmission = (service: string): StreamAdmission | undefined =>
    view.getTable()?.hasStreamClasses(service) ? admission : undefined;
  const notifyWaiting = (): void =>
    peers.notifyChange({ kind: 'load', dataCentre: settings.dataCentre });

  const sumWaitingTokens = (): Record<string, number> => {
    const tokensByService: Record<string, number> = {};
    view.getTable()?.config.services.forEach(({ name, engine }) => {
      const tokens = engine ? queue.countWaitingTokens(name) : 0;
      if (tokens > 0) tokensByService[name] = tokens;
    });
    return { ...tokensByService, ...queue.listBoundRows(), ...admission?.listRows(now()) };
  };

  const peers = makePeersController({
    vm: settings.vm,
    dataCentre: settings.dataCentre,
    incarnation,
    endpoint: settings.peers,
    seeds: settings.seeds,
    vmPrefix: format.vmPrefix,
    store,
    view,
    getLocalLoad: () => ({
      loads: engineLedger.getLocalRows(),
      admitted: quota.getTotals(),
      waiting: sumWaitingTokens(),
      changing: stages.listChanging(),
      failing: failingEngines.list(now()),
      crashes: crashWatch.listForPeers(),
    }),
    getQuotaLevels: quota.getLevels,
    onQuotaLevels: quota.adoptLevels,
    onUpdate: (update, isOlder, nowMs) => {
      engineLedger.recordPeerLoad(update.incarnation, update.loads, nowMs);
      quota.recordPeerTotals(update.incarnation, update.admitted, isOlder, nowMs);
      changingEngines.recordPeer(update.incarnation, update.changing, nowMs);
      update.failing.forEach((engine) => health.recordPeerFailure(engine, nowMs));
      crashWatch.recordPeer(update.crashes);
      admission?.recordPeer(update.incarnation, update.waiting, nowMs);
      if (queue.size() > 0) queue.process(nowMs);
    },
    listLimitRows: limits.listRows,
    onLimitRows: (peerIncarnation, rows, uptimeMs, nowMs) => {
      limits.recordPeer(peerIncarnation, rows, uptimeMs, nowMs);
      if (queue.size() > 0) queue.process(nowMs);
    },
    listEvacuationRows: evacuations.listRows,
    onEvacuationRows: (rows) => evacuations.applyRows(rows, 'peer'),
    onPlainRows: (rows, nowMs) => plainPlacement.recordPeerRows(rows, nowMs),
    onOriginMessage: (message, sender) => origins.onMessage(message, sender),
    onRateMessage: (message) => sharedRates.onMessage(message),
    onPeerRemoved: (removedIncarnation) => {
      engineLedger.removePeer(removedIncarnation);
      admission?.recordPeer(removedIncarnation, {}, now());
    },
    metrics,
    log,
    now,
  });

  const getRetryBudget = (service: string): RetryBudget => {
    const retryBudget =
      retryBudgets.get(service) ??
      makeRetryBudget({
        ratio: settings.retryRatio,
        slack: settings.retrySlack,
        windowMs: settings.retryWindowMs,
      });
    retryBudgets.set(service, retryBudget);
    return retryBudget;
  };

  const getPlacementView = (): PlacementView => ({
    ledger: engineLedger,
    health,
    hasRoom: limits.hasRoom,
    rates,
    dataCentre: settings.dataCentre,
    now: now(),
    ...(usesEngineRates ? { rateDraw: Math.random } : {}),
  });

  const reach = makeServerReach();
  const relays = makeRelayChoice(
    () => peers.listResponsivePeers().map(({ address }) => address),
    Math.random,
  );

  const confirmPartition = (): void => {
    if (!reach.confirm()) return;
    const servers = reach.listFailed();
    log(2121, { servers });
    servers.forEach(health.endCooldown);
    // Those that were opened before the partition may be silent for good.
    listServers().forEach(backends.closeConnections);
  };

  const routes: ServerRoutes = {
    chooseRelay: () => (reach.isPartitioned() ? relays.choose(now()) : undefined),
    recordDirect: (server, isOpened) => {
      if (isOpened) {
        if (reach.recordConnected()) log(2122, { server: server.id });
        return;
      }
      if (!reach.recordFailed(server.id, listServers().length, now())) return;
      probeServers(suspicionProbes);
      startReadTimeout(confirmPartition, connectTimeoutMs);
    },
    recordRelayFailed: (relay) => relays.recordFailed(relay, now()),
  };

  const onNotice: OnServerNotice = (server, notice) => {
    if (notice.kind === 'unreachable') {
      if (reach.isPartitioned()) return;
      if (settings.sharesFailures && failingEngines.recordUnreachable(server.id, now()))
        peers.notifyChange({ kind: 'failing' });
      return;
    }
    if (notice.kind === 'leaving') {
      if (directory.recordLeaving(server)) log(2112, { server: server.id });
      return;
    }
    if (notice.kind === 'limit') {
      failingEngines.recordResponse(server.id, now());
      limits.recordResponse(server, notice.requestsPerS, notice.latencyMs);
      return;
    }
    health.recordPause(server.id, notice.durationMs, now());
    log(2113, { server: server.id, durationMs: notice.durationMs });
  };

  const backends = makeChargedBackends(
    ports.makeBackends(onNotice, routes, makeAnswerWatch({ log, metrics })),
    {
      ...limits,
      isEvacuated: ({ dataCentre }) => evacuations.isEvacuated(dataCentre),
    },
  );

  /** Tries whether servers can be reached directly. */
  function probeServers(count: number): void {
    const failed = reach.listFailed();
    const ready = listServers().filter(({ state }) => state === 'ready');
    const others = ready.filter(({ id }) => !failed.includes(id));
    const candidates = others.length > 0 ? others : ready;
    const first = Math.floor(Math.random() * candidates.length);
    [...candidates.slice(first), ...candidates.slice(0, first)]
      .slice(0, count)
      .forEach((server) => backends.probe(server));
  }

  /** Ready servers of a service, without those in evacuated data centres. */
  const listUsable = (service: string): readonly BackendServer[] => {
    const ready = directory.listReady(service, now());
    return evacuations.hasEvacuated()
      ? ready.filter(({ dataCentre }) => !evacuations.isEvacuated(dataCentre))
      : ready;
  };

  const stages = makeEngineStages({
    backends,
    store,
    lockKey: format.stageLockKey,
    holder: `${settings.vm} ${incarnation}`,
    leaseMs: settings.leaseMs,
    isResponsible: () => !isShuttingDown && peers.isFirst(),
    listServices: () => view.getTable()?.config.services ?? [],
    listReady: listUsable,
    listAnnounced: () => changingEngines.list(now()),
    announce: () => peers.notifyChange({ kind: 'stage' }),
    ledger: engineLedger,
    timing: streamTiming,
    rates,
    ...(usesEngineRates
      ? {
          getSpeed: (server: BackendServer) =>
            sharedRates.getRate(server, server.stage === 'prefill' ? 'prompt' : 'output'),
        }
      : {}),
    log,
    now,
  });

  /** Ready servers of a service, without engines whose stage is being changed. */
  const listReady = (service: string): readonly BackendServer[] => {
    const ready = listUsable(service);
    const changing = changingEngines.list(now());
    const ownChanging = stages.listChanging();
    if (changing.size === 0 && ownChanging.length === 0) return ready;
    return ready.filter((server) => !changing.has(server.id) && !ownChanging.includes(server.id));
  };

  /** Records a conclusive failure, and tells the other VMs. */
  const recordFailure = ({ id }: BackendServer, outcome: CallOutcome): void => {
    health.record(id, outcome, now());
    if (failingEngines.record(id, now())) peers.notifyChange({ kind: 'failing' });
  };

  const runDeps: RunDeps = {
    backends,
    health,
    engineLedger,
    plainLedger,
    queue: arrivalQueue,
    admission: undefined,
    notifyWaiting,
    timing: streamTiming,
    rates,
    predictEngineWaitMs,
    countBoundTokens: (service, priority) =>
      countBoundTokens([queue.listBoundRows(), ...peers.listWaiting(now())], service, priority),
    notifyBoundWaiting: (engines) =>
      new Set(engines.map(({ dataCentre }) => dataCentre)).forEach((dataCentre) =>
        peers.notifyChange({ kind: 'load', dataCentre }),
      ),
    limits,
    listReady,
    recordLaterInstance: (server, foundStartedAt) => {
      if (!directory.recordLaterInstance(server, foundStartedAt)) return;
      const { id, startedAt } = server;
      log(2123, { server: id, startedAt, foundStartedAt });
    },
    getPlacementView,
    tryTakeRetry: (service) => getRetryBudget(service).tryTakeRetry(peers.countVms(), now()),
    returnRetry: (service) => getRetryBudget(service).returnRetry(),
    findStageChange: stages.findChange,
    recordFailingPrefill: recordFailure,
    recordFaultyAnswer: (server) => {
      health.record(server.id, 'faulty-answer', now());
      if (health.isOnTrial(server.id) && failingEngines.record(server.id, now()))
        peers.notifyChange({ kind: 'failing' });
    },
    notifyLoadChange: (server) => {
      peers.notifyChange({ kind: 'load', dataCentre: server.dataCentre });
      if (queue.size() > 0) setImmediate(() => queue.process(now()));
    },
    crashWatch,
    responseEnds: makeResponseEnds({ checkInstance: backends.checkInstance, log, now }),
    origins,
    log,
    metrics,
    now,
  };

  const plainTimes = makeResponseTimes();
  const plainOutbox = makePlainOutbox({
    times: plainTimes,
    listAddresses: () => peers.listPeers().map(({ address }) => address),
    sendDatagram: (bytes, address) => peers.sendDatagram(bytes, address),
    random: Math.random,
    now,
  });
  const plainPlacement = makePlainPlacement(
    {
      policy: settings.plainPlacement,
      times: plainTimes,
      listReady,
      getPlacementView: () => ({ ...getPlacementView(), ledger: plainLedger }),
      notifyPeers: plainOutbox.notify,
      metrics,
      random: Math.random,
      now,
    },
    settings.secondAttemptShare,
  );
  const plainDeps: PlainDeps = {
    ...runDeps,
    placement: plainPlacement,
    openGathered: (giveWay) => flows.openGathered(giveWay),
  };

  const order = makeRequestOrder({ log, now });

  const processBytes = readMemoryLimit();
  const memoryLimits = deriveMemoryLimits(settings.memory, processBytes);
  const flows = makeCallerFlows(memoryLimits, { log, metrics, now });
  const heap = makeHeapWatch({
    readHeapUse,
    metrics,
    log,
    describeHolders: () => ({
      requestBytes: connections.getRequestBytes(),
      openConnections: connections.count(),
      openRequests: connections.countRequests(),
    }),
  });
  const connections = makeCallerConnections({
    getMaxRequestBytes: () =>
      deriveRequestBytes(
        settings.memory.allRequestsBytes,
        processBytes,
        view.getTable()?.config.limits.maxBodyBytes ?? 0,
      ),
    maxConnections: deriveMaxConnections(settings.descriptors, readProcessLimits),
    stallMs: memoryLimits.stallMs,
    log,
    metrics,
    isShortOfMemory: () => heap.isShort(),
    collectGarbage,
    holdAnswers: () => {
      answerReads.hold();
      flows.holdGathered();
    },
    releaseAnswers: () => {
      answerReads.release();
      flows.releaseGathered();
    },
    halveAnswers: flows.halveGathered,
    runAfterReads,
    now,
  });

  const handleCall = makeCallHandler({
    getTable: view.getTable,
    readMetadata: ports.readMetadata,
    quota,
    hooks: {
      log,
      metrics,
      random: Math.random,
      now,
      isShuttingDown: () => isShuttingDown,
      isLast: (res) => order.isLast(res.req, res),
      abandonAtStop,
      flows,
    },
    order,
    connections,
    acceptsRequests: () => !isRefusing,
    startsRuns: () => !isAbandoning,
    recordRequest: (service) => getRetryBudget(service).recordRequest(now()),
    crashWatch,
    origins,
    notifyLowBucket: () => peers.notifyChange({ kind: 'low-rate' }),
    runPlain: (ctx, responder) => runPlain(plainDeps, ctx, responder),
    runStream: (ctx, responder) => {
      const ownAdmission = findAdmission(ctx.service.name);
      const deps = ownAdmission && { ...runDeps, queue: ownAdmission, admission: ownAdmission };
      runStream(deps ?? runDeps, ctx, responder);
    },
  });

  const callerServer = createServer(
    {
      maxHeaderSize: maxParsedHeaderBytes,
      requestTimeout: 0,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
      keepAlive: true,
      // The filters check it.
      requireHostHeader: false,
    },
    handleCall,
  );
  callerServer.on('checkExpectation', handleCall);
  const handleClientError = makeClientErrorHandler(order, connections, log);
  callerServer.on('clientError', handleClientError);
  callerServer.on('connect', (_, socket) => handleClientError(connectError, socket));
  // The server removes its own listener from the socket of a CONNECT request before it hands it over.
  callerServer.on('connection', (socket) => socket.on('error', () => {}));
  // After the server's own listener, which would resume a connection that was paused before.
  callerServer.on('connection', connections.add);
  // `close` calls it; Node's own also destroys connections whose ended response isn't flushed.
  callerServer.closeIdleConnections = () => order.closeIdleConnections();
  callerServer.maxHeadersCount = countMaxFields(maxParsedHeaderBytes);
  callerServer.headersTimeout = defaultHeaderTimeoutMs;
  callerServer.keepAliveTimeout = defaultIdleTimeoutMs;

  const idleConnections = makeIdleConnections({
    getLimitMs: () => callerServer.keepAliveTimeout,
    now,
    log,
    runAfterReads,
  });
  callerServer.prependListener('request', (req, res) =>
    idleConnections.recordRequest(req.socket, res),
  );
  callerServer.on('timeout', idleConnections.onTimeout);

  const applyLimits = (): void => {
    const callerLimits = view.getTable()?.config.limits;
    if (!callerLimits) return;
    callerServer.maxHeadersCount = countMaxFields(callerLimits.maxHeaderBytes);
    callerServer.headersTimeout = callerLimits.headerTimeoutMs;
    callerServer.keepAliveTimeout = callerLimits.idleTimeoutMs;
  };

  const isReady = (): boolean => !isShuttingDown && view.isComplete();

  const notFound = textResponse(404, 'no such page');

  const readyServer = serveSimpleHttp(settings.ready, ({ path }) => {
    if (path !== ports.readyPath) return Promise.resolve(notFound);
    return Promise.resolve(isReady() ? textResponse(200, 'ready') : textResponse(503, 'not ready'));
  });

  const metricsServer = serveSimpleHttp(settings.metrics, async ({ path }) => {
    if (path !== '/metrics') return notFound;
    metrics.waitingStreams.set(queue.size());
    metrics.engineRateSpread.set(
      Math.max(
        1,
        ...(view.getTable()?.config.services ?? []).map(({ name }) =>
          rates.getOutputSpread(listReady(name).filter(({ stage }) => stage === 'decode')),
        ),
      ),
    );
    metrics.configVersion.set(view.getTable()?.config.version ?? 0);
    metrics.storeReachable.set(view.isStoreReachable() ? 1 : 0);
    return textResponse(200, await metrics.render());
  });

  const peerServer = servePeerViews(settings.peers, {
    getChangesSince: view.getChangesSince,
    transfers: makeViewTransfers(settings.configTransfers, now),
    onError: (error) => log(2005, { reason: error.message }),
  });

  const tunnels = serveServerTunnels(peerServer, {
    isServer: (address) => listServers().some(({ host, port }) => `${host}:${port}` === address),
    acceptsTunnels: () => !isShuttingDown && !reach.isPartitioned(),
    maxTunnels,
  });

  let nextProbeAt = 0;
  let nextWaitingAt = 0;
  let lastOffset = Date.now() - now();
  const detectClockJump = (nowMs: number): void => {
    const offset = Date.now() - nowMs;
    if (Math.abs(offset - lastOffset) > minClockJumpMs)
      log(2008, { jumpMs: Math.round(offset - lastOffset) });
    lastOffset = offset;
  };

  const loopDelay = makeLoopDelay({ periodMs: tickPeriodMs, metrics, log });

  const tick = setInterval(() => {
    const nowMs = now();
    loopDelay.recordTick(nowMs);
    heap.check();
    connections.checkMemory();
    metrics.partitioned.set(reach.isPartitioned() ? 1 : 0);
    metrics.serverTunnels.set(tunnels.count());
    if (reach.isPartitioned() && nowMs >= nextProbeAt) {
      nextProbeAt = nowMs + probePeriodMs;
      probeServers(1);
    }
    detectClockJump(nowMs);
    peers.tick(nowMs);
    sharedRates.tick(nowMs);
    stages.tick(nowMs);
    crashWatch.tick();
    origins.tick(nowMs);
    quota.setReachableShare(peers.getReachableShare());
    limits.tick(peers.getReachableShare(), directory);
    if (queue.size() > 0) queue.process(nowMs);
    if (admission && admission.size() > 0 && nowMs >= nextWaitingAt) {
      nextWaitingAt = nowMs + waitingRepeatMs;
      notifyWaiting();
    }
    if (isReady() && !hasLoggedReady) {
      hasLoggedReady = true;
      log(2002, { version: view.getTable()?.config.version });
    }
  }, tickPeriodMs);

  const connectionCheck = setInterval(connections.check, connectionCheckPeriodMs);

  callerServer.listen(settings.callers.port, settings.callers.host);
  view.start();
  peers.start();
  log(2001, { vm: settings.vm, incarnation, dataCentre: settings.dataCentre });

  return {
    hasBeenReady: () => hasLoggedReady,
    applySettings: ({ secondAttemptShare }) => plainPlacement.setShare(secondAttemptShare),
    shutDown: async () => {
      const handledAt = now();
      const signalledAt = Math.max(
        loopDelay.getTickBeforeLatestAt() ?? 0,
        handledAt - maxSignalDelayMs,
      );
      const shutdownDeadline = signalledAt + settings.graceMs - graceReserveMs;
      const refuseAt = Math.min(
        handledAt + lameDuckMs,
        signalledAt + Math.min(maxAcceptMs, settings.graceMs / 2),
      );
      isShuttingDown = true;
      log(2003, { graceMs: settings.graceMs, signalDelayMs: Math.round(handledAt - signalledAt) });
      // Heads that were sent before announce no end of their connection; the others do.
      const idleCheck = setInterval(
        () => runAfterReads(() => order.closeIdleConnections(isRefusing ? 0 : handledAt)),
        tickPeriodMs,
      );
      await sleep(Math.max(0, refuseAt - now()));
      isRefusing = true;
      await acceptWaiting(callerServer, Math.min(now() + maxListenMs, shutdownDeadline));
      const closed = closeServer(callerServer);
      await Promise.race([closed, sleep(Math.max(0, shutdownDeadline - now()))]);
      clearInterval(idleCheck);
      // What is read from here on would be abandoned at once: it is refused as not run.
      isAbandoning = true;
      await waitForReads();
      if (abandonAtStop.size > 0) {
        abandonAtStop.forEach((abandon) => abandon());
        await Promise.race([closed, sleep(abandonedFlushMs)]);
      }
      while (tunnels.count() > 0 && now() < shutdownDeadline) await sleep(tickPeriodMs);
      tunnels.reset();
      log(2004, { openRequests: abandonAtStop.size, openConnections: connections.count() });
      clearInterval(tick);
      clearInterval(connectionCheck);
      view.stop();
      plainOutbox.stop();
      await peers.stop();
      await Promise.race([
        Promise.all([readyServer, metricsServer, peerServer].map(closeServer)),
        sleep(10),
      ]);
      await waitForReads();
    },
  };
};
