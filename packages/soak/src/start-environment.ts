import { setTimeout as sleep } from 'node:timers/promises';
import {
  registerBackendServer,
  removeBackendServer,
  publishConfig,
  startStandInPlatform,
  waitUntilReady,
  type RouterProcess,
  type StandInPlatform,
} from '@hemlocksill/platform/fakes/stand-in-platform.js';
import type {
  BackendServerOptions,
  StandInBackendServer,
} from '@hemlocksill/platform/fakes/stand-in-backend-server.js';
import type {
  AcknowledgedChange,
  CallRecord,
  CrashRecord,
  LimitSpan,
  RejectionRecord,
  RunRecord,
  Service,
  Span,
  StopRecord,
} from './records.js';
import { startEndlessServers, type EndlessServerPool } from './endless-servers.js';
import { startReturningEngines, type ReturningEngines } from './returning-engines.js';
import { startTcpProxy, type TcpProxy } from './tcp-proxy.js';

/** Number of events in a complete stream, and in one of an engine that comes back. */
const streamEvents = 12;
const longStreamEvents = 30;

/** Interval between two events of a stream. */
const eventGapMs = 40;

/** Processing time of a plain request or a prefill. */
const workMs = 15;

/** Part at the start of the prompts of all callers. */
export const sharedPart = 'a1';

/** Suffix of the parts on which engines crash. */
export const crashingPartSuffix = 'bad';

/** Length of the body of a request that crashes servers; sound requests have shorter ones. */
export const crashingBodyBytes = 64;

/** Time until a crashed server is back as a new instance. */
const restartDelayMs = 400;

/** Grace period of a VM after SIGTERM. */
export const graceMs = 4_000;

/** A backend server and the proxy in front of it. */
export interface ProxiedServer {
  readonly service: Service;
  /** The current instance and the proxy in front of it; a new one replaces it after a crash. */
  backend: StandInBackendServer;
  proxy: TcpProxy;
  /** All instances, those that have crashed included. */
  readonly instances: StandInBackendServer[];
  readonly faultSpans: Span[];
  /** Never drained, so that each service and stage keeps at least one server. */
  readonly isPermanent: boolean;
  isLeaving: boolean;
}

/** A VM and the proxy between it and the store. */
export interface ProxiedVm {
  process: RouterProcess;
  readonly storeProxy: TcpProxy;
  readonly faultSpans: Span[];
  readonly storeLinkSpans: Span[];
  readonly lateSpans: Span[];
  isDown: boolean;
}

/** The processes of a soak and the record of the faults and changes applied to them. */
export interface SoakEnvironment {
  readonly platform: StandInPlatform;
  readonly servers: readonly ProxiedServer[];
  readonly vms: readonly ProxiedVm[];
  /** Undefined if engines don't come back under their id. */
  readonly engines: ReturningEngines | undefined;
  /** Undefined if no servers answer without an end. */
  readonly endless: EndlessServerPool | undefined;
  /** Configuration version and API key currently published. */
  version: number;
  key: string;
  readonly changes: AcknowledgedChange[];
  readonly storeOutages: Span[];
  readonly stops: StopRecord[];
  readonly crashingParts: string[];
  readonly crashingRequests: string[];
  /** Calls with requests that crash servers. */
  readonly crashingCalls: CallRecord[];
  readonly crashes: readonly CrashRecord[];
  readonly limitSpans: LimitSpan[];
  /** Starts a server of another software version beside one of the same service and stage. */
  readonly addVersion: (server: ProxiedServer) => Promise<void>;
  /** Milliseconds since the start of the soak. */
  readonly now: () => number;
  readonly listRuns: () => Promise<RunRecord[]>;
  readonly listRejections: () => RejectionRecord[];
  readonly close: () => Promise<void>;
}

