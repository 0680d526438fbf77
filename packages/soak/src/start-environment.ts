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
import type { BindingChange, RunRecord, Span } from './records.js';
import { startTcpProxy, type TcpProxy } from './tcp-proxy.js';

/** Events of a whole stream. */
export const streamEvents = 12;

/** Pause between two events, and time that a plain answer takes. */
const gapMs = 40;
const workMs = 15;

/** Grace of a VM that is told to stop. */
const graceS = 4;

/** A backend server behind its proxy. */
export interface Server {
  readonly service: string;
  readonly runner: StandInBackendServer;
  readonly proxy: TcpProxy;
  /** Whether one of its kind would be missed; it never leaves. */
  readonly stays: boolean;
  isLeaving: boolean;
}

/** A VM with its proxy before the store. */
export interface Vm {
  process: RouterProcess;
  readonly storeProxy: TcpProxy;
  readonly troubles: Span[];
  isDown: boolean;
}

/** Everything that a soak runs, and what was done to it. */
export interface World {
  readonly platform: StandInPlatform;
  readonly servers: readonly Server[];
  readonly vms: readonly Vm[];
  /** Version and key that are in force. */
  version: number;
  key: string;
  readonly changes: BindingChange[];
  readonly storeOutages: Span[];
  readonly serverTroubles: Span[];
  readonly stops: (Span & { readonly vm: string })[];
  /** Milliseconds since the start. */
  readonly now: () => number;
  readonly listRuns: () => RunRecord[];
  readonly close: () => Promise<void>;
}

const serverPlans: readonly (readonly [string, BackendServerOptions, boolean])[] = [
  ['llm', { id: 'p1', stage: 'prefill' }, true],
  ['llm', { id: 'p2', stage: 'prefill' }, false],
  ['llm', { id: 'd1', stage: 'decode' }, true],
  ['llm', { id: 'd2', stage: 'decode' }, false],
  ['llm', { id: 'd3', stage: 'decode' }, false],
  ['desk', { id: 's1' }, true],
  ['desk', { id: 's2' }, false],
  ['desk', { id: 's3' }, false],
];

/** Number of backend servers of a soak. */
export const serverCount = serverPlans.length;

const startServers = (platform: StandInPlatform): Promise<Server[]> =>
  Promise.all(
    serverPlans.map(async ([service, plan, stays]) => {
      const full = { ...plan, events: streamEvents, gapMs, workMs, isEchoing: true };
      const runner = await platform.addBackendServer(service, full);
      const proxy = await startTcpProxy(runner.port);
      registerBackendServer(platform.store, service, runner, 'ready', proxy.port);
      return { service, runner, proxy, stays, isLeaving: false };
    }),
  );

const startVm = async (platform: StandInPlatform, name: string): Promise<Vm> => {
  const storeProxy = await startTcpProxy(platform.store.port);
  const process = await platform.startRouter(name, {
    store: `127.0.0.1:${storeProxy.port}`,
    'grace-s': String(graceS),
    'quota-slack': '1000000',
  });
  return { process, storeProxy, troubles: [], isDown: false };
};

/**
 * Starts stand-ins and router processes and waits until all VMs take callers.
 *
 * @example
 * const world = await startWorld(4);
 * await world.close();
 */
export const startWorld = async (vmCount: number): Promise<World> => {
  const start = performance.now();
  const platform = await startStandInPlatform();
  const key = 'k1';
  publishConfig(platform.store, 1, [key]);
  const servers = await startServers(platform);
  const names = Array.from({ length: vmCount }, (_, n) => `vm-${n + 1}`);
  const vms = await Promise.all(names.map((name) => startVm(platform, name)));
  await Promise.all(vms.map((vm) => waitUntilReady(platform, vm.process)));
  return {
    platform,
    servers,
    vms,
    version: 1,
    key,
    changes: [],
    storeOutages: [],
    serverTroubles: [],
    stops: [],
    now: () => performance.now() - start,
    listRuns: () =>
      servers.flatMap(({ runner }) =>
        runner.receivedRequests.map((run) => ({
          id: run.id,
          server: runner.options.id,
          isPrefill: run.isPrefill,
          workspace: run.workspace,
          hasKey: run.hasKey,
          at: run.arrivedAt - start,
          endedAt: run.endedAt === undefined ? undefined : run.endedAt - start,
        })),
      ),
    close: async () => {
      await platform.close();
      servers.forEach(({ proxy }) => proxy.close());
      vms.forEach(({ storeProxy }) => storeProxy.close());
    },
  };
};
