import { setTimeout as sleep } from 'node:timers/promises';
import {
  registerBackendServer,
  publishConfig,
  sendRequest,
  waitUntilReady,
} from '@hemlocksill/platform/fakes/stand-in-platform.js';
import { sendCrashingRequest } from './crashing-request.js';
import { injectEndlessFault } from './inject-endless-fault.js';
import { injectEngineFault } from './inject-engine-fault.js';
import type { RestartCompanion, SoakFault } from './generate-faults.js';
import type { Span } from './records.js';
import {
  crashingPartSuffix,
  graceMs,
  sharedPart,
  type ProxiedServer,
  type ProxiedVm,
  type SoakEnvironment,
} from './start-environment.js';

/** Duration of the drain fault, in which the server completes its open requests. */
const drainMs = 4_000;

/** Number of configurations published in a storm, and the interval between them. */
const stormVersionCount = 8;
const stormGapMs = 60;

/** Interval between two SIGHUPs of a series. */
const reloadGapMs = 70;

/** Time for which a series of SIGHUPs, or storms of configurations, go on beside a stop. */
const stopSeriesMs = 2_500;

/** Maximum time between the two signals to stop, and between readiness and a stop that comes early. */
const maxSecondSignalMs = 1_000;

/** Interval between two requests with the bad part of a prompt. */
const crashingRequestGapMs = 200;

const getItem = <T>(items: readonly T[], index: number): T => {
  const item = items[index];
  if (item === undefined)
    throw new Error(`fault refers to index ${index}, but only ${items.length} items exist`);
  return item;
};

/** Ends an active fault after `forMs` and records its span, which is infinite until the fault ends. */
const recordAndEndFault = async (
  environment: SoakEnvironment,
  spans: Span[],
  forMs: number,
  endFault: () => void,
): Promise<void> => {
  const span = { from: environment.now(), to: Number.POSITIVE_INFINITY };
  spans.push(span);
  await sleep(forMs);
  endFault();
  span.to = environment.now();
};

const pauseVm = async (vm: ProxiedVm, forMs: number): Promise<void> => {
  vm.process.child.kill('SIGSTOP');
  await sleep(forMs);
  vm.process.child.kill('SIGCONT');
};

/** Pauses a VM for less than a second, which excuses no lost request. */
const delayVm = async ({ now }: SoakEnvironment, vm: ProxiedVm, forMs: number): Promise<void> => {
  const span = { from: now(), to: Number.POSITIVE_INFINITY };
  vm.lateSpans.push(span);
  const { child } = vm.process;
  child.kill('SIGSTOP');
  await sleep(forMs);
  child.kill('SIGCONT');
  span.to = now();
};

const reloadVm = async ({ process: { child } }: ProxiedVm, forMs: number): Promise<void> => {
  const endsAt = performance.now() + forMs;
  while (performance.now() < endsAt && child.exitCode === null) {
    child.kill('SIGHUP');
    await sleep(reloadGapMs);
  }
};

/** Sends the signal and, as the platform does, kills the process when its grace period is over. */
const stopVm = async (
  environment: SoakEnvironment,
  { process: { child, exited, vm } }: ProxiedVm,
  from: number,
): Promise<void> => {
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), graceMs);
  const exitCode = await exited;
  clearTimeout(timer);
  environment.stops.push({ from, to: environment.now(), vm, exitCode });
};

const startVm = async (
  { platform }: SoakEnvironment,
  vm: ProxiedVm,
  forMs: number,
): Promise<void> => {
  await sleep(forMs);
  vm.process = platform.restartRouter(vm.process);
  await waitUntilReady(platform, vm.process);
};

const restartVm = async (
  environment: SoakEnvironment,
  vm: ProxiedVm,
  signal: 'SIGKILL' | 'SIGTERM',
  forMs: number,
  from: number,
): Promise<void> => {
  if (signal === 'SIGTERM') await stopVm(environment, vm, from);
  else {
    vm.process.child.kill(signal);
    await vm.process.exited;
  }
  await startVm(environment, vm, forMs);
};

/** Runs a fault that takes a VM down and restores it; skipped if the VM is already down. */
const injectVmFault = async (
  environment: SoakEnvironment,
  vm: ProxiedVm,
  runFault: (from: number) => Promise<void>,
): Promise<void> => {
  if (vm.isDown) return;
  vm.isDown = true;
  const span = { from: environment.now(), to: Number.POSITIVE_INFINITY };
  vm.faultSpans.push(span);
  await runFault(span.from);
  vm.isDown = false;
  span.to = environment.now();
};

