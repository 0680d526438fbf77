import { randomBytes } from 'node:crypto';
import type Logger from 'bunyan';
import type { EntrySettings } from '@hemlocksill/config/settings.js';
import { makePeerClient } from '@hemlocksill/peer/peer-client.js';
import { startPeerServer } from '@hemlocksill/peer/peer-server.js';
import { makeBurnRecorder } from '@hemlocksill/report/burn-recorder.js';
import { getStoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { makeHttpStore } from '@hemlocksill/store/http-store.js';
import { makeCallService } from './call-service.js';
import { makeCallersApp, type CallerHandlers } from './callers-app.js';
import { readClock, repeatUntilStopped, sleepUntil } from './clock.js';
import { estimateTokens } from './completion-request.js';
import { makeCancels } from './controllers/cancels.js';
import { makeClaims } from './controllers/claims.js';
import { makeControlWatch } from './controllers/control-watch.js';
import { makeGossip } from './controllers/gossip.js';
import { makeHomeClaims } from './controllers/home-claims.js';
import { makeMembership } from './controllers/membership.js';
import { makeOrphans } from './controllers/orphans.js';
import { makePools, type Pools } from './controllers/pools.js';
import { makeRate } from './controllers/rate.js';
import { makeRateShards } from './controllers/rate-shards.js';
import { makeRevisions } from './controllers/revisions.js';
import { trackServerStates } from './controllers/server-states.js';
import { makeUpgrades } from './controllers/upgrades.js';
import { makeEngineClient } from './engine-client.js';
import { makeEventLog } from './events.js';
import { makeChargeRate } from './filters/charge-rate.js';
import { makeClaimOnce, makeIssueKey } from './filters/claim-once.js';
import { makeDecodeCompletion } from './filters/decode-completion.js';
import {
  rejectKeyInBody,
  rejectDuplicateHeaders,
  makeAuthenticate,
} from './filters/authenticate.js';
import { makeObserveBurn } from './filters/observe-burn.js';
import { readBody } from './filters/read-body.js';
import { makeResumeStream } from './filters/resume-stream.js';
import { makeTrackRequest } from './filters/track-request.js';
import { listen } from './listen.js';
import { makeMetrics } from './metrics.js';
import { makeOperatorsApp } from './operators-app.js';
import { composeFilters } from './request-context.js';
import { makeRequestTable } from './request-table.js';
import { makeRunCompletion } from './run-completion.js';

const incarnationBytes = 8;
const readinessCheckPeriodMs = 500;
const drainPollPeriodMs = 50;

/** A running entry process. */
export interface Entry {
  readonly incarnation: string;
  readonly ports: { readonly callers: number; readonly peers: number; readonly operators: number };
  readonly isReady: () => boolean;
  /** Applies changed secrets and certificates without a restart. */
  readonly reload: (settings: EntrySettings) => void;
  /** Hands over rate shards, finishes the requests in progress and leaves the fleet. */
  readonly shutDown: () => Promise<void>;
  /** Stops immediately, without finishing requests in progress. */
  readonly stop: () => void;
}

/** Controllers that an embedding program may replace. */
export interface EntryOverrides {
  /** Replaces the placement on backend servers, for benchmarks. */
  readonly makePools?: typeof makePools;
  /** Replaces the rate limits, for benchmarks. */
  readonly makeRate?: typeof makeRate;
  /** Replaces at-most-once claims, for benchmarks. */
  readonly makeClaims?: typeof makeClaims;
}

/**
 * Starts an entry process: the listeners for callers, peers and operators, the request filters
 * and the controllers.
 *
 * @example
 * const entry = await startEntry(settings, log, {});
 * process.on('SIGTERM', () => void entry.shutDown());
 */
export const startEntry = async (
  initialSettings: EntrySettings,
  log: Logger,
  overrides: EntryOverrides,
): Promise<Entry> => {
  let settings = initialSettings;
  const incarnation = randomBytes(incarnationBytes).toString('hex');
  const logEvent = makeEventLog(log);
  const metrics = makeMetrics(settings.statsd, () => {});
  const { emit } = metrics;
  const stopping = new AbortController();
  const { signal } = stopping;
  const storeCalls: Record<string, number> = {};
  let peerBytes = 0;
  let isLeaving = false;
  let isClosed = false;

  const store = makeHttpStore(settings.storeUrls, (kind, outcome) => {
    storeCalls[kind] = (storeCalls[kind] ?? 0) + 1;
    emit('store.calls', 1, { kind, outcome });
  });
  const countBytes = (bytes: number): void => {
    peerBytes += bytes;
    emit('peer.bytes', bytes);
  };
  const peerSecrets = (): readonly string[] => settings.peerSecrets;
  const self = { vm: settings.vm, incarnation };
  const peers = makePeerClient({ self, secrets: peerSecrets, countBytes });
  const engines = makeEngineClient();
  const table = makeRequestTable(incarnation);
  const burn = makeBurnRecorder();
  const keys = getStoreKeys(settings.environment);
  const watch = makeControlWatch(store, keys.control, logEvent);
  const membership = makeMembership({
    store,
    keys,
    watch,
    logEvent,
    self: {
      ...self,
      dataCentre: settings.dataCentre,
      region: settings.region,
      peers: settings.peers,
      operators: settings.operators,
      callers: settings.callers,
      state: 'starting',
    },
  });
  const revisions = makeRevisions({ store, keys, watch, peers, logEvent });
  const { snapshot } = revisions;
  const gossip = makeGossip({
    membership,
    revisions,
    peers,
    watch,
    membersPrefix: keys.members,
    seeds: settings.seeds,
    random: Math.random,
  });
  const shards = makeRateShards({ store, keys, watch, membership, peers, logEvent });
  const rate = (overrides.makeRate ?? makeRate)({
    shards,
    peers,
    findWorkspace: (name) => snapshot()?.document.workspaces.get(name),
  });
  const retentionMs = (): number => snapshot()?.document.limits.claimRetentionMs ?? 0;
  const claims = (overrides.makeClaims ?? makeClaims)({
    store,
    keys,
    membership,
    peers,
    retentionMs,
    logEvent,
  });
  const homeClaims = makeHomeClaims({ membership, peers, retentionMs });
  const cancels = makeCancels(engines);
  const orphans = makeOrphans({
    membership,
    peers,
    engines,
    table,
    logEvent,
    emit,
  });
  const serverStates = trackServerStates(watch, keys, () => pools.refresh());
  const pools: Pools = (overrides.makePools ?? makePools)({
    membership,
    peers,
    engines,
    orphans,
    snapshot,
    serverStates,
    logEvent,
  });
  const upgrades = makeUpgrades({
    store,
    keys,
    watch,
    membership,
    engines,
    snapshot,
    isProven: revisions.isProven,
    logEvent,
  });

  revisions.onChange((newSnapshot) => {
    pools.refresh();
    emit('revision.in_force', newSnapshot.revision);
    table
      .list()
      .filter((req) => req.keyId !== undefined && !newSnapshot.keys.has(req.keyId))
      .forEach((req) => req.cancelForWithdrawnKey());
  });

  const observeBurn = makeObserveBurn({ burn, logEvent, emit });
  const authenticate = makeAuthenticate(revisions.isProven);
  const trackRequest = makeTrackRequest(table);
  const chargeRate = makeChargeRate(rate);
  const callService = makeCallService({ serverStates, random: Math.random });
  const runCompletion = makeRunCompletion({
    pools,
    engines,
    cancels,
    table,
    incarnation,
    resumeSecret: () => settings.peerSecrets[0] ?? '',
  });
  const commonFilters = [
    observeBurn,
    rejectDuplicateHeaders,
    authenticate,
    trackRequest,
    readBody,
    rejectKeyInBody,
  ];
  const makeCompletionChain = (kind: 'text' | 'chat') =>
    composeFilters(
      [...commonFilters, makeDecodeCompletion(kind, estimateTokens), chargeRate],
      runCompletion,
    );
  const handlers: CallerHandlers = {
    text: makeCompletionChain('text'),
    chat: makeCompletionChain('chat'),
    resume: composeFilters(
      [observeBurn, rejectDuplicateHeaders, authenticate, trackRequest],
      makeResumeStream({ engines, cancels, table, incarnation }, peerSecrets),
    ),
    service: composeFilters(
      [...commonFilters, chargeRate, makeClaimOnce({ claims, homeClaims, secrets: peerSecrets })],
      callService.handler,
    ),
    issueKey: composeFilters([...commonFilters], makeIssueKey(incarnation, peerSecrets)),
  };

  const isReady = (): boolean => !isLeaving && snapshot() !== undefined && revisions.isProven();
  const callersApp = makeCallersApp({
    handlers,
    snapshot,
    isReady,
    isClosed: () => isClosed,
    logEvent,
  });
  const getMemoryMb = (): number => Math.round(process.memoryUsage().rss / 1_048_576);
  const operatorsApp = makeOperatorsApp({
    logEvent,
    secrets: () => settings.operatorSecrets,
    views: {
      status: () => ({
        vm: settings.vm,
        incarnation,
        dataCentre: settings.dataCentre,
        ready: isReady(),
        leaving: isLeaving,
        revision: revisions.revision(),
        proofAgeMs: revisions.proofAgeMs(),
        storeReachable: membership.isStoreReachable(),
        members: membership.members().map((member) => member.vm),
        openRequests: table.size(),
        rateShards: shards.countLocal(),
        pools: pools.describe(),
        upgrades: upgrades.describe(),
        storeCalls,
        peerBytes,
        memoryMb: getMemoryMb(),
        cpuSeconds: process.cpuUsage().user / 1e6 + process.cpuUsage().system / 1e6,
      }),
      burn: () => burn.read(settings.vm, readClock()),
      offerHead: revisions.offerHead,
    },
  });

  const peerServer = await startPeerServer({
    host: settings.peers.host,
    port: settings.peers.port,
    self,
    secrets: peerSecrets,
    countBytes,
    onRejected: (reason) => logEvent(1701, { reason }),
    methods: {
      ...gossip.methods,
      ...shards.methods,
      ...rate.methods,
      ...claims.methods,
      ...homeClaims.methods,
      ...orphans.methods,
      ...pools.methods,
    },
  });
  const operators = await listen(operatorsApp, settings.operators, settings.tls);
  const callers = await listen(callersApp, settings.callers, settings.tls);
  logEvent(1001, { vm: settings.vm, incarnation });

  const startControllers = async (): Promise<void> => {
    await watch.start(signal);
    await membership.start(signal);
    await revisions.start(signal);
    gossip.start(signal);
    shards.start(signal);
    rate.start(signal);
    pools.start(signal);
    upgrades.start(signal);
  };
  void startControllers();

  let wasReady = false;
  let wasProven = true;
  const checkReadiness = async (): Promise<void> => {
    const isProven = revisions.isProven();
    if (wasReady && isProven !== wasProven) logEvent(isProven ? 1204 : 1203);
    wasProven = isProven;
    if (!wasReady && isReady()) {
      wasReady = true;
      await membership.setState('serving');
      logEvent(1002, { revision: revisions.revision() });
    }
    emit('requests.open', table.size());
    emit('rate.shards', shards.countLocal());
    emit('proof.age_ms', revisions.proofAgeMs() ?? -1);
    const poolDescriptions = Object.values(pools.describe());
    emit(
      'pool.queued',
      poolDescriptions.reduce((sum, pool) => sum + pool.queued.urgent + pool.queued.patient, 0),
    );
  };
  void repeatUntilStopped(readinessCheckPeriodMs, signal, checkReadiness);

  const stop = (): void => {
    stopping.abort();
    callers.close();
    operators.close();
    void peerServer.close();
    peers.close();
    engines.close();
    callService.close();
    metrics.close();
  };

  const hasPendingWork = (): boolean =>
    table.size() > 0 || claims.countPendingOutcomes() > 0 || cancels.countPending() > 0;

  const shutDown = async (): Promise<void> => {
    if (isLeaving) return;
    isLeaving = true;
    const deadline = readClock() + settings.shutdownMs;
    logEvent(1003, { open: table.size() });
    await membership.setState('leaving');
    await shards.handOverAll();
    await upgrades.releaseRole();
    // The load balancer's list of VMs lags, so new requests are accepted for `lame-duck-ms`.
    await sleepUntil(Math.min(deadline, readClock() + settings.lameDuckMs), signal);
    const connectionsClosed = callers.drain();
    while (hasPendingWork() && readClock() < deadline)
      await sleepUntil(readClock() + drainPollPeriodMs);
    isClosed = true;
    if (hasPendingWork()) logEvent(1005, { open: table.size() });
    await Promise.race([connectionsClosed, sleepUntil(readClock() + drainPollPeriodMs)]);
    await membership.leave();
    logEvent(1004);
    stop();
  };

  return {
    incarnation,
    ports: { callers: callers.port, peers: peerServer.port, operators: operators.port },
    isReady,
    reload: (newSettings) => {
      settings = {
        ...settings,
        peerSecrets: newSettings.peerSecrets,
        operatorSecrets: newSettings.operatorSecrets,
      };
      callers.reloadTls();
      operators.reloadTls();
      logEvent(1007);
    },
    shutDown,
    stop,
  };
};
