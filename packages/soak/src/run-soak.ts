import { setTimeout as pause } from 'node:timers/promises';
import { makeSeededRandom } from '@hemlocksill/bench/seeded-random.js';
import {
  enterRunner,
  publishConfig,
  startStandInPlatform,
  waitReady,
  type RouterProcess,
  type StandInPlatform,
} from '@hemlocksill/platform/fakes/stand-in-platform.js';
import type { RunnerPlan, StandInRunner } from '@hemlocksill/platform/fakes/stand-in-runner.js';
import { checkPromises, type Violation } from './check-promises.js';
import { driveCallers } from './drive-callers.js';
import { planFaults, type SoakFault } from './plan-faults.js';
import type { BindingChange, SoakRecord, Span } from './records.js';
import { startTcpProxy, type TcpProxy } from './tcp-proxy.js';

/** Events of a stream and the pause between them. */
const streamEvents = 12;
const gapMs = 40;

const callerCount = 16;

/** Time in which a stopped VM ends: its grace, and what the machine adds. */
const graceMs = 4_000;

/** Calm time at the end, in which the fleet must serve again. */
const calmMs = 16_000;

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults begin. */
  readonly faultMs: number;
  readonly vms: number;
}

/** What a soak found. */
export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  readonly served: number;
  readonly faults: readonly SoakFault[];
  readonly violations: readonly Violation[];
  /** Log lines of all VMs, for tracing a violation. */
  readonly lines: readonly string[];
}

interface Server {
  readonly service: string;
  readonly runner: StandInRunner;
  readonly proxy: TcpProxy;
}

interface Vm {
  process: RouterProcess;
  readonly storeProxy: TcpProxy;
  readonly troubles: Span[];
  isDown: boolean;
}

const serverPlans: readonly (readonly [string, RunnerPlan])[] = [
  ['llm', { id: 'p1', stage: 'prefill' }],
  ['llm', { id: 'p2', stage: 'prefill' }],
  ['llm', { id: 'd1', stage: 'decode' }],
  ['llm', { id: 'd2', stage: 'decode' }],
  ['llm', { id: 'd3', stage: 'decode' }],
  ['desk', { id: 's1' }],
  ['desk', { id: 's2' }],
  ['desk', { id: 's3' }],
];

const startServers = (platform: StandInPlatform): Promise<Server[]> =>
  Promise.all(
    serverPlans.map(async ([service, plan]) => {
      const full = { ...plan, events: streamEvents, gapMs, workMs: 15, isEchoing: true };
      const runner = await platform.addRunner(service, full);
      const proxy = await startTcpProxy(runner.port);
      enterRunner(platform.store, service, runner, 'ready', proxy.port);
      return { service, runner, proxy };
    }),
  );