const withdrawKey = (environment: SoakEnvironment): void => {
  environment.version += 1;
  const newKey = `key-${environment.version}`;
  publishConfig(environment.platform.store, environment.version, [newKey]);
  environment.changes.push({
    kind: 'key-withdrawn',
    key: environment.key,
    successor: newKey,
    at: environment.now(),
  });
  environment.key = newKey;
};

const publishStorm = async (environment: SoakEnvironment): Promise<void> => {
  for (let n = 0; n < stormVersionCount; n += 1) {
    environment.version += 1;
    publishConfig(environment.platform.store, environment.version, [environment.key]);
    await sleep(stormGapMs);
  }
};

const publishStorms = async (environment: SoakEnvironment, forMs: number): Promise<void> => {
  const endsAt = environment.now() + forMs;
  while (environment.now() < endsAt) await publishStorm(environment);
};

/** Runs what comes beside the stop of a VM; `forMs` varies when the second signal comes. */
const runCompanion = async (
  environment: SoakEnvironment,
  vm: ProxiedVm,
  companion: RestartCompanion,
  forMs: number,
): Promise<void> => {
  const { child } = vm.process;
  switch (companion.beside) {
    case 'pause':
      await sleep(companion.pauseAt);
      await delayVm(environment, vm, companion.pauseMs);
      break;
    case 'second-signal':
      await sleep(forMs % maxSecondSignalMs);
      child.kill('SIGTERM');
      break;
    case 'reloads':
      await reloadVm(vm, stopSeriesMs);
      break;
    case 'config-storm':
      await publishStorms(environment, stopSeriesMs);
      break;
    default:
  }
};

/** Stops a VM in the regular way beside something else, and starts it again. */
const restartBeside = async (
  environment: SoakEnvironment,
  vm: ProxiedVm,
  fault: Extract<SoakFault, { readonly kind: 'vm-restart' }>,
): Promise<void> => {
  const { forMs } = fault;
  await injectVmFault(environment, vm, async (from) => {
    await Promise.all([stopVm(environment, vm, from), runCompanion(environment, vm, fault, forMs)]);
    await startVm(environment, vm, forMs);
  });
  if (fault.beside !== 'start') return;
  await sleep(forMs % maxSecondSignalMs);
  await injectVmFault(environment, vm, (from) =>
    restartVm(environment, vm, 'SIGTERM', forMs, from),
  );
};

const drainServer = (environment: SoakEnvironment, server: ProxiedServer): Promise<void> => {
  if (server.isPermanent || server.isLeaving) return Promise.resolve();
  server.isLeaving = true;
  const { service, backend, proxy } = server;
  registerBackendServer(environment.platform.store, service, backend, 'draining', proxy.port);
  environment.changes.push({
    kind: 'server-draining',
    server: backend.options.id,
    at: environment.now(),
  });
  return sleep(drainMs);
};

/** Sends requests with one bad part in their prompt to one VM after the other. */
const sendCrashingParts = async (
  environment: SoakEnvironment,
  firstVm: number,
  forMs: number,
): Promise<void> => {
  const part = `${environment.crashingParts.length + 1}${crashingPartSuffix}`;
  environment.crashingParts.push(part);
  const endsAt = environment.now() + forMs;
  const requests: Promise<unknown>[] = [];
  for (let n = 0; environment.now() < endsAt; n += 1) {
    const vm = getItem(environment.vms, (firstVm + n) % environment.vms.length);
    const id = `${part}-${n}`;
    const request = sendRequest(vm.process.callersPort, {
      path: '/summary/1',
      id,
      method: 'POST',
      key: environment.key,
      tokens: [3_000, 60],
      parts: [sharedPart, part, `b${n}`],
      // With the body of a sound request it would be the same request.
      body: `summarise ${id}`,
    });
    // Only the runs at engines are checked; a VM that is down resets the connection.
    requests.push(request.catch(() => undefined));
    await sleep(crashingRequestGapMs);
  }
  await Promise.all(requests);
};

