import { setTimeout as pause } from 'node:timers/promises';
import {
  registerBackendServer,
  publishConfig,
  waitUntilReady,
} from '@hemlocksill/platform/fakes/stand-in-platform.js';
import type { SoakFault } from './generate-faults.js';
import type { Span } from './records.js';
import type { Server, Vm, World } from './start-environment.js';

/** Time after which the leaving of a server is recorded; it serves on a while before. */
const leavingMs = 4_000;

/** Configurations of a storm and the pause between them. */
const stormVersions = 8;
const stormGapMs = 60;

/** Harms something for a time; a span that never ends is recorded as such. */
const during = async (
  world: World,
  spans: Span[],
  forMs: number,
  undo: () => void,
): Promise<void> => {
  const span = { from: world.now(), to: Number.POSITIVE_INFINITY };
  spans.push(span);
  await pause(forMs);
  undo();
  span.to = world.now();
};

const pauseVm = async (vm: Vm, forMs: number): Promise<void> => {
  vm.process.child.kill('SIGSTOP');
  await pause(forMs);
  vm.process.child.kill('SIGCONT');
};

const restartVm = async (
  world: World,
  vm: Vm,
  signal: 'SIGKILL' | 'SIGTERM',
  forMs: number,
): Promise<void> => {
  const from = world.now();
  vm.process.child.kill(signal);
  await vm.process.exited;
  if (signal === 'SIGTERM') world.stops.push({ from, to: world.now(), vm: vm.process.vm });
  await pause(forMs);
  vm.process = world.platform.restartRouter(vm.process);
  await waitUntilReady(world.platform, vm.process);
};

/** Takes a VM down and brings it back; one that is down already is left alone. */
const harmVm = async (world: World, vm: Vm, harm: () => Promise<void>): Promise<void> => {
  if (vm.isDown) return;
  vm.isDown = true;
  const span = { from: world.now(), to: Number.POSITIVE_INFINITY };
  vm.troubles.push(span);
  await harm();
  vm.isDown = false;
  span.to = world.now();
};

const withdrawKey = (world: World): void => {
  world.version += 1;
  const next = `key-${world.version}`;
  publishConfig(world.platform.store, world.version, [next]);
  world.changes.push({ kind: 'key-withdrawn', key: world.key, at: world.now() });
  world.key = next;
};

const storm = async (world: World): Promise<void> => {
  for (let n = 0; n < stormVersions; n += 1) {
    world.version += 1;
    publishConfig(world.platform.store, world.version, [world.key]);
    await pause(stormGapMs);
  }
};

const takeAway = (world: World, server: Server): Promise<void> => {
  if (server.stays || server.isLeaving) return Promise.resolve();
  server.isLeaving = true;
  const { service, runner, proxy } = server;
  registerBackendServer(world.platform.store, service, runner, 'draining', proxy.port);
  world.changes.push({ kind: 'server-leaving', server: runner.options.id, at: world.now() });
  return pause(leavingMs);
};

const harmStore = (
  world: World,
  how: 'silent' | 'refusing' | 'forget',
  forMs: number,
): Promise<void> => {
  const { store } = world.platform;
  if (how === 'forget') {
    store.compactHistory();
    return Promise.resolve();
  }
  store.setMode(how);
  return during(world, world.storeOutages, forMs, () => store.setMode('serving'));
};

const pick = <T>(list: readonly T[], at: number): T => {
  const found = list[at];
  if (found === undefined) throw new Error(`the plan names number ${at} of ${list.length}`);
  return found;
};

/**
 * Plays one fault; resolves when it is over.
 *
 * @example
 * await strike(world, { kind: 'vm-pause', at: 500, forMs: 800, vm: 1 });
 */
export const strike = async (world: World, fault: SoakFault): Promise<void> => {
  const { forMs } = fault;
  switch (fault.kind) {
    case 'vm-kill':
    case 'vm-stop': {
      const vm = pick(world.vms, fault.vm);
      const signal = fault.kind === 'vm-kill' ? 'SIGKILL' : 'SIGTERM';
      return harmVm(world, vm, () => restartVm(world, vm, signal, forMs));
    }
    case 'vm-pause': {
      const vm = pick(world.vms, fault.vm);
      return harmVm(world, vm, () => pauseVm(vm, forMs));
    }
    case 'store':
      return harmStore(world, fault.how, forMs);
    case 'store-link': {
      const { storeProxy, troubles } = pick(world.vms, fault.vm);
      storeProxy.setMode(fault.mode);
      return during(world, troubles, forMs, () => storeProxy.setMode('pass'));
    }
    case 'server-link': {
      const { proxy } = pick(world.servers, fault.server);
      proxy.setMode(fault.mode);
      return during(world, world.serverTroubles, forMs, () => proxy.setMode('pass'));
    }
    case 'server-full': {
      const { options: plan } = pick(world.servers, fault.server).runner;
      plan.isFull = true;
      await pause(forMs);
      plan.isFull = false;
      return undefined;
    }
    case 'server-leaves':
      return takeAway(world, pick(world.servers, fault.server));
    case 'config-storm':
      return storm(world);
    default:
      withdrawKey(world);
      return undefined;
  }
};