const serverDefinitions: readonly (readonly [Service, BackendServerOptions, boolean])[] = [
  ['llm', { id: 'p1', stage: 'prefill' }, true],
  ['llm', { id: 'p2', stage: 'prefill' }, false],
  ['llm', { id: 'd1', stage: 'decode' }, true],
  ['llm', { id: 'd2', stage: 'decode' }, false],
  ['llm', { id: 'd3', stage: 'decode' }, false],
  ['desk', { id: 's1' }, true],
  ['desk', { id: 's2' }, false],
  ['desk', { id: 's3' }, false],
];

/**
 * Backend servers of a soak: one of each service and stage, so that none can replace another, or more. Engines
 * that come back under their id all start with one software version, or with two.
 */
export type ServerSet = 'single' | 'several' | 'returning' | 'returning-mixed';

const hasReturningEngines = (set: ServerSet): boolean =>
  set === 'returning' || set === 'returning-mixed';

const listDefinitions = (set: ServerSet) =>
  hasReturningEngines(set)
    ? serverDefinitions.filter(([, { stage }]) => stage !== 'decode')
    : serverDefinitions.filter(([, , isPermanent]) => isPermanent || set === 'several');

/**
 * Returns the number of events in a complete stream.
 *
 * @example
 * countStreamEvents('single'); // 12
 */
export const countStreamEvents = (set: ServerSet): number =>
  hasReturningEngines(set) ? longStreamEvents : streamEvents;

/**
 * Returns the number of backend servers of a set.
 *
 * @example
 * countServers('single'); // 3
 */
export const countServers = (set: ServerSet): number => listDefinitions(set).length;

const startServer = async (
  platform: StandInPlatform,
  service: Service,
  options: BackendServerOptions,
): Promise<Pick<ProxiedServer, 'backend' | 'proxy'>> => {
  const backend = await platform.addBackendServer(service, {
    ...options,
    events: streamEvents,
    gapMs: eventGapMs,
    workMs,
    isEchoing: true,
    showsVersion: true,
    crashingPart: crashingPartSuffix,
    crashesOn: ({ headers }) => Number(headers['content-length']) === crashingBodyBytes,
  });
  const proxy = await startTcpProxy(backend.port);
  registerBackendServer(platform.store, service, backend, 'ready', proxy.port);
  return { backend, proxy };
};

/** Replaces a server that crashed by a new instance, unless it was to leave anyway. */
const replaceCrashed = async (
  platform: StandInPlatform,
  server: ProxiedServer,
  options: BackendServerOptions,
  now: () => number,
): Promise<void> => {
  const span = { from: now(), to: Number.POSITIVE_INFINITY };
  server.faultSpans.push(span);
  removeBackendServer(platform.store, server.backend);
  server.proxy.close();
  await sleep(restartDelayMs);
  if (!server.isLeaving) {
    const id = `${options.id}-${server.instances.length + 1}`;
    Object.assign(server, await startServer(platform, server.service, { ...options, id }));
    server.instances.push(server.backend);
  }
  span.to = now();
};

const startProxiedServer = async (
  platform: StandInPlatform,
  service: Service,
  definition: BackendServerOptions,
  isPermanent: boolean,
  now: () => number,
  crashes: CrashRecord[],
): Promise<ProxiedServer> => {
  const options = {
    ...definition,
    onCrash: () => {
      crashes.push({ server: server.backend.options.id, at: now() });
      void replaceCrashed(platform, server, options, now);
    },
  };
  const started = await startServer(platform, service, options);
  const server: ProxiedServer = {
    ...started,
    service,
    instances: [started.backend],
    faultSpans: [],
    isPermanent,
    isLeaving: false,
  };
  return server;
};

const startServers = (
  platform: StandInPlatform,
  set: ServerSet,
  now: () => number,
  crashes: CrashRecord[],
): Promise<ProxiedServer[]> =>
  Promise.all(
    listDefinitions(set).map(([service, definition, isPermanent]) =>
      startProxiedServer(platform, service, definition, isPermanent, now, crashes),
    ),
  );

