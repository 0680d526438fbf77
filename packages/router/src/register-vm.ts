import { err, ok, type Result } from 'neverthrow';
import type { Store } from '@hemlocksill/types/ports.js';
import type { LogRouterEvent } from './events.js';
import { isAddress } from './gossip-message.js';
import { sleep } from './sleep.js';

/** Lease duration of a VM's entry in the store, the maximum that the store grants. */
const entryTtlMs = 600_000;

const registrationRetryDelayMs = 1_000;

/** Dependencies of the registration. */
export interface RegistrationDeps {
  readonly store: Store;
  /** Key of this VM's entry, below the prefix of all VMs. */
  readonly key: string;
  readonly vmPrefix: string;
  /** Address of this VM's peer interface. */
  readonly address: string;
  readonly isStopped: () => boolean;
  /** Receives the addresses of all registered VMs. */
  readonly onListed: (addresses: readonly string[]) => void;
  readonly log: LogRouterEvent;
}

/** Writes this VM's entry, replacing the entry of an earlier incarnation. */
const writeVmEntry = async (deps: RegistrationDeps): Promise<Result<unknown, string>> => {
  const { store, key, address } = deps;
  const existing = await store.get(key);
  if (existing.isErr()) return err(existing.error);
  if (existing.value?.value === address) return ok(undefined);
  const lease = await store.grantLease(entryTtlMs);
  if (lease.isErr()) return err(lease.error);
  const written = await store.cas({
    key,
    expected: existing.value?.revision ?? 0,
    value: address,
    leaseId: lease.value,
  });
  return written.andThen((result) => (result.kind === 'written' ? ok(undefined) : err('conflict')));
};

/**
 * Writes this VM's entry to the store, then lists the entries of all VMs. If two VMs start at the
 * same time, at least the one that lists later finds the other and can send it a message.
 *
 * @example
 * await registerVm(deps);
 */
export const registerVm = async (deps: RegistrationDeps): Promise<void> => {
  while (!deps.isStopped()) {
    const registered = await writeVmEntry(deps);
    if (registered.isErr()) deps.log(2109, { reason: registered.error });
    const listed = await deps.store.list(deps.vmPrefix);
    if (listed.isOk())
      deps.onListed(listed.value.entries.map(({ value }) => value).filter(isAddress));
    if (registered.isOk() && listed.isOk()) return;
    await sleep(registrationRetryDelayMs);
  }
};
