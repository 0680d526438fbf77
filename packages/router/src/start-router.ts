import { createServer, type Server } from 'node:http';
import { randomBytes } from 'node:crypto';
import type { RouterSettings } from '@hemlocksill/config/router-settings.js';
import type { Store } from '@hemlocksill/types/ports.js';
import type {
  BackendClient,
  ReadCallMetadata,
  StoreFormat,
} from '@hemlocksill/types/routing-ports.js';
import { chooseWatchWaitMs } from '@hemlocksill/routing/choose-watchers.js';
import { makeEngineLedger } from '@hemlocksill/routing/engine-ledger.js';
import { makeFleetQuota } from '@hemlocksill/routing/fleet-quota.js';
import type { PlacementView } from '@hemlocksill/routing/place-work.js';
import { makeRetryBudget, type RetryBudget } from '@hemlocksill/routing/retry-budget.js';
import { makeServerDirectory } from '@hemlocksill/routing/server-directory.js';
import { makeServerHealth } from '@hemlocksill/routing/server-health.js';
import { makeStreamTiming } from '@hemlocksill/routing/stream-timing.js';
import { makeStreamQueue } from '@hemlocksill/routing/stream-queue.js';
import type { LogRouterEvent } from './events.js';
import { makeCallHandler } from './handle-call.js';
import { pause } from './sleep.js';
import { makePeersController } from './peers-controller.js';
import { servePeerViews } from './peer-views.js';
import { answerText, serveAnswers } from './simple-http-server.js';
import type { RouterMetrics } from './router-metrics.js';
import type { RunDeps } from './run-deps.js';
import { runPlain } from './run-plain.js';
import { runStream } from './run-stream.js';
import { makeViewController } from './view-controller.js';

/** Time in which a connection to a backend server must be made; one way takes a millisecond. */
export const connectTimeoutMs = 150;

/** Period of the reviews of queues, peers and beliefs. */
const tickMs = 100;

/** Bytes of headers that the parser takes; the configuration's own bound is checked after it. */
const parserHeaderBytes = 64 * 1_024;

/** Limits until a configuration is known. */
const assumedHeaderTimeoutMs = 5_000;
const assumedIdleTimeoutMs = 15_000;

/** Time after the signal to stop for which new connections are taken; the balancer needs it. */
const lameDuckMs = 3_000;

/** Time left of the grace period when open requests are given up. */
const graceReserveMs = 400;

/** Jump of the clock of the day against the steady clock that tells of a suspension. */
const suspensionMs = 1_000;

/** Platform ports that a router runs on. */
export interface RouterPorts {
  readonly store: Store;
  readonly format: StoreFormat;
  readonly backends: BackendClient;
  readonly readMetadata: ReadCallMetadata;
  /** Path that the balancer asks. */
  readonly readyPath: string;
  readonly log: LogRouterEvent;
  readonly metrics: RouterMetrics;
}

/** A running router. */
export interface Router {
  /** Stops taking callers, finishes what is open and ends. */
  readonly shutDown: () => Promise<void>;
}

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

/**
 * Starts a router process on its ports.
 *
 * @example
 * const router = startRouter(settings, ports);
 * await router.shutDown();
 */
