/** Part of a window's slack that a bucket may hold beyond its burst. */
const slackShare = 0.25;

/** The rate of a workspace, in cost units. */
export interface QuotaLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

interface Bucket {
  level: number;
  filledAt: number;
  limit: QuotaLimit;
}

/** What a VM has admitted for a workspace since it started. */
export type AdmittedTotals = Readonly<Record<string, number>>;

/** Limits workspaces over all VMs together, each VM holding a replica of every bucket. */
export interface FleetQuota {
  /** Charges a request; otherwise tells in how many milliseconds it would fit. */
  readonly tryAdmit: (
    workspace: string,
    limit: QuotaLimit,
    cost: number,
    now: number,
  ) => { readonly admitted: boolean; readonly retryAfterMs: number };
  /** Gives back the cost of a request that did not run. */
  readonly refund: (workspace: string, cost: number) => void;
  /** Takes what a peer's incarnation says it has admitted in all. */
  readonly notePeer: (incarnation: string, totals: AdmittedTotals, now: number) => void;
  readonly totals: () => AdmittedTotals;
  /** Share of the VMs that this VM hears, itself included; the rest may spend theirs unheard. */
  readonly setHeardShare: (share: number) => void;
}

/**
 * Makes the limiter of a VM.
 *
 * Load pattern: one workspace sends many times its rate through all VMs at once. Totals are
 * cumulative, so that a lost or doubled message changes nothing for long. A VM that starts
 * in the middle of a day can't know what was just admitted and begins nearly empty.
 *
 * @param slack - cost that a window may hold beyond rate and burst
 * @param startsFull - whether nothing can have been admitted before
 * @example
 * const quota = makeFleetQuota(140_000, true);
 * quota.tryAdmit('forge', { ratePerS: 100, burst: 50 }, 20, now).admitted; // true
 */
export const makeFleetQuota = (slack: number, startsFull: boolean): FleetQuota => {
  const buckets = new Map<string, Bucket>();
  const own: Record<string, number> = {};
  const peers = new Map<string, Record<string, number>>();
  const unclaimed = new Map<string, number>();
  let heardShare = 1;

  const capacityOf = (limit: QuotaLimit): number => limit.burst + slack * slackShare;

  const refill = (bucket: Bucket, limit: QuotaLimit, now: number): void => {
    const elapsedS = Math.max(0, now - bucket.filledAt) / 1_000;
    bucket.level = Math.min(
      capacityOf(limit),
      bucket.level + elapsedS * limit.ratePerS * heardShare,
    );
    bucket.filledAt = now;
    bucket.limit = limit;
  };

  const openBucket = (workspace: string, limit: QuotaLimit, now: number): Bucket => {
    const known = buckets.get(workspace);
    if (known) {
      refill(known, limit, now);
      return known;
    }
    const start = startsFull ? capacityOf(limit) : slack * slackShare;
    const bucket = { level: start - (unclaimed.get(workspace) ?? 0), filledAt: now, limit };
    unclaimed.delete(workspace);
    buckets.set(workspace, bucket);
    return bucket;
  };

  const notePeerTotal = (known: Record<string, number>, workspace: string, total: number) => {
    const spent = total - (known[workspace] ?? 0);
    if (spent <= 0) return;
    known[workspace] = total;
    const bucket = buckets.get(workspace);
    if (bucket) bucket.level -= spent;
    else unclaimed.set(workspace, (unclaimed.get(workspace) ?? 0) + spent);
  };

  return {
    tryAdmit: (workspace, limit, cost, now) => {
      if (limit.ratePerS <= 0) return { admitted: true, retryAfterMs: 0 };
      const bucket = openBucket(workspace, limit, now);
      // A request larger than the bucket must still be able to pass when the bucket is full.
      const needed = Math.min(cost, capacityOf(limit));
      if (bucket.level < needed) {
        const retryAfterMs = ((needed - bucket.level) / limit.ratePerS) * 1_000;
        return { admitted: false, retryAfterMs };
      }
      bucket.level -= cost;
      own[workspace] = (own[workspace] ?? 0) + cost;
      return { admitted: true, retryAfterMs: 0 };
    },
    refund: (workspace, cost) => {
      const bucket = buckets.get(workspace);
      if (bucket) bucket.level += cost;
      // Peers only hear of it as less to come.
      own[workspace] = Math.max(0, (own[workspace] ?? 0) - cost);
    },
    notePeer: (incarnation, totals) => {
      const known = peers.get(incarnation) ?? {};
      peers.set(incarnation, known);
      Object.entries(totals).forEach(([workspace, total]) =>
        notePeerTotal(known, workspace, total),
      );
    },
    totals: () => own,
    setHeardShare: (share) => {
      heardShare = share;
    },
  };
};
