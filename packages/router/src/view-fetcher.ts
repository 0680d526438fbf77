import {
  chooseNextSource,
  countParallelSources,
  getStoreReadDelayMs,
  type FetchState,
} from '@hemlocksill/routing/choose-view-source.js';
import type { LogRouterEvent } from './events.js';
import { fetchPeerView, type FetchedView, type FetchFault } from './peer-views.js';
import type { RouterMetrics } from './router-metrics.js';
import type { SeenRevisions, ViewController } from './view-controller.js';

/** Delay after a failed fetch, and after one that brought nothing, before the same VM is asked again. */
const failedSourceDelayMs = 400;

/** Minimum delay between two fetches, after a failure and while a configuration is missing. */
const fetchRetryDelayMs = 400;
const configRetryDelayMs = 20;

/** Delay after a configuration that could not be used, which the same VMs would only send again. */
const unusableConfigDelayMs = 5_000;

/** Interval between decisions while a configuration is missing. */
const checkPeriodMs = 50;

/** Age of a missing configuration at which it is logged first, then at each doubling. */
const firstLoggedAgeMs = 1_000;

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
  readonly stop: () => void;
}

/** Dependencies of the fetcher. */
export interface ViewFetcherDeps {
  readonly view: Pick<
    ViewController,
    'getSeenRevisions' | 'merge' | 'isComplete' | 'isStoreReachable' | 'readConfig'
  >;
  readonly dataCentre: string;
  /** Peers' address of this VM. */
  readonly localAddress: string;
  readonly isWatching: () => boolean;
  readonly countVms: () => number;
  readonly listResponsivePeers: () => readonly FetchPeer[];
  /** Addresses of all VMs that may exist. */
  readonly listAddresses: () => readonly string[];
  readonly metrics: Pick<RouterMetrics, 'configBehindMs' | 'viewFetches'>;
  readonly log: LogRouterEvent;
  readonly now: () => number;
}

/** A newer configuration that other VMs have. */
interface MissingConfig {
  readonly revision: number;
  readonly knownSince: number;
  storeReadAt: number;
  logAt: number;
}

/**
 * Makes the fetcher of a VM.
 *
 * @example
 * makeViewFetcher(deps).fetchMissing(now);
 */
