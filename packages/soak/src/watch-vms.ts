import { setTimeout as sleep } from 'node:timers/promises';
import { readPeakMemoryBytes } from '@hemlocksill/platform/fakes/crowd.js';
import {
  waitUntilReady,
  type RouterProcess,
} from '@hemlocksill/platform/fakes/stand-in-platform.js';
import type { MemoryPeak, ReadyProbe, UnexpectedExit } from './records.js';
import type { ProxiedVm, SoakEnvironment } from './start-environment.js';

const watchPeriodMs = 100;

/** The watch asks for the readiness page each so many periods. */
const periodsPerProbe = 5;

/** Delay after which the platform starts a process again that ended by itself. */
const restartDelayMs = 500;

/** Time by which its callers may see the end of a process before the watch does. */
const exitLagMs = 200;

/** Time for which the watch waits for the answers that are still due at its end. */
const lastProbesMs = 5_000;

/** What was seen of the processes of VMs from outside. */
export interface VmObservations {
  readonly unexpectedExits: readonly UnexpectedExit[];
  readonly memoryPeaks: readonly MemoryPeak[];
  readonly readyProbes: readonly ReadyProbe[];
}

/** Whether a process that ended was stopped or killed by the soak. */
const wasEnded = ({ isDown }: ProxiedVm, { child }: RouterProcess): boolean =>
  isDown &&
  (child.exitCode === 0 || child.signalCode === 'SIGKILL' || child.signalCode === 'SIGTERM');

const readMemory = (router: RouterProcess): number => {
  try {
    const bytes = readPeakMemoryBytes(router);
    return Number.isNaN(bytes) ? 0 : bytes;
  } catch {
    return 0;
  }
};

/**
 * Watches the processes of VMs, and starts those again that end by themselves.
 *
 * @param readsPages - whether their memory and readiness page are read, too
 * @example
 * const watch = watchVms(environment, true);
 * const { memoryPeaks } = await watch.stop();
 */
export const watchVms = (
  environment: SoakEnvironment,
  readsPages: boolean,
): { readonly stop: () => Promise<VmObservations> } => {
  const { vms, platform, now } = environment;
  const unexpectedExits: UnexpectedExit[] = [];
  const peaks = new Map<RouterProcess, MemoryPeak>();
  const readyProbes: ReadyProbe[] = [];
  const pending = new Set<Promise<void>>();
  const watched = new WeakSet<RouterProcess>();
  let isStopped = false;
  let periods = 0;

  const restart = async (vm: ProxiedVm, from: number): Promise<void> => {
    vm.isDown = true;
    const span = { from, to: Number.POSITIVE_INFINITY };
    vm.faultSpans.push(span);
    await sleep(restartDelayMs);
    if (isStopped) return;
    vm.process = platform.restartRouter(vm.process);
    await waitUntilReady(platform, vm.process);
    vm.isDown = false;
    span.to = now();
  };

  const watchExit = async (vm: ProxiedVm, router: RouterProcess): Promise<void> => {
    await router.exited;
    if (isStopped || wasEnded(vm, router)) return;
    const { exitCode, signalCode } = router.child;
    unexpectedExits.push({ vm: router.vm, at: now(), how: signalCode ?? `code ${exitCode}` });
    if (!vm.isDown) await restart(vm, now() - exitLagMs);
  };

  const probe = async (router: RouterProcess): Promise<void> => {
    const record: ReadyProbe = { vm: router.vm, at: now(), ms: undefined };
    readyProbes.push(record);
    await platform.isReady(router);
    record.ms = now() - record.at;
  };

  const timer = setInterval(() => {
    periods += 1;
    vms.forEach((vm) => {
      const router = vm.process;
      if (!watched.has(router)) {
        watched.add(router);
        void watchExit(vm, router);
      }
      if (!readsPages) return;
      const bytes = readMemory(router);
      if (bytes > (peaks.get(router)?.bytes ?? 0))
        peaks.set(router, { vm: router.vm, at: now(), bytes });
      if (vm.isDown || periods % periodsPerProbe !== 0) return;
      const probed = probe(router);
      pending.add(probed);
      void probed.finally(() => pending.delete(probed));
    });
  }, watchPeriodMs);

  return {
    stop: async () => {
      await Promise.race([Promise.all(pending), sleep(lastProbesMs)]);
      clearInterval(timer);
      isStopped = true;
      return { unexpectedExits, memoryPeaks: [...peaks.values()], readyProbes };
    },
  };
};
