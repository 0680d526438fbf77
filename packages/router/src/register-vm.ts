import { err, ok, type Result } from 'neverthrow';
import type { Store } from '@hemlocksill/types/ports.js';
import type { LogRouterEvent } from './events.js';
import { pause } from './sleep.js';

/** Time for which a VM's entry in the store lasts, the longest that the store grants. */
const entryTtlMs = 600_000;

const entryRetryMs = 1_000;

const addressPattern = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

/** What entering the fleet needs. */
export interface EnterDeps {
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
const writeEntry = async (deps: EnterDeps): Promise<Result<unknown, string>> => {
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
  return written.andThen((answer) => (answer.kind === 'written' ? ok(undefined) : err('conflict')));
};

/**
 * Enters this VM in the store, then learns the others: of two that start together, the one
 * that lists later finds the other, and its message makes it known.
 *
 * @example
 * await enterFleet(deps);
 */
export const enterFleet = async (deps: EnterDeps): Promise<void> => {
  while (!deps.isStopped()) {
    const entered = await writeEntry(deps);
    if (entered.isErr()) deps.log(2109, { reason: entered.error });
    const listed = await deps.store.list(deps.vmPrefix);
    if (listed.isOk())
      deps.onListed(
        listed.value.entries.map(({ value }) => value).filter((one) => addressPattern.test(one)),
      );
    if (entered.isOk() && listed.isOk()) return;
    await pause(entryRetryMs);
  }
};