const limitServer = async (
  { limitSpans, now }: SoakEnvironment,
  { backend: { options }, service }: ProxiedServer,
  { requestsPerS, forMs }: Extract<SoakFault, { readonly kind: 'server-limited' }>,
): Promise<void> => {
  if (options.limit !== undefined) return;
  options.limit = String(requestsPerS);
  const from = now();
  await sleep(forMs);
  options.limit = undefined;
  limitSpans.push({ service, server: options.id, requestsPerS, from, to: now() });
};

const injectStoreFault = (
  environment: SoakEnvironment,
  mode: 'silent' | 'refusing' | 'forget',
  forMs: number,
): Promise<void> => {
  const { store } = environment.platform;
  if (mode === 'forget') {
    store.compactHistory();
    return Promise.resolve();
  }
  store.setMode(mode);
  return recordAndEndFault(environment, environment.storeOutages, forMs, () =>
    store.setMode('serving'),
  );
};

/**
 * Injects one fault; resolves when the fault has ended.
 *
 * @example
 * await injectFault(environment, { kind: 'vm-pause', at: 500, forMs: 800, vm: 1 });
 */
export const injectFault = async (
  environment: SoakEnvironment,
  fault: SoakFault,
): Promise<void> => {
  const { forMs } = fault;
  switch (fault.kind) {
    case 'vm-kill':
    case 'vm-stop': {
      const vm = getItem(environment.vms, fault.vm);
      const signal = fault.kind === 'vm-kill' ? 'SIGKILL' : 'SIGTERM';
      return injectVmFault(environment, vm, (from) =>
        restartVm(environment, vm, signal, forMs, from),
      );
    }
    case 'vm-restart':
      return restartBeside(environment, getItem(environment.vms, fault.vm), fault);
    case 'vm-late':
      return delayVm(environment, getItem(environment.vms, fault.vm), forMs);
    case 'vm-reload':
      return reloadVm(getItem(environment.vms, fault.vm), forMs);
    case 'all-vms-kill':
      await Promise.all(
        environment.vms.map((vm) =>
          injectVmFault(environment, vm, (from) =>
            restartVm(environment, vm, 'SIGKILL', forMs, from),
          ),
        ),
      );
      return undefined;
    case 'vm-pause': {
      const vm = getItem(environment.vms, fault.vm);
      return injectVmFault(environment, vm, () => pauseVm(vm, forMs));
    }
    case 'store':
      return injectStoreFault(environment, fault.how, forMs);
    case 'store-link': {
      const { storeProxy, storeLinkSpans } = getItem(environment.vms, fault.vm);
      storeProxy.setMode(fault.mode);
      return recordAndEndFault(environment, storeLinkSpans, forMs, () =>
        storeProxy.setMode('pass'),
      );
    }
    case 'server-link': {
      const { proxy, faultSpans } = getItem(environment.servers, fault.server);
      proxy.setMode(fault.mode);
      return recordAndEndFault(environment, faultSpans, forMs, () => proxy.setMode('pass'));
    }
    case 'server-full': {
      const { options } = getItem(environment.servers, fault.server).backend;
      options.isFull = true;
      await sleep(forMs);
      options.isFull = false;
      return undefined;
    }
    case 'server-silent': {
      const { options } = getItem(environment.servers, fault.server).backend;
      const now = performance.now();
      // A second silence would make the first longer than a sound server's.
      if (now < (options.silentUntil ?? 0)) return undefined;
      options.silentUntil = now + forMs;
      await sleep(forMs);
      return undefined;
    }
    case 'server-limited':
      return limitServer(environment, getItem(environment.servers, fault.server), fault);
    case 'server-upgraded': {
      const server = getItem(environment.servers, fault.server);
      await environment.addVersion(server);
      await drainServer(environment, server);
      return undefined;
    }
    case 'server-leaves':
      return drainServer(environment, getItem(environment.servers, fault.server));
    case 'crashing-part':
      return sendCrashingParts(environment, fault.vm, forMs);
    case 'crashing-request':
      return sendCrashingRequest(environment, fault);
    case 'config-storm':
      return publishStorm(environment);
    case 'endless-answers':
      return injectEndlessFault(environment, fault);
    case 'engines-restart':
    case 'engines-cut-off':
    case 'store-restored':
    case 'streams-broken':
    case 'wrong-resume':
      return injectEngineFault(environment, fault);
    default:
      withdrawKey(environment);
      return undefined;
  }
};
