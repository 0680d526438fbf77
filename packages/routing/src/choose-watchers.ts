/** VMs that follow the store; the others learn changes from them within milliseconds. */
const watcherCount = 3;

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
