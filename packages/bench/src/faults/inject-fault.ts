import { readFileSync, writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from '../fleet.js';
import type { Fault, FaultKind } from './schedule.js';

/** What a strike may need besides the fleet. */
export interface StrikeContext {
  readonly fleet: Fleet;
  /** VMs that are being killed, frozen or replaced. */
  readonly busyVms: Set<number>;
  readonly withdrawKey: () => Promise<void>;
}

type Strike = (ctx: StrikeContext, fault: Fault) => Promise<void>;

const withVm =
  (run: (fleet: Fleet, vm: number, lastsMs: number) => Promise<void>): Strike =>
  async ({ fleet, busyVms }, fault) => {
    const vm = fault.target % fleet.vms.length;
    // One VM is always left, as a fleet whose last VM is gone proves nothing.
    if (busyVms.has(vm) || busyVms.size >= fleet.vms.length - 1) return;
    busyVms.add(vm);
    await run(fleet, vm, fault.lastsMs);
    busyVms.delete(vm);
  };

const withFaults =
  (
    pickPort: (fleet: Fleet, target: number) => number,
    faults: Readonly<Record<string, unknown>>,
    healed: Readonly<Record<string, unknown>>,
  ): Strike =>
  async ({ fleet }, fault) => {
    const port = pickPort(fleet, fault.target);
    await fleet.setFaults(port, faults);
    await sleep(fault.lastsMs);
    await fleet.setFaults(port, healed);
  };

const pickFrom =
  (part: 'prefills' | 'decodes' | 'services') =>
  (fleet: Fleet, target: number): number =>
    fleet.ports[part][target % fleet.ports[part].length] ?? 0;

const store = (fleet: Fleet): number => fleet.ports.store;

const upgrade: Strike = async ({ fleet }) => {
  const text = readFileSync(fleet.documentFile, 'utf8').replace('version = v1', 'version = v2');
  const file = `${fleet.documentFile}.v2`;
  writeFileSync(file, text);
  await fleet.runCli('--wait', '0', 'submit', file);
};

/** What each fault does. */
export const strikes: Readonly<Record<FaultKind, Strike>> = {
  'vm-kill': withVm(async (fleet, vm, lastsMs) => {
    fleet.vms[vm]?.child.kill('SIGKILL');
    await fleet.vms[vm]?.exited;
    await sleep(lastsMs);
    await fleet.startVm(vm);
  }),
  'vm-freeze': withVm(async (fleet, vm, lastsMs) => {
    fleet.vms[vm]?.child.kill('SIGSTOP');
    await sleep(lastsMs);
    fleet.vms[vm]?.child.kill('SIGCONT');
  }),
  'vm-replace': withVm(async (fleet, vm) => {
    fleet.vms[vm]?.child.kill('SIGTERM');
    await fleet.vms[vm]?.exited;
    await fleet.startVm(vm);
  }),
  'store-down': withFaults(store, { outage: 'down' }, { outage: 'none' }),
  'store-hang': withFaults(store, { outage: 'hang' }, { outage: 'none' }),
  'store-lose-answers': withFaults(store, { loseAnswers: 0.3 }, { loseAnswers: 0 }),
  'store-lose-watches': withFaults(store, { loseWatches: 0.5 }, { loseWatches: 0 }),
  'store-slow': withFaults(store, { delayMs: 300 }, { delayMs: 1 }),
  'prefill-freeze': withFaults(pickFrom('prefills'), { frozen: true }, { frozen: false }),
  'prefill-stall-transfers': withFaults(
    pickFrom('prefills'),
    { stallTransfers: true },
    { stallTransfers: false },
  ),
  'prefill-refuse': withFaults(pickFrom('prefills'), { refuse: true }, { refuse: false }),
  'decode-freeze': withFaults(pickFrom('decodes'), { frozen: true }, { frozen: false }),
  'decode-cut': withFaults(pickFrom('decodes'), { cutAfterTokens: 10 }, { cutAfterTokens: 0 }),
  'decode-lose-cancels': withFaults(pickFrom('decodes'), { loseCancels: 0.7 }, { loseCancels: 0 }),
  'decode-slow': withFaults(pickFrom('decodes'), { slowdown: 4 }, { slowdown: 1 }),
  'service-lose-answers': withFaults(
    pickFrom('services'),
    { loseAnswers: 0.3, delayMs: 50 },
    { loseAnswers: 0, delayMs: 2 },
  ),
  'service-refuse': withFaults(pickFrom('services'), { refuse: true }, { refuse: false }),
  upgrade,
  'withdraw-key': ({ withdrawKey }) => withdrawKey(),
};
