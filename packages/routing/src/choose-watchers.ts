/**
 * Number of VMs that watch the store; the others receive changes from them within milliseconds.
 * If the store rejects a third of eight VMs, at least one of four watchers remains.
 */
const watcherCount = 4;

/** Maximum wait of a watch in a small fleet, where at least one watcher always remains. */
const smallFleetWatchWaitMs = 4_000;

/** Minimum size of a fleet in which the store may reject all watchers but serve other VMs. */
const largeFleetMinVms = 9;

/**
 * Maximum wait of a watch in a large fleet. An unresponsive connection is detected within it,
 * early enough for another VM to start watching and receive a change within the limit of two
 * seconds.
 */
const largeFleetWatchWaitMs = 1_200;

/**
 * Returns the maximum wait of a watch, in milliseconds.
 *
 * @param vms - number of VMs in the fleet
 * @example
 * chooseWatchWaitMs(8); // 4000
 */
export const chooseWatchWaitMs = (vms: number): number =>
  vms < largeFleetMinVms ? smallFleetWatchWaitMs : largeFleetWatchWaitMs;

/** State of another VM, from its latest message. */
export interface PeerVm {
  /** Identifies one run of the VM's process. */
  readonly incarnation: string;
  readonly isStoreReachable: boolean;
  /** Whether the VM reports that it watches the store. */
  readonly isWatcher: boolean;
  /** Whether the VM's latest message is recent enough to rely on. */
  readonly isFresh: boolean;
}

/**
 * Whether this VM comes first among those that reach the store, which makes it responsible for
 * tasks that one VM does for the fleet. Two VMs may think so for a while; such tasks need a lock.
 *
 * @example
 * isFirstVm({ incarnation: 'a', isStoreReachable: true }, []); // true
 */
export const isFirstVm = (
  self: { readonly incarnation: string; readonly isStoreReachable: boolean },
  peers: readonly PeerVm[],
): boolean =>
  self.isStoreReachable &&
  peers.every(
    (peer) => !peer.isFresh || !peer.isStoreReachable || peer.incarnation > self.incarnation,
  );

/**
 * Decides whether this VM watches the store itself.
 *
 * Load pattern: each change completes one watch call of every watcher, and the store's rate limits
 * grow more slowly than the fleet. A VM that receives no message from a watcher becomes
 * one, so that changes are not delayed for long when a watcher is cut off or rejected.
 *
 * @example
 * shouldWatch({ incarnation: 'a', isStoreReachable: true }, []); // true
 */
export const shouldWatch = (
  self: { readonly incarnation: string; readonly isStoreReachable: boolean },
  peers: readonly PeerVm[],
): boolean => {
  const usablePeers = peers.filter((peer) => peer.isFresh && peer.isStoreReachable);
  if (!usablePeers.some((peer) => peer.isWatcher)) return true;
  const lowerCount = usablePeers.filter((peer) => peer.incarnation < self.incarnation).length;
  return lowerCount < watcherCount;
};