const startVm = async (
  platform: StandInPlatform,
  name: string,
  recordsOrigins: boolean,
): Promise<ProxiedVm> => {
  const storeProxy = await startTcpProxy(platform.store.port);
  const process = await platform.startRouter(name, {
    store: `127.0.0.1:${storeProxy.port}`,
    'grace-s': String(graceMs / 1_000),
    'quota-slack': '1000000',
    ...(recordsOrigins ? { 'origin-records': 'true' } : {}),
  });
  return {
    process,
    storeProxy,
    faultSpans: [],
    storeLinkSpans: [],
    lateSpans: [],
    isDown: false,
  };
};

/**
 * Starts stand-ins and router processes and waits until all VMs are ready for callers.
 *
 * @example
 * const environment = await startEnvironment(4, 'several', true, false);
 * await environment.close();
 */
export const startEnvironment = async (
  vmCount: number,
  serverSet: ServerSet,
  recordsOrigins: boolean,
  hasEndlessServers: boolean,
): Promise<SoakEnvironment> => {
  const startedAt = performance.now();
  const now = (): number => performance.now() - startedAt;
  const platform = await startStandInPlatform();
  const key = 'k1';
  publishConfig(platform.store, 1, [key], hasReturningEngines(serverSet));
  const crashes: CrashRecord[] = [];
  const servers = await startServers(platform, serverSet, now, crashes);
  const engineOptions = {
    events: longStreamEvents,
    gapMs: eventGapMs,
    isEchoing: true,
    showsVersion: true,
    showsStart: true,
  };
  const engines = hasReturningEngines(serverSet)
    ? await startReturningEngines(platform, engineOptions, serverSet === 'returning-mixed', now)
    : undefined;
  const endless = hasEndlessServers ? await startEndlessServers(startedAt) : undefined;
  const vmNames = Array.from({ length: vmCount }, (_, n) => `vm-${n + 1}`);
  const vms = await Promise.all(vmNames.map((name) => startVm(platform, name, recordsOrigins)));
  await Promise.all(vms.map((vm) => waitUntilReady(platform, vm.process)));
  return {
    platform,
    servers,
    vms,
    engines,
    endless,
    version: 1,
    key,
    changes: [],
    storeOutages: [],
    stops: [],
    crashingParts: [],
    crashingRequests: [],
    crashingCalls: [],
    crashes,
    limitSpans: [],
    addVersion: async ({ service, backend: { options } }) => {
      const version = `v${servers.length + 1}`;
      const { stage } = options;
      const definition = {
        id: `${options.id}-${version}`,
        version,
        ...(stage === undefined ? {} : { stage }),
      };
      servers.push(await startProxiedServer(platform, service, definition, false, now, crashes));
    },
    now,
    listRuns: async () => [
      ...((await endless?.listRuns()) ?? []),
      ...[...servers, ...(engines?.list ?? [])]
        .flatMap(({ instances }) => instances)
        .flatMap(({ options, receivedRequests }) =>
          receivedRequests.map((run) => ({
            id: run.id,
            server: options.id,
            isPrefill: run.isPrefill,
            workspace: run.workspace,
            hasKey: run.hasKey,
            arrivedAt: run.arrivedAt - startedAt,
            endedAt: run.endedAt === undefined ? undefined : run.endedAt - startedAt,
          })),
        ),
    ],
    listRejections: () =>
      servers
        .flatMap(({ instances }) => instances)
        .flatMap(({ options, rejectedRequests }) =>
          rejectedRequests.map(({ id, arrivedAt }) => ({
            id,
            server: options.id,
            arrivedAt: arrivedAt - startedAt,
          })),
        ),
    close: async () => {
      await platform.close();
      engines?.close();
      await endless?.close();
      servers.forEach(({ proxy }) => proxy.close());
      vms.forEach(({ storeProxy }) => storeProxy.close());
    },
  };
};