export const makeViewFetcher = (deps: ViewFetcherDeps): ViewFetcher => {
  const { view, log, metrics } = deps;
  const openFetches = new Map<string, AbortController>();
  /** Times before which a VM is not asked again. */
  const excludedUntil = new Map<string, number>();
  /** VMs that have fetched the missing configuration, as told by those that sent it. */
  const holders = new Set<string>();
  /** Source that a busy VM named, to be asked next. */
  let suggested: string | undefined;
  let behindSince: number | undefined;
  let spreadShare = 0;
  let missing: MissingConfig | undefined;
  let nextFetchAt = Number.NEGATIVE_INFINITY;
  let timer: NodeJS.Timeout | undefined;

  const isAhead = (seen: SeenRevisions): boolean => {
    const own = view.getSeenRevisions();
    return seen.config > own.config || seen.servers > own.servers;
  };

  const getStoreReadAt = (now: number): number =>
    now + getStoreReadDelayMs(deps.countVms(), Math.random());

  const abortFetches = (): void =>
    openFetches.forEach((controller) => controller.abort(new Error('no longer needed')));

  /** Records which configuration is missing, and since when. */
  const updateMissing = (peers: readonly FetchPeer[], now: number): void => {
    const own = view.getSeenRevisions().config;
    const newest = Math.max(0, ...peers.map((peer) => peer.seenRevisions.config));
    if (missing && own >= missing.revision) {
      holders.clear();
      abortFetches();
      missing = undefined;
    }
    if (newest > Math.max(own, missing?.revision ?? 0)) {
      holders.clear();
      // The age of the configuration counts from the first newer one.
      const knownSince = missing?.knownSince ?? now;
      const logAt = missing?.logAt ?? now + firstLoggedAgeMs;
      missing = { revision: newest, knownSince, storeReadAt: getStoreReadAt(now), logAt };
    }
    metrics.configBehindMs.set(missing ? Math.round(now - missing.knownSince) : 0);
    if (!missing || now < missing.logAt) return;
    const behindMs = Math.round(now - missing.knownSince);
    missing.logAt = now + behindMs;
    log(2120, { revision: missing.revision, own, behindMs, asked: [...openFetches.keys()] });
  };

  const onFetched = (address: string, { view: fetched, bytes }: FetchedView): void => {
    const now = deps.now();
    const behindMs = missing ? Math.round(now - missing.knownSince) : undefined;
    log(2108, { peer: address, servers: fetched.servers.length, bytes, behindMs });
    metrics.viewFetches.inc({ outcome: 'fetched' });
    view.merge(fetched);
    if (fetched.config && fetched.config.revision > view.getSeenRevisions().config)
      nextFetchAt = now + unusableConfigDelayMs;
    // A peer that returned changes may already have more, so the next fetch is not delayed.
    else if (fetched.config || fetched.servers.length > 0) nextFetchAt = Number.NEGATIVE_INFINITY;
    else excludedUntil.set(address, now + failedSourceDelayMs);
  };

  const onFault = (address: string, fault: FetchFault): void => {
    const now = deps.now();
    metrics.viewFetches.inc({ outcome: fault.kind });
    if (fault.kind === 'busy') {
      // Those that were rejected together must not come back together.
      excludedUntil.set(address, now + fault.retryAfterMs * (0.5 + Math.random()));
      fault.holders.forEach((holder) => holders.add(holder));
      suggested = fault.holders.find((holder) => !openFetches.has(holder));
      return;
    }
    log(2110, { peer: address, reason: fault.reason });
    excludedUntil.set(address, now + failedSourceDelayMs);
  };

  const fetchFrom = async (address: string): Promise<void> => {
    const controller = new AbortController();
    openFetches.set(address, controller);
    nextFetchAt = deps.now() + (missing ? configRetryDelayMs : fetchRetryDelayMs);
    const seen = view.getSeenRevisions();
    const fetched = await fetchPeerView(address, seen, deps.localAddress, controller.signal);
    openFetches.delete(address);
    // Another source was faster.
    if (controller.signal.aborted) return;
    if (fetched.isErr()) onFault(address, fetched.error);
    else onFetched(address, fetched.value);
    fetchMissing(deps.now());
  };

  const readStore = async (now: number): Promise<void> => {
    if (!missing || now < missing.storeReadAt || !view.isStoreReachable()) return;
    missing.storeReadAt = getStoreReadAt(now);
    const read = await view.readConfig();
    metrics.viewFetches.inc({ outcome: read.isOk() ? 'store' : 'store-failed' });
    fetchMissing(deps.now());
  };

  const makeState = (now: number, since: number): FetchState => ({
    dataCentre: deps.dataCentre,
    isWatching: deps.isWatching(),
    vms: deps.countVms(),
    behindMs: now - since,
    spreadShare,
  });

  const isExcluded = (address: string, now: number): boolean =>
    openFetches.has(address) || now < (excludedUntil.get(address) ?? 0);

  const chooseAddress = (peers: readonly FetchPeer[], now: number): string | undefined => {
    const sources = peers.filter(
      (peer) => isAhead(peer.seenRevisions) || (missing && holders.has(peer.address)),
    );
    if (sources.length === 0) {
      behindSince = undefined;
      excludedUntil.clear();
      if (view.isComplete() || view.isStoreReachable()) return undefined;
      const addresses = deps.listAddresses().filter((address) => !openFetches.has(address));
      return addresses[Math.floor(Math.random() * addresses.length)];
    }
    if (behindSince === undefined) {
      behindSince = now;
      spreadShare = Math.random();
    }
    const state = makeState(now, behindSince);
    const isConfigMissing = missing !== undefined;
    if (openFetches.size >= countParallelSources(state.behindMs, isConfigMissing)) return undefined;
    // Only VMs that have the configuration are asked while it is missing.
    const revision = missing?.revision ?? 0;
    const withConfig = sources.filter(
      (peer) => peer.seenRevisions.config >= revision || holders.has(peer.address),
    );
    const candidates = withConfig.length > 0 ? withConfig : sources;
    const named = suggested;
    suggested = undefined;
    if (
      named !== undefined &&
      !isExcluded(named, now) &&
      candidates.some(({ address }) => address === named)
    )
      return named;
    return chooseNextSource(
      candidates.map((peer) => ({ ...peer, isExcluded: isExcluded(peer.address, now) })),
      state,
      Math.random,
    );
  };

  const checkAgain = (): void => {
    if (timer || !missing) return;
    timer = setTimeout(() => {
      timer = undefined;
      fetchMissing(deps.now());
    }, checkPeriodMs);
    timer.unref();
  };

  const fetchMissing = (now: number): void => {
    const peers = deps.listResponsivePeers();
    updateMissing(peers, now);
    checkAgain();
    if (!deps.isWatching()) void readStore(now);
    if (now < nextFetchAt) return;
    const address = chooseAddress(peers, now);
    if (address !== undefined) void fetchFrom(address);
  };

  return {
    isAhead,
    fetchMissing,
    stop: () => {
      clearTimeout(timer);
      abortFetches();
    },
  };
};
