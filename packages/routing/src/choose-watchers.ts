/**
 * VMs that follow the store; the others learn changes from them within milliseconds. A store
 * that turns away a third of eight VMs leaves one of four.
 */
const watcherCount = 4;

/** Longest wait of a watch in a small fleet, where some watcher is always left. */
const watchWaitMs = 4_000;

/** Fleet in which the store may turn all watchers away while it serves others. */
const largeFleet = 9;

/**
 * Longest wait of a watch in a large fleet: a connection that went silent is found within it,
 * in time for other VMs to take over and learn a change within its bound of two seconds.
 */
const largeFleetWatchWaitMs = 1_200;

/**
 * Chooses how long a watch may wait.
 *
 * @example
 * chooseWatchWait(8); // 4000
 */
export const chooseWatchWaitMs = (vms: number): number =>
  vms < largeFleet ? watchWaitMs : largeFleetWatchWaitMs;

/** A VM as it is heard. */
export interface HeardVm {
  /** Names one run of its process. */
  readonly incarnation: string;
  readonly isStoreReachable: boolean;
  /** Whether it says that it follows the store. */
  readonly isWatcher: boolean;
  /** Whether it was heard lately enough to rely on it. */
  readonly isFresh: boolean;
}

/**
 * Decides whether this VM follows the store itself.
 *
 * Load pattern: each change wakes one call for every VM that watches, and the store's rates
 * grow more slowly than the fleet. A VM that hears no watcher watches by itself, so that a
 * cut or a refused watcher delays nobody for long.
 *
 * @example
 * shouldWatch({ incarnation: 'a', isStoreReachable: true }, []); // true
 */
export const shouldWatch = (
  own: { readonly incarnation: string; readonly isStoreReachable: boolean },
  others: readonly HeardVm[],
): boolean => {
  const fresh = others.filter((vm) => vm.isFresh && vm.isStoreReachable);
  if (!fresh.some((vm) => vm.isWatcher)) return true;
  const lower = fresh.filter((vm) => vm.incarnation < own.incarnation).length;
  return lower < watcherCount;
};
