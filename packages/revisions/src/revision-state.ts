import type { Head } from './head.js';

/** How long a proof remains valid for a VM that reaches neither the store nor its peers. */
export const proofLifetimeMs = 10_000;

/** How long a VM may serve during a store outage while it reaches a majority of members. */
export const maxOutageMs = 24 * 3_600_000;

/** The revision in force on a VM and the evidence that it is the newest one. */
export interface RevisionState {
  /** Revision in force on this VM; 0 before the first. */
  readonly revision: number;
  /** Latest time at which this revision was known to be the newest. */
  readonly provenAt: number;
  /** Latest time at which a majority of members was reached and none reached the store. */
  readonly outageConfirmedAt: number;
}

/** State of a VM that has just started. */
export const initialRevisionState: RevisionState = {
  revision: 0,
  provenAt: Number.NEGATIVE_INFINITY,
  outageConfirmedAt: Number.NEGATIVE_INFINITY,
};

/** Whether the parts of a head must be fetched; only a higher revision is ever applied. */
export const isNewer = (state: RevisionState, head: Pick<Head, 'revision'>): boolean =>
  head.revision > state.revision;

/** Puts a revision in force; returns the state unchanged for a lower revision. */
export const adoptRevision = (state: RevisionState, revision: number): RevisionState =>
  revision > state.revision ? { ...state, revision } : state;

/**
 * Records that the newest revision in the store was `revision` at time `asOf`.
 *
 * The time must be that of sending the request, because the revision may have changed while
 * the response was in transit. A proof for a revision that is not yet in force on this VM
 * is ignored.
 *
 * @example
 * recordProof({ ...initialRevisionState, revision: 3 }, 3, 1_000).provenAt; // 1000
 */
export const recordProof = (state: RevisionState, revision: number, asOf: number): RevisionState =>
  revision <= state.revision && asOf > state.provenAt ? { ...state, provenAt: asOf } : state;

/** State that a peer reported in a gossip exchange. */
export interface PeerView {
  readonly revision: number;
  /** Age of the peer's proof in milliseconds; undefined when it has none. */
  readonly proofAgeMs: number | undefined;
  readonly storeReachable: boolean;
}

/** Applies a peer's proof to this VM; `sentAt` is the time of sending the request. */
export const recordPeerProof = (
  state: RevisionState,
  view: PeerView,
  sentAt: number,
): RevisionState =>
  view.proofAgeMs === undefined
    ? state
    : recordProof(state, view.revision, sentAt - view.proofAgeMs);

/**
 * Records a store outage if a majority of members was reached and none reaches the store.
 *
 * @param views - replies of the gossip round, one per reached member
 * @param otherMemberCount - number of all other known members
 */
export const recordOutage = (
  state: RevisionState,
  views: readonly PeerView[],
  otherMemberCount: number,
  sentAt: number,
): RevisionState => {
  const hasMajority = views.length + 1 > (otherMemberCount + 1) / 2;
  const noneReachesStore = views.every((v) => !v.storeReachable && v.revision <= state.revision);
  return hasMajority && noneReachesStore && otherMemberCount > 0
    ? { ...state, outageConfirmedAt: sentAt }
    : state;
};

/** Time at which work that requires a valid key must stop unless a new proof arrives. */
export const getProofDeadline = (state: RevisionState): number => {
  if (state.revision === 0) return Number.NEGATIVE_INFINITY;
  const proofDeadline = state.provenAt + proofLifetimeMs;
  const outageDeadline = Math.min(
    state.outageConfirmedAt + proofLifetimeMs,
    state.provenAt + maxOutageMs,
  );
  return Math.max(proofDeadline, outageDeadline);
};

/**
 * Chooses the revision that a VM may adopt when it starts during a store outage: the newest
 * revision of its peers, provided that a majority of members has replied.
 */
export const chooseOutageRevision = (
  views: readonly PeerView[],
  otherMemberCount: number,
): number | undefined => {
  const hasMajority = views.length > otherMemberCount / 2;
  const newest = Math.max(0, ...views.map((v) => v.revision));
  return hasMajority && newest > 0 ? newest : undefined;
};
