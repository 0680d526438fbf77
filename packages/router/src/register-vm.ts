import { err, ok, type Result } from 'neverthrow';
import type { Store } from '@hemlocksill/types/ports.js';
import type { LogRouterEvent } from './events.js';
import { sleep } from './sleep.js';

/** Time for which a VM's entry in the store lasts, the longest that the store grants. */
const entryTtlMs = 600_000;

const registrationRetryDelayMs = 1_000;

const addressPattern = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

/** Dependencies of the registration. */
export interface RegistrationDeps {
  readonly store: Store;
  /** Key of this VM's entry, below the prefix of all VMs. */
  readonly key: string;
  readonly vmPrefix: string;
  /** Address of this VM's peer interface. */
  readonly address: string;
  readonly isStopped: () => boolean;
  readonly onListed: (addresses: readonly string[]) => void;
  readonly log: LogRouterEvent;
}

/** Writes this VM's entry, over one of an earlier incarnation. */
const writeVmEntry = async (deps: RegistrationDeps): Promise<Result<unknown, string>> => {
  const { store, key, address } = deps;
  const present = await store.get(key);
  if (present.isErr()) return err(present.error);
  if (present.value?.value === address) return ok(undefined);
  const lease = await store.grantLease(entryTtlMs);
  if (lease.isErr()) return err(lease.error);
  const written = await store.cas({
    key,
    expected: present.value?.revision ?? 0,
    value: address,
    leaseId: lease.value,
  });
  return written.andThen((result) => (result.kind === 'written' ? ok(undefined) : err('conflict')));
};

/**
 * Registers this VM in the store, then lists the others: of two that start together, the one
 * that lists later finds the other and sends it a message.
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
      deps.onListed(
        listed.value.entries.map(({ value }) => value).filter((one) => addressPattern.test(one)),
      );
    if (registered.isOk() && listed.isOk()) return;
    await sleep(registrationRetryDelayMs);
  }
};
