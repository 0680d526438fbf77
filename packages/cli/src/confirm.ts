import { setTimeout as sleep } from 'node:timers/promises';
import type { Store } from '@hemlocksill/types/ports.js';
import { getStoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { listVms, type CallVm, type ListedVm } from './vm-client.js';

const pollIntervalMs = 200;

/** VMs that reported a revision as in force, and VMs that did not before the deadline. */
export interface Confirmation {
  readonly revision: number;
  readonly confirmed: readonly string[];
  readonly missing: readonly string[];
}

const fetchRevision = async (callVm: CallVm, vm: ListedVm): Promise<number> => {
  const response = await callVm(vm, 'GET', '/status', '');
  return response.isOk() ? Number((response.value as { revision?: number }).revision ?? 0) : 0;
};

/** Sends the current head to VMs, so that they need not wait for their store watch. */
const sendHead = async (
  store: Store,
  environment: string,
  callVm: CallVm,
  vms: readonly ListedVm[],
): Promise<void> => {
  const entry = await store.get(getStoreKeys(environment).head);
  if (entry.isErr() || !entry.value) return;
  const { value } = entry.value;
  await Promise.all(vms.map((vm) => callVm(vm, 'POST', '/head', value)));
};

/** Waits until every registered VM reports at least the given revision, or until the deadline. */
export const waitForConfirmation = async (
  store: Store,
  environment: string,
  callVm: CallVm,
  revision: number,
  deadline: number,
): Promise<Confirmation> => {
  const confirmed = new Set<string>();
  for (;;) {
    const listing = await listVms(store, environment);
    const listedVms = listing.isOk() ? listing.value : [];
    const unconfirmed = listedVms.filter((vm) => !confirmed.has(vm.incarnation));
    await sendHead(store, environment, callVm, unconfirmed);
    await Promise.all(
      unconfirmed.map(async (vm) => {
        if ((await fetchRevision(callVm, vm)) >= revision) confirmed.add(vm.incarnation);
      }),
    );
    const missing = listedVms.filter((vm) => !confirmed.has(vm.incarnation)).map((vm) => vm.vm);
    const isConfirmedByAll = listing.isOk() && missing.length === 0;
    if (isConfirmedByAll || Date.now() >= deadline)
      return {
        revision,
        confirmed: listedVms.filter((vm) => confirmed.has(vm.incarnation)).map((vm) => vm.vm),
        missing: listing.isOk() ? missing : ['(the store does not list the VMs)'],
      };
    await sleep(pollIntervalMs);
  }
};
