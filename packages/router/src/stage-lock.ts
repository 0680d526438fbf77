import type { Store } from '@hemlocksill/types/ports.js';
import type { LogRouterEvent } from './events.js';

/** Part of the lease during which its holder gives no more orders. */
const safetyMarginMs = 400;

/**
 * Wait of a new holder before its first order, in leases. If a restored store has lost the lock, its
 * former holder may still give orders for the rest of its lease.
 */
const waitLeases = 2;

/** Delay after an attempt to take the lock, and after a renewal that failed. */
const retryDelayMs = 500;

/** The lock under which one VM gives orders to engines. */
export interface StageLock {
  /** Takes or renews the lock in the background, if that is due. */
  readonly keep: () => void;
  /** Fencing token, if orders may be given now. */
  readonly getFence: () => number | undefined;
  /** Gives up the lock until it has lapsed; used after an engine saw a higher fencing token. */
  readonly abandon: () => void;
}

/** Dependencies of the lock. */
export interface StageLockDeps {
  readonly store: Store;
  readonly key: string;
  /** Name of this process, unique among all incarnations of all VMs. */
  readonly holder: string;
  /** Duration of the lease. */
  readonly leaseMs: number;
  readonly log: LogRouterEvent;
  readonly now: () => number;
  /** Time of day in milliseconds; unlike `now`, it goes on while the VM is suspended. */
  readonly wallNow: () => number;
}

interface HeldLock {
  readonly leaseId: string;
  readonly fence: number;
  readonly ordersFrom: number;
  validUntil: number;
  validUntilWall: number;
}

/**
 * Makes the lock of the VM that changes the stages of engines.
 *
 * The fencing token is the store's revision of the lock, which rises with each holder. A new holder
 * waits for two leases before its first order, so that no order of its predecessor can follow, even
 * if a restored store has lost the lock.
 *
 * @example
 * const lock = makeStageLock(deps);
 * lock.keep();
 * lock.getFence(); // undefined until the lock is held
 */
export const makeStageLock = (deps: StageLockDeps): StageLock => {
  let held: HeldLock | undefined;
  /** Lease of an attempt whose write may have succeeded without a response. */
  let pendingLeaseId: string | undefined;
  let isBusy = false;
  let nextAttemptAt = 0;

  const isValid = (lock: HeldLock): boolean =>
    deps.now() < lock.validUntil && deps.wallNow() < lock.validUntilWall;

  const extend = (lock: HeldLock, sentAt: number, sentAtWall: number): void => {
    lock.validUntil = sentAt + deps.leaseMs - safetyMarginMs;
    lock.validUntilWall = sentAtWall + deps.leaseMs - safetyMarginMs;
  };

  const hold = (leaseId: string, fence: number): void => {
    pendingLeaseId = undefined;
    held = {
      leaseId,
      fence,
      ordersFrom: deps.now() + deps.leaseMs * waitLeases + safetyMarginMs,
      validUntil: 0,
      validUntilWall: 0,
    };
    deps.log(2501, { fence });
  };

  const renew = async (lock: HeldLock): Promise<void> => {
    const sentAt = deps.now();
    const sentAtWall = deps.wallNow();
    const renewed = await deps.store.renewLease(lock.leaseId);
    if (renewed.isOk()) {
      extend(lock, sentAt, sentAtWall);
      return;
    }
    nextAttemptAt = deps.now() + retryDelayMs;
    if (renewed.error === 'lease-gone' && held === lock) {
      held = undefined;
      deps.log(2502, { fence: lock.fence });
    }
  };

  const take = async (): Promise<void> => {
    const current = await deps.store.get(deps.key);
    if (current.isErr()) return;
    if (current.value) {
      const isOwn = current.value.value === deps.holder && pendingLeaseId !== undefined;
      if (isOwn && pendingLeaseId !== undefined) hold(pendingLeaseId, current.value.revision);
      return;
    }
    const lease = await deps.store.grantLease(deps.leaseMs);
    if (lease.isErr()) return;
    pendingLeaseId = lease.value;
    const written = await deps.store.cas({
      key: deps.key,
      expected: 0,
      value: deps.holder,
      leaseId: lease.value,
    });
    if (written.isOk() && written.value.kind === 'written')
      hold(lease.value, written.value.revision);
  };

  const isRenewalDue = (lock: HeldLock): boolean =>
    deps.now() > lock.validUntil - (deps.leaseMs * 2) / 3 + safetyMarginMs;

  const run = async (task: Promise<void>): Promise<void> => {
    isBusy = true;
    await task;
    isBusy = false;
  };

  return {
    keep: () => {
      if (isBusy || deps.now() < nextAttemptAt) return;
      if (held) {
        if (isRenewalDue(held)) void run(renew(held));
        return;
      }
      nextAttemptAt = deps.now() + retryDelayMs;
      void run(take());
    },
    getFence: () =>
      held && isValid(held) && deps.now() >= held.ordersFrom ? held.fence : undefined,
    abandon: () => {
      held = undefined;
      nextAttemptAt = deps.now() + deps.leaseMs * 4;
    },
  };
};
