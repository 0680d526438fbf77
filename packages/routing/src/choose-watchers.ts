/**
 * Number of VMs that watch the store; the others receive changes from them within milliseconds.
 * If the store rejects a third of eight VMs, at least one of four watchers remains.
 */
const watcherCount = 4;

/** Bounds of the wait of a watch, whatever the time limit of a change; short waits cost many calls. */
const minWatchWaitMs = 200;
const maxWatchWaitMs = 4_000;

/**
 * Part of the time limit for a change that is left after an unresponsive watch has ended:
 * the margin of its timeout, the check of roles and a listing.
 */
const takeoverMs = 800;

/**
 * Returns the maximum wait of a watch, in milliseconds. The connections of all watchers may go silent
 * at the same moment, in a fleet of any size, and only the end of a watch shows it. It ends early
 * enough for a watcher, or another VM, to receive a change over a new connection in time.
 *
 * @param applyMs - time limit for a change to be in force, in milliseconds
 * @example
 * chooseWatchWaitMs(3_000); // 2200
 */
export const chooseWatchWaitMs = (applyMs: number): number =>
  Math.min(maxWatchWaitMs, Math.max(minWatchWaitMs, applyMs - takeoverMs));

/** Time without a usable watcher after which twice as many VMs try to watch. */
const widenPeriodMs = 250;

/** Size of a fleet below which all VMs may try to watch at the same time. */
const wideningMinVms = 24;

/** Maximum number of VMs that try to watch while other watchers report that they can't. */
const maxProbingVms = 16;

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

const countLower = (incarnation: string, peers: readonly PeerVm[]): number =>
  peers.filter((peer) => peer.incarnation < incarnation).length;

/**
 * Decides whether this VM watches the store itself.
 *
 * Load pattern: each change completes one watch call of every watcher, and the store's rate limits
 * grow more slowly than the fleet. When the store is away, hundreds of VMs that all tried it and
 * announced it to each other would cost more than their requests. Without a usable watcher, the
 * number of VMs that try grows with time, within a limit while others try and fail.
 *
 * @param silentMs - time since a watcher that reaches the store was heard last
 * @example
 * shouldWatch({ incarnation: 'a', isStoreReachable: true }, [], 0); // true
 */
export const shouldWatch = (
  self: { readonly incarnation: string; readonly isStoreReachable: boolean },
  peers: readonly PeerVm[],
  silentMs: number,
): boolean => {
  const freshPeers = peers.filter((peer) => peer.isFresh);
  const usablePeers = freshPeers.filter((peer) => peer.isStoreReachable);
  const rank = countLower(self.incarnation, self.isStoreReachable ? usablePeers : freshPeers);
  if (usablePeers.some((peer) => peer.isWatcher)) return rank < watcherCount;
  if (peers.length + 1 < wideningMinVms) return true;
  const widened = watcherCount * 2 ** Math.floor(silentMs / widenPeriodMs);
  const hasProbes = freshPeers.some((peer) => peer.isWatcher);
  return rank < (hasProbes ? Math.min(maxProbingVms, widened) : widened);
};
