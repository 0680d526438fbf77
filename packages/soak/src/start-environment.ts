import {
  registerBackendServer,
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
import type { AcknowledgedChange, RunRecord, Service, Span } from './records.js';
import { startTcpProxy, type TcpProxy } from './tcp-proxy.js';

/** Number of events in a complete stream. */
export const streamEvents = 12;

/** Interval between two events of a stream. */
const eventGapMs = 40;

/** Processing time of a plain request or a prefill. */
const workMs = 15;

/** Grace period of a VM after SIGTERM. */
const graceS = 4;

/** A backend server and the proxy in front of it. */
export interface ProxiedServer {
  readonly service: Service;
  readonly backend: StandInBackendServer;
  readonly proxy: TcpProxy;
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
  isDown: boolean;
}

/** The processes of a soak and the record of the faults and changes applied to them. */
export interface SoakEnvironment {
  readonly platform: StandInPlatform;
  readonly servers: readonly ProxiedServer[];
  readonly vms: readonly ProxiedVm[];
  /** Configuration version and API key currently published. */
  version: number;
  key: string;
  readonly changes: AcknowledgedChange[];
  readonly storeOutages: Span[];
  readonly stops: (Span & { readonly vm: string })[];
  /** Milliseconds since the start of the soak. */
  readonly now: () => number;
  readonly listRuns: () => RunRecord[];
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

/** Backend servers of a soak: one of each service and stage, so that none can replace another, or more. */
export type ServerSet = 'single' | 'several';

const listDefinitions = (set: ServerSet) =>
  serverDefinitions.filter(([, , isPermanent]) => isPermanent || set === 'several');

/**
 * Returns the number of backend servers of a set.
 *
 * @example
 * countServers('single'); // 3
 */
export const countServers = (set: ServerSet): number => listDefinitions(set).length;

const startServers = (platform: StandInPlatform, set: ServerSet): Promise<ProxiedServer[]> =>
  Promise.all(
    listDefinitions(set).map(async ([service, options, isPermanent]) => {
      const fullOptions = {
        ...options,
        events: streamEvents,
        gapMs: eventGapMs,
        workMs,
        isEchoing: true,
      };
      const backend = await platform.addBackendServer(service, fullOptions);
      const proxy = await startTcpProxy(backend.port);
      registerBackendServer(platform.store, service, backend, 'ready', proxy.port);
      return { service, backend, proxy, faultSpans: [], isPermanent, isLeaving: false };
    }),
  );

const startVm = async (platform: StandInPlatform, name: string): Promise<ProxiedVm> => {
  const storeProxy = await startTcpProxy(platform.store.port);
  const process = await platform.startRouter(name, {
    store: `127.0.0.1:${storeProxy.port}`,
    'grace-s': String(graceS),
    'quota-slack': '1000000',
  });
  return { process, storeProxy, faultSpans: [], isDown: false };
};

/**
 * Starts stand-ins and router processes and waits until all VMs are ready for callers.
 *
 * @example
 * const environment = await startEnvironment(4, 'several');
 * await environment.close();
 */
export const startEnvironment = async (
  vmCount: number,
  serverSet: ServerSet,
): Promise<SoakEnvironment> => {
  const startedAt = performance.now();
  const platform = await startStandInPlatform();
  const key = 'k1';
  publishConfig(platform.store, 1, [key]);
  const servers = await startServers(platform, serverSet);
  const vmNames = Array.from({ length: vmCount }, (_, n) => `vm-${n + 1}`);
  const vms = await Promise.all(vmNames.map((name) => startVm(platform, name)));
  await Promise.all(vms.map((vm) => waitUntilReady(platform, vm.process)));
  return {
    platform,
    servers,
    vms,
    version: 1,
    key,
    changes: [],
    storeOutages: [],
    stops: [],
    now: () => performance.now() - startedAt,
    listRuns: () =>
      servers.flatMap(({ backend }) =>
        backend.receivedRequests.map((run) => ({
          id: run.id,
          server: backend.options.id,
          isPrefill: run.isPrefill,
          workspace: run.workspace,
          hasKey: run.hasKey,
          arrivedAt: run.arrivedAt - startedAt,
          endedAt: run.endedAt === undefined ? undefined : run.endedAt - startedAt,
        })),
      ),
    close: async () => {
      await platform.close();
      servers.forEach(({ proxy }) => proxy.close());
      vms.forEach(({ storeProxy }) => storeProxy.close());
    },
  };
};
