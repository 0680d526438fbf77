import type { Head } from './head.js';

/** How long a proof of being current holds for a VM that is cut from store and peers. */
export const proofLifetimeMs = 10_000;

/** How long a VM may go on without the store while it reaches most of its peers. */
export const maxOutageMs = 24 * 3_600_000;

/** What a VM knows about which revision is the newest. */
export interface RevisionState {
  /** Revision in force on this VM; 0 before the first. */
  readonly revision: number;
  /** Latest time at which that revision was known to be the newest. */
  readonly provenAt: number;
  /** Latest time at which most members were reached and none reached the store. */
  readonly outageConfirmedAt: number;
}

/** The state of a VM that has just started. */
export const initialRevisionState: RevisionState = {
  revision: 0,
  provenAt: Number.NEGATIVE_INFINITY,
  outageConfirmedAt: Number.NEGATIVE_INFINITY,
};

/** Whether a head must be fetched: only a higher revision is ever applied. */
export const isNewer = (adoption: RevisionState, head: Pick<Head, 'revision'>): boolean =>
  head.revision > adoption.revision;

/** Takes a revision into force; a lower one changes nothing. */
export const adoptRevision = (adoption: RevisionState, revision: number): RevisionState =>
  revision > adoption.revision ? { ...adoption, revision } : adoption;

/**
 * Records that the newest revision in the store was `revision` at time `asOf`.
 *
 * The time must be that of sending the question, so that a slow answer proves less.
 * A proof of a revision that is not yet in force here proves nothing.
 *
 * @example
 * recordProof({ ...emptyAdoption, revision: 3 }, 3, 1_000).provenAt; // 1000
 */
export const recordProof = (
  adoption: RevisionState,
  revision: number,
  asOf: number,
): RevisionState =>
  revision <= adoption.revision && asOf > adoption.provenAt
    ? { ...adoption, provenAt: asOf }
    : adoption;

/** What one peer said in a gossip exchange. */
export interface PeerView {
  readonly revision: number;
  /** Age of the peer's proof in milliseconds; undefined when it has none. */
  readonly proofAgeMs: number | undefined;
  readonly storeReachable: boolean;
}

/** Takes a peer's proof over; `sentAt` is when this VM sent its question. */
export const recordPeerProof = (
  adoption: RevisionState,
  view: PeerView,
  sentAt: number,
): RevisionState =>
  view.proofAgeMs === undefined
    ? adoption
    : recordProof(adoption, view.revision, sentAt - view.proofAgeMs);

/**
 * Records that the store is out for everyone this VM can ask.
 *
 * @param views - answers of the round, one per reached member
 * @param members - number of all other members last known
 */
export const recordOutage = (
  adoption: RevisionState,
  views: readonly PeerView[],
  members: number,
  sentAt: number,
): RevisionState => {
  const most = views.length + 1 > (members + 1) / 2;
  const noneReachesStore = views.every((v) => !v.storeReachable && v.revision <= adoption.revision);
  return most && noneReachesStore && members > 0
    ? { ...adoption, outageConfirmedAt: sentAt }
    : adoption;
};

/** When work that needs a key has to stop, unless a new proof comes first. */
export const getProofDeadline = (adoption: RevisionState): number => {
  if (adoption.revision === 0) return Number.NEGATIVE_INFINITY;
  const proofDeadline = adoption.provenAt + proofLifetimeMs;
  const outageDeadline = Math.min(
    adoption.outageConfirmedAt + proofLifetimeMs,
    adoption.provenAt + maxOutageMs,
  );
  return Math.max(proofDeadline, outageDeadline);
};

/**
 * Chooses what a VM that starts while the store is out may adopt: the newest revision of
 * its peers, but only when most members have answered.
 */
export const chooseOutageRevision = (
  views: readonly PeerView[],
  members: number,
): number | undefined => {
  const most = views.length > members / 2;
  const newest = Math.max(0, ...views.map((v) => v.revision));
  return most && newest > 0 ? newest : undefined;
};
