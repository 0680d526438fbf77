import { selectiveSendMinVms } from './choose-recipients.js';

/**
 * Time for which a peer may be ahead before its view is fetched. A watcher usually receives the
 * change from the store, and a reader the message of a watcher, sooner.
 */
const maxWatcherLagMs = 250;
const maxReaderLagMs = 60;

/** Time over which readers spread their fetches from other data centres. */
const remoteFetchSpreadMs = 300;

/** A VM that has seen a newer revision than this one. */
export interface PeerAhead {
  readonly address: string;
  readonly dataCentre: string;
}

/** What decides whether a view is fetched now. */
export interface FetchState {
  readonly dataCentre: string;
  readonly isWatching: boolean;
  /** Number of VMs in the fleet, as far as this VM knows. */
  readonly vms: number;
  /** Time since a peer was seen ahead first. */
  readonly behindMs: number;
  /** Share of the spread that this VM waits, drawn anew for each change. */
  readonly spreadShare: number;
}

const pickRandom = <T>(list: readonly T[], random: () => number): T | undefined =>
  list[Math.floor(random() * list.length)];

/**
 * Chooses the VM whose view is fetched; undefined while the change may still arrive by itself.
 *
 * Load pattern: a change reaches hundreds of VMs within some milliseconds of each other. If each
 * fetched it as soon as it sees a neighbour ahead, thousands of calls would carry what a message
 * already does; and a configuration would cross between data centres once for each VM.
 *
 * @example
 * chooseViewSource([], state, Math.random); // undefined
 */
export const chooseViewSource = (
  peersAhead: readonly PeerAhead[],
  state: FetchState,
  random: () => number,
): string | undefined => {
  const nearPeers = peersAhead.filter((peer) => peer.dataCentre === state.dataCentre);
  const isSpread = nearPeers.length === 0 && state.vms >= selectiveSendMinVms;
  const readerLagMs = maxReaderLagMs + (isSpread ? state.spreadShare * remoteFetchSpreadMs : 0);
  if (state.behindMs < (state.isWatching ? maxWatcherLagMs : readerLagMs)) return undefined;
  return pickRandom(nearPeers.length > 0 ? nearPeers : peersAhead, random)?.address;
};

/** Time for which one source is asked for a configuration before others are asked in parallel. */
const secondSourceMs = 300;
const thirdSourceMs = 900;

/**
 * Returns how many VMs may be asked at the same time. Only a configuration is large enough for a
 * second transfer to be worth its bytes.
 *
 * @example
 * countParallelSources(400, true); // 2
 */
export const countParallelSources = (behindMs: number, isConfigMissing: boolean): number => {
  if (!isConfigMissing || behindMs < secondSourceMs) return 1;
  return behindMs < thirdSourceMs ? 2 : 3;
};

/** A VM that may be asked, and whether it must not be asked now. */
export interface ViewSource extends PeerAhead {
  /** Whether it is being asked, or has failed or rejected a fetch a moment ago. */
  readonly isExcluded: boolean;
}

/**
 * Chooses the next of several sources. VMs of other data centres are asked while near ones are busy only
 * once these had the time for a transfer.
 *
 * @example
 * chooseNextSource([], state, Math.random); // undefined
 */
export const chooseNextSource = (
  sources: readonly ViewSource[],
  state: FetchState,
  random: () => number,
): string | undefined => {
  const isNearOnly =
    state.behindMs < secondSourceMs &&
    sources.some((source) => source.dataCentre === state.dataCentre);
  const usable = sources.filter(
    (source) => !source.isExcluded && (!isNearOnly || source.dataCentre === state.dataCentre),
  );
  return chooseViewSource(usable, state, random);
};

/** Time for which other VMs are asked before the store is read. */
const storeReadMinMs = 600;

/** Number of VMs a second that read a configuration from the store beside its watchers. */
const storeReadsPerS = 20;

const millisecondsPerSecond = 1_000;

/**
 * Returns the time, after a VM has learnt of a newer configuration, at which it reads the store itself. The
 * reads of a fleet are spread, so that the store's rate limits are kept in a fleet of any size.
 *
 * @param share - position of this VM among the others, from 0 to 1, drawn for each change
 * @example
 * getStoreReadDelayMs(40, 0.5); // 1600
 */
export const getStoreReadDelayMs = (vms: number, share: number): number =>
  storeReadMinMs + (share * vms * millisecondsPerSecond) / storeReadsPerS;
