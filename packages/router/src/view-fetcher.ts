import { chooseViewSource } from '@hemlocksill/routing/choose-view-source.js';
import type { LogRouterEvent } from './events.js';
import { fetchPeerView } from './peer-views.js';
import type { SeenRevisions, ViewController } from './view-controller.js';

/** Minimum delay between two fetches of a view. */
const fetchRetryDelayMs = 400;

/** State of another VM that matters for fetches. */
export interface FetchPeer {
  readonly address: string;
  readonly dataCentre: string;
  readonly seenRevisions: SeenRevisions;
}

/** Fetches what this VM's view lacks from other VMs. */
export interface ViewFetcher {
  /** Whether a VM with these revisions is ahead of this one. */
  readonly isAhead: (seen: SeenRevisions) => boolean;
  /** Fetches the view of a VM that is ahead, or of any while this VM has no view and no store. */
  readonly fetchMissing: (now: number) => void;
}

/** Dependencies of the fetcher. */
export interface ViewFetcherDeps {
  readonly view: ViewController;
  readonly dataCentre: string;
  readonly isWatching: () => boolean;
  readonly countVms: () => number;
  readonly listResponsivePeers: () => readonly FetchPeer[];
  /** Addresses of all VMs that may exist. */
  readonly listAddresses: () => readonly string[];
  readonly log: LogRouterEvent;
  readonly now: () => number;
}

/**
 * Makes the fetcher of a VM.
 *
 * @example
 * makeViewFetcher(deps).fetchMissing(now);
 */
export const makeViewFetcher = (deps: ViewFetcherDeps): ViewFetcher => {
  const { view, log } = deps;
  let behindSince: number | undefined;
  let spreadShare = 0;
  let lastFetchAt = Number.NEGATIVE_INFINITY;

  const fetchFrom = async (address: string): Promise<void> => {
    lastFetchAt = deps.now();
    const fetched = await fetchPeerView(address, view.getSeenRevisions());
    if (fetched.isErr()) {
      log(2110, { peer: address, reason: fetched.error });
      return;
    }
    log(2108, { peer: address, servers: fetched.value.servers.length });
    view.merge(fetched.value);
    // A peer that returned changes may already have more, so the next fetch is not delayed.
    if (fetched.value.config || fetched.value.servers.length > 0)
      lastFetchAt = Number.NEGATIVE_INFINITY;
  };

  const isAhead = (seen: SeenRevisions): boolean => {
    const own = view.getSeenRevisions();
    return seen.config > own.config || seen.servers > own.servers;
  };

  const chooseAddress = (now: number): string | undefined => {
    const peersAhead = deps.listResponsivePeers().filter((peer) => isAhead(peer.seenRevisions));
    if (peersAhead.length > 0) {
      if (behindSince === undefined) {
        behindSince = now;
        spreadShare = Math.random();
      }
      const state = {
        dataCentre: deps.dataCentre,
        isWatching: deps.isWatching(),
        vms: deps.countVms(),
        behindMs: now - behindSince,
        spreadShare,
      };
      return chooseViewSource(peersAhead, state, Math.random);
    }
    behindSince = undefined;
    if (view.isComplete() || view.isStoreReachable()) return undefined;
    const addresses = deps.listAddresses();
    return addresses[Math.floor(Math.random() * addresses.length)];
  };

  return {
    isAhead,
    fetchMissing: (now) => {
      if (now - lastFetchAt < fetchRetryDelayMs) return;
      const address = chooseAddress(now);
      if (address !== undefined) void fetchFrom(address);
    },
  };
};