export const startRouter = (settings: RouterSettings, ports: RouterPorts): Router => {
  const { log, metrics, store, format } = ports;
  const now = (): number => performance.now();
  const incarnation = randomBytes(6).toString('hex');
  const directory = makeServerDirectory();
  const health = makeServerHealth();
  const engineLedger = makeEngineLedger();
  const plainLedger = makeEngineLedger();
  const quota = makeFleetQuota(
    { windowMs: settings.quotaWindowMs, slack: settings.quotaSlack },
    settings.isFirstStart,
    now(),
  );
  const pace = makeStreamTiming();
  const repeats = new Map<string, RetryBudget>();
  let leaving = false;
  let refusing = false;
  let wasReady = false;

  const view = makeViewController({
    store,
    format,
    directory,
    log,
    now,
    isWatcher: () => peers.isWatcher(),
    watchWaitMs: () => chooseWatchWaitMs(peers.countVms()),
    onChange: () => {
      applyLimits();
      peers.noteChange({ kind: 'view', isWatcher: peers.isWatcher() });
    },
  });

  const predictFreeMs = (service: string, tokens: number, at: number): number => {
    const engine = view.table()?.findService(service)?.engine;
    if (!engine) return 0;
    const waiting = tokens + queue.waitingTokens(service) + peers.waitingTokens(service);
    return pace.predictFreeMs(directory.listReady(service, at), engine, engineLedger, waiting, at);
  };

  const queue = makeStreamQueue(predictFreeMs);

  const describeWaiting = (): Record<string, number> => {
    const waiting: Record<string, number> = {};
    view.table()?.config.services.forEach(({ name, engine }) => {
      const tokens = engine ? queue.waitingTokens(name) : 0;
      if (tokens > 0) waiting[name] = tokens;
    });
    return waiting;
  };

  const peers = makePeersController({
    vm: settings.vm,
    dataCentre: settings.dataCentre,
    incarnation,
    at: settings.peers,
    seeds: settings.seeds,
    vmPrefix: format.vmPrefix,
    store,
    view,
    describe: () => ({
      loads: engineLedger.getLocalRows(),
      admitted: quota.getTotals(),
      waiting: describeWaiting(),
    }),
    describeLevels: quota.getLevels,
    onLevels: quota.adoptLevels,
    onHeard: (update, isOlder, at) => {
      engineLedger.recordPeerLoad(update.incarnation, update.loads, at);
      quota.recordPeerTotals(update.incarnation, update.admitted, isOlder, at);
      if (queue.size() > 0) queue.process(at);
    },
    onGone: (gone) => engineLedger.removePeer(gone),
    log,
    now,
  });

  const getRepeats = (service: string): RetryBudget => {
    const known =
      repeats.get(service) ??
      makeRetryBudget({
        ratio: settings.retryRatio,
        slack: settings.retrySlack,
        windowMs: settings.retryWindowMs,
      });
    repeats.set(service, known);
    return known;
  };

  const placementView = (): PlacementView => ({
    ledger: engineLedger,
    health,
    dataCentre: settings.dataCentre,
    now: now(),
  });

  const runDeps: RunDeps = {
    backends: ports.backends,
    health,
    engineLedger,
    plainLedger,
    queue,
    pace,
    predictFreeMs,
    listReady: (service) => directory.listReady(service, now()),
    view: placementView,
    takeRepeat: (service) => getRepeats(service).tryTakeRetry(peers.countVms(), now()),
    noteLoadChange: (server) => {
      peers.noteChange({ kind: 'load', dataCentre: server.dataCentre });
      if (queue.size() > 0) setImmediate(() => queue.process(now()));
    },
    log,
    metrics,
    now,
  };

  const plainDeps: RunDeps = {
    ...runDeps,
    view: () => ({ ...placementView(), ledger: plainLedger }),
  };

  const callers = createServer(
    { maxHeaderSize: parserHeaderBytes, requestTimeout: 0, keepAlive: true },
    makeCallHandler({
      table: view.table,
      readFacts: ports.readMetadata,
      quota,
      hooks: { log, metrics, random: Math.random, now, isLeaving: () => leaving },
      takesNew: () => !refusing,
      noteRequest: (service) => getRepeats(service).recordRequest(now()),
      noteScarceRate: () => peers.noteChange({ kind: 'scarce-rate' }),
      runPlain: (ctx, responder) => runPlain(plainDeps, ctx, responder),
      runStream: (ctx, responder) => runStream(runDeps, ctx, responder),
    }),
  );
  callers.headersTimeout = assumedHeaderTimeoutMs;
  callers.keepAliveTimeout = assumedIdleTimeoutMs;

  const applyLimits = (): void => {
    const limits = view.table()?.config.limits;
    if (!limits) return;
    callers.headersTimeout = limits.headerTimeoutMs;
    callers.keepAliveTimeout = limits.idleTimeoutMs;
  };

  const isReady = (): boolean => !leaving && view.isComplete();

  const answerNone = answerText(404, 'no such page');

  const ready = serveAnswers(settings.ready, ({ path }) => {
    if (path !== ports.readyPath) return Promise.resolve(answerNone);
    return Promise.resolve(isReady() ? answerText(200, 'ready') : answerText(503, 'not ready'));
  });

  const metricsServer = serveAnswers(settings.metrics, async ({ path }) => {
    if (path !== '/metrics') return answerNone;
    metrics.waiting.set(queue.size());
    metrics.configVersion.set(view.table()?.config.version ?? 0);
    metrics.storeReachable.set(view.isStoreReachable() ? 1 : 0);
    return answerText(200, await metrics.render());
  });

  const peerServer = servePeerViews(settings.peers, view.rawSince, (error) =>
    log(2005, { reason: error.message }),
  );

  let steadyOffset = Date.now() - now();
  const watchClock = (at: number): void => {
    const offset = Date.now() - at;
    if (Math.abs(offset - steadyOffset) > suspensionMs)
      log(2008, { jumpMs: Math.round(offset - steadyOffset) });
    steadyOffset = offset;
  };

  const tick = setInterval(() => {
    const at = now();
    watchClock(at);
    peers.tick(at);
    quota.setReachableShare(peers.heardShare());
    if (queue.size() > 0) queue.process(at);
    if (isReady() && !wasReady) {
      wasReady = true;
      log(2002, { version: view.table()?.config.version });
    }
  }, tickMs);

  callers.listen(settings.callers.port, settings.callers.host);
  view.start();
  peers.start();
  log(2001, { vm: settings.vm, incarnation, dataCentre: settings.dataCentre });

  return {
    shutDown: async () => {
      const endBy = now() + settings.graceMs - graceReserveMs;
      leaving = true;
      log(2003, { graceMs: settings.graceMs });
      await pause(Math.min(lameDuckMs, settings.graceMs / 2));
      refusing = true;
      const closed = closeServer(callers);
      callers.closeIdleConnections();
      await Promise.race([closed, pause(Math.max(0, endBy - now()))]);
      log(2004, {});
      clearInterval(tick);
      view.stop();
      await peers.stop();
      await Promise.race([
        Promise.all([ready, metricsServer, peerServer].map(closeServer)),
        pause(10),
      ]);
    },
  };
};
