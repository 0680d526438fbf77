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