/** Plays the faults of a seed against real router processes and checks what is promised. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const start = performance.now();
  const now = (): number => performance.now() - start;
  const platform = await startStandInPlatform();
  let version = 1;
  let key = 'k1';
  publishConfig(platform.store, version);
  const servers = await startServers(platform);
  const vms: Vm[] = await Promise.all(
    Array.from({ length: options.vms }, async (_, n) => {
      const storeProxy = await startTcpProxy(platform.store.port);
      const process = await platform.startRouter(`vm-${n + 1}`, {
        store: `127.0.0.1:${storeProxy.port}`,
        'grace-s': String(graceMs / 1_000),
        'quota-slack': '1000000',
      });
      return { process, storeProxy, troubles: [], isDown: false };
    }),
  );
  await Promise.all(vms.map((vm) => waitReady(platform, vm.process)));
  const changes: BindingChange[] = [];
  const storeOutages: Span[] = [];
  const serverTroubles: Span[] = [];
  const stops: (Span & { vm: string })[] = [];
  const faultsFrom = now();
  const callers = driveCallers(
    {
      vms: options.vms,
      router: (n) => (vms[n] as Vm).process,
      isReady: (n) => !vms[n]?.isDown,
      key: () => key,
      random: makeSeededRandom(options.seed + 1_000_000),
      now,
    },
    callerCount,
  );

  /** Harms something for a time; what ends well after its start also ends in the record. */
  const during = async (spans: Span[], forMs: number, undo: () => void): Promise<void> => {
    const span = { from: now(), to: Number.POSITIVE_INFINITY };
    spans.push(span);
    await pause(forMs);
    undo();
    span.to = now();
  };

  const bringBack = async (vm: Vm, span: { to: number }): Promise<void> => {
    vm.process = platform.startAgain(vm.process);
    await waitReady(platform, vm.process);
    vm.isDown = false;
    span.to = now();
  };

  /** Takes a VM down in one of three ways and brings it back. */
  const harmVm = async (vm: Vm, fault: SoakFault): Promise<void> => {
    if (vm.isDown) return;
    vm.isDown = true;
    const span = { from: now(), to: Number.POSITIVE_INFINITY };
    vm.troubles.push(span);
    const { child, exited } = vm.process;
    if (fault.kind === 'vm-pause') {
      child.kill('SIGSTOP');
      await pause(fault.forMs);
      child.kill('SIGCONT');
      vm.isDown = false;
      span.to = now();
      return;
    }
    child.kill(fault.kind === 'vm-kill' ? 'SIGKILL' : 'SIGTERM');
    await exited;
    if (fault.kind === 'vm-stop') stops.push({ from: span.from, to: now(), vm: vm.process.vm });
    await pause(fault.forMs);
    await bringBack(vm, span);
  };

  const withdrawKey = (): void => {
    version += 1;
    const next = `key-${version}`;
    publishConfig(platform.store, version, [next]);
    changes.push({ kind: 'key-withdrawn', key, at: now() });
    key = next;
  };

  const takeAway = async (server: Server, forMs: number): Promise<void> => {
    const { store } = platform;
    enterRunner(store, server.service, server.runner, 'draining', server.proxy.port);
    const change = { kind: 'server-leaving' as const, server: server.runner.plan.id, at: now() };
    await pause(forMs + 4_000);
    changes.push(change);
  };

  const harmStore = (fault: SoakFault & { readonly kind: 'store' }): Promise<void> => {
    if (fault.how === 'forget') {
      platform.store.forgetHistory();
      return Promise.resolve();
    }
    platform.store.setMode(fault.how);
    return during(storeOutages, fault.forMs, () => platform.store.setMode('serving'));
  };

  const strike = async (fault: SoakFault): Promise<void> => {
    switch (fault.kind) {
      case 'vm-kill':
      case 'vm-pause':
      case 'vm-stop':
        return harmVm(vms[fault.vm] as Vm, fault);
      case 'store':
        return harmStore(fault);
      case 'store-link': {
        const vm = vms[fault.vm] as Vm;
        vm.storeProxy.setMode(fault.mode);
        return during(vm.troubles, fault.forMs, () => vm.storeProxy.setMode('pass'));
      }
      case 'server-link': {
        const { proxy } = servers[fault.server] as Server;
        proxy.setMode(fault.mode);
        return during(serverTroubles, fault.forMs, () => proxy.setMode('pass'));
      }
      case 'server-full': {
        const { plan } = (servers[fault.server] as Server).runner;
        plan.isFull = true;
        return during([], fault.forMs, () => {
          plan.isFull = false;
        });
      }
      case 'server-leaves':
        return takeAway(servers[fault.server] as Server, fault.forMs);
      case 'config-storm':
        for (let n = 0; n < 8; n += 1) {
          version += 1;
          publishConfig(platform.store, version, [key]);
          await pause(60);
        }
        return undefined;
      default:
        withdrawKey();
        return undefined;
    }
  };

  const faults = planFaults(options.seed, {
    vms: options.vms,
    servers: servers.length,
    faultMs: options.faultMs,
  });
  // One server of each kind always stays.
  const stays = new Set([0, 2, 5]);
  const played = faults.filter((f) => f.kind !== 'server-leaves' || !stays.has(f.server));
  const left = new Set<number>();
  await Promise.all(
    played.map(async (fault) => {
      await pause(Math.max(0, faultsFrom + fault.at - now()));
      if (fault.kind === 'server-leaves') {
        if (left.has(fault.server)) return;
        left.add(fault.server);
      }
      await strike(fault);
    }),
  );
  const calmFrom = now();
  await pause(calmMs);
  await callers.stop();
  const endedAt = now();
  const record: SoakRecord = {
    calls: callers.records,
    runs: servers.flatMap(({ runner }) =>
      runner.seen.map((run) => ({
        id: run.id,
        server: runner.plan.id,
        isPrefill: run.isPrefill,
        workspace: run.workspace,
        hasKey: run.hasKey,
        at: run.at - start,
        endedAt: run.endedAt === undefined ? undefined : run.endedAt - start,
      })),
    ),
    changes,
    storeOutages,
    vmTroubles: new Map(vms.map((vm) => [vm.process.vm, vm.troubles])),
    serverTroubles,
    stops,
    endedAt,
    calmFrom,
  };
  const lines = vms.flatMap((vm) => vm.process.lines());
  await platform.close();
  servers.forEach(({ proxy }) => proxy.close());
  vms.forEach(({ storeProxy }) => storeProxy.close());
  return {
    seed: options.seed,
    calls: record.calls.length,
    served: record.calls.filter((call) => call.status === 200 && call.isWhole).length,
    faults: played,
    violations: checkPromises(record, streamEvents),
    lines,
  };
};
