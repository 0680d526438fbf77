import { readFileSync, writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from '../fleet.js';
import type { Fault, FaultKind } from './schedule.js';

/** Fleet and state that a fault injector uses. */
export interface InjectionContext {
  readonly fleet: Fleet;
  /** VMs that a fault currently kills, freezes or replaces. */
  readonly unavailableVms: Set<number>;
  readonly withdrawKey: () => Promise<void>;
}

type FaultInjector = (ctx: InjectionContext, fault: Fault) => Promise<void>;

const makeVmInjector =
  (inject: (fleet: Fleet, vm: number, lastsMs: number) => Promise<void>): FaultInjector =>
  async ({ fleet, unavailableVms }, fault) => {
    const vm = fault.target % fleet.vms.length;
    // Keeps one VM available: a run without any VM would not test anything.
    if (unavailableVms.has(vm) || unavailableVms.size >= fleet.vms.length - 1) return;
    unavailableVms.add(vm);
    await inject(fleet, vm, fault.lastsMs);
    unavailableVms.delete(vm);
  };

const makeStandInInjector =
  (
    selectPort: (fleet: Fleet, target: number) => number,
    faults: Readonly<Record<string, unknown>>,
    clearedFaults: Readonly<Record<string, unknown>>,
  ): FaultInjector =>
  async ({ fleet }, fault) => {
    const port = selectPort(fleet, fault.target);
    await fleet.setFaults(port, faults);
    await sleep(fault.lastsMs);
    await fleet.setFaults(port, clearedFaults);
  };

const makePortSelector =
  (portGroup: 'prefills' | 'decodes' | 'services') =>
  (fleet: Fleet, target: number): number =>
    fleet.ports[portGroup][target % fleet.ports[portGroup].length] ?? 0;

const getStorePort = (fleet: Fleet): number => fleet.ports.store;

const submitUpgrade: FaultInjector = async ({ fleet }) => {
  const text = readFileSync(fleet.documentFile, 'utf8').replace('version = v1', 'version = v2');
  const file = `${fleet.documentFile}.v2`;
  writeFileSync(file, text);
  await fleet.runCli('--wait', '0', 'submit', file);
};

/** Injects each kind of fault and, if it is temporary, removes it after its duration. */
export const faultInjectors: Readonly<Record<FaultKind, FaultInjector>> = {
  'vm-kill': makeVmInjector(async (fleet, vm, lastsMs) => {
    fleet.vms[vm]?.child.kill('SIGKILL');
    await fleet.vms[vm]?.exited;
    await sleep(lastsMs);
    await fleet.startVm(vm);
  }),
  'vm-freeze': makeVmInjector(async (fleet, vm, lastsMs) => {
    fleet.vms[vm]?.child.kill('SIGSTOP');
    await sleep(lastsMs);
    fleet.vms[vm]?.child.kill('SIGCONT');
  }),
  'vm-replace': makeVmInjector(async (fleet, vm) => {
    fleet.vms[vm]?.child.kill('SIGTERM');
    await fleet.vms[vm]?.exited;
    await fleet.startVm(vm);
  }),
  'store-down': makeStandInInjector(getStorePort, { outage: 'down' }, { outage: 'none' }),
  'store-hang': makeStandInInjector(getStorePort, { outage: 'hang' }, { outage: 'none' }),
  'store-lose-answers': makeStandInInjector(getStorePort, { loseAnswers: 0.3 }, { loseAnswers: 0 }),
  'store-lose-watches': makeStandInInjector(getStorePort, { loseWatches: 0.5 }, { loseWatches: 0 }),
  'store-slow': makeStandInInjector(getStorePort, { delayMs: 300 }, { delayMs: 1 }),
  'prefill-freeze': makeStandInInjector(
    makePortSelector('prefills'),
    { frozen: true },
    { frozen: false },
  ),
  'prefill-stall-transfers': makeStandInInjector(
    makePortSelector('prefills'),
    { stallTransfers: true },
    { stallTransfers: false },
  ),
  'prefill-refuse': makeStandInInjector(
    makePortSelector('prefills'),
    { refuse: true },
    { refuse: false },
  ),
  'decode-freeze': makeStandInInjector(
    makePortSelector('decodes'),
    { frozen: true },
    { frozen: false },
  ),
  'decode-cut': makeStandInInjector(
    makePortSelector('decodes'),
    { cutAfterTokens: 10 },
    { cutAfterTokens: 0 },
  ),
  'decode-lose-cancels': makeStandInInjector(
    makePortSelector('decodes'),
    { loseCancels: 0.7 },
    { loseCancels: 0 },
  ),
  'decode-slow': makeStandInInjector(makePortSelector('decodes'), { slowdown: 4 }, { slowdown: 1 }),
  'service-lose-answers': makeStandInInjector(
    makePortSelector('services'),
    { loseAnswers: 0.3, delayMs: 50 },
    { loseAnswers: 0, delayMs: 2 },
  ),
  'service-refuse': makeStandInInjector(
    makePortSelector('services'),
    { refuse: true },
    { refuse: false },
  ),
  upgrade: submitUpgrade,
  'withdraw-key': ({ withdrawKey }) => withdrawKey(),
};
