import { makeSpendWindow, type SpendWindow } from './spend-window.js';

/**
 * Part of a window's slack that a bucket may hold beyond its burst, and part that a VM which
 * starts in the middle of a day may hand out at once. What is left of the slack covers
 * requests that are admitted before the VMs hear of each other's.
 */
const bucketSlackShare = 0.4;
const startSlackShare = 0.12;

/**
 * Part of the slack by which small requests may overdraw a bucket, and the share of the burst
 * that a small request costs at most. A flood of large requests keeps the bucket empty, and
 * VMs that spend it at the same time overdraw it; small urgent ones must not starve with it.
 */
const overdraftSlackShare = 0.25;
const smallBurstShare = 1 / 20;

/**
 * Part of the slack up to which a window may be spent in one burst. After a burst all VMs may
 * be killed, and their successors hand out the rate of a whole window again.
 */
const windowSlackShare = 0.7;

/**
 * Share of a bucket below which each charge is told to all VMs at once. What the VMs of four
 * data centres may each spend above it without being heard elsewhere is one bucket together.
 */
const scarceShare = 0.75;

/** The rate of a workspace, in cost units. */
export interface QuotaLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

/** The window in which the rate is judged. */
export interface QuotaWindow {
  readonly windowMs: number;
  /** Cost that a window may hold beyond rate and burst. */
  readonly slack: number;
}

interface Bucket {
  /** Undefined while full, until the workspace's limit is met for the first time. */
  level: number | undefined;
  filledAt: number;
  readonly spent: SpendWindow;
}

/** What a VM has admitted for each workspace since it started. */
export type AdmittedTotals = Readonly<Record<string, number>>;

/** An answer to a request for admission. */
export interface Admission {
  readonly admitted: boolean;
  /** Time until the request would fit; 0 where it is admitted. */
  readonly retryAfterMs: number;
  /** Level of the bucket before the request. */
  readonly level: number;
  /** Whether the bucket is so low that the other VMs must hear of the charge at once. */
  readonly isBucketLow: boolean;
}

/** What a VM knows of each workspace: the bucket's level and what the window holds. */
export type QuotaLevels = Readonly<Record<string, readonly [number, number]>>;

/** Limits workspaces over all VMs together, each VM holding a replica of every bucket. */
export interface FleetQuota {
  /** Charges a request, or tells when it would fit. */
  readonly tryAdmit: (workspace: string, limit: QuotaLimit, cost: number, now: number) => Admission;
  /**
   * Takes what a peer's incarnation says it has admitted in all.
   *
   * @param isOlder - whether the peer ran before this VM; what it had admitted until it is
   *   first heard is then no news, and stands in the levels that this VM takes over
   */
  readonly recordPeerTotals: (
    incarnation: string,
    totals: AdmittedTotals,
    isOlder: boolean,
    now: number,
  ) => void;
  readonly getTotals: () => AdmittedTotals;
  /** Levels for a VM that has just started; undefined while this VM does not know them. */
  readonly getLevels: (now: number) => QuotaLevels | undefined;
  /** Takes over the levels of a VM that knows them, while this VM does not. */
  readonly adoptLevels: (levels: QuotaLevels, now: number) => void;
  /** Share of the VMs that this VM hears, itself included; the rest may spend theirs unheard. */
  readonly setReachableShare: (share: number) => void;
}

/**
 * Makes the limiter of a VM.
 *
 * Load pattern: one workspace sends many times its rate through all VMs at once, others send
 * a few large requests in a burst. A request is admitted while the window holds less than
 * rate and burst allow, or while the bucket has tokens. Totals are cumulative, so that a lost
 * or doubled message changes nothing for long. A VM that starts in the middle of a day can't
 * know the window before and begins with little.
 *
 * @param startsFull - whether nothing can have been admitted before
 * @example
 * const quota = makeFleetQuota({ windowMs: 8_000, slack: 140_000 }, true, now);
 * quota.tryAdmit('forge', { ratePerS: 100, burst: 50 }, 20, now).admitted; // true
 */
export const makeFleetQuota = (
  window: QuotaWindow,
  startsFull: boolean,
  startedAt: number,
): FleetQuota => {
  const { windowMs, slack } = window;
  const buckets = new Map<string, Bucket>();
  const own: Record<string, number> = {};
  const peers = new Map<string, Record<string, number>>();
  let heardShare = 1;
  let adopted = false;

  const capacityOf = (limit: QuotaLimit): number =>
    (limit.burst + slack * bucketSlackShare) * heardShare;

  const getBucket = (workspace: string): Bucket => {
    const known = buckets.get(workspace);
    if (known) return known;
    const bucket: Bucket = {
      level: startsFull ? undefined : slack * startSlackShare,
      filledAt: startedAt,
      spent: makeSpendWindow(windowMs),
    };
    buckets.set(workspace, bucket);
    return bucket;
  };

  /** Refills a bucket and returns its level. */
  const refill = (bucket: Bucket, limit: QuotaLimit, now: number): number => {
    const elapsedS = Math.max(0, now - bucket.filledAt) / 1_000;
    const before = bucket.level ?? capacityOf(limit) - bucket.spent.sum(now);
    const refilled = before + elapsedS * limit.ratePerS * heardShare;
    const level = Math.min(capacityOf(limit), refilled);
    bucket.level = level;
    bucket.filledAt = now;
    return level;
  };

  const spend = (bucket: Bucket, cost: number, now: number): void => {
    if (bucket.level !== undefined) bucket.level -= cost;
    bucket.spent.add(cost, now);
  };

  /** Level at which a request passes. */
  const neededLevel = (limit: QuotaLimit, cost: number): number => {
    if (cost <= limit.burst * smallBurstShare)
      return cost - slack * overdraftSlackShare * heardShare;
    // A request larger than the bucket must still pass when the bucket is full.
    return Math.min(cost, capacityOf(limit));
  };

  const knowsWindow = (now: number): boolean =>
    startsFull || adopted || now - startedAt >= windowMs;

  /** Whether the window stays within rate and burst, as far as its past is known. */
  const fitsWindow = (bucket: Bucket, limit: QuotaLimit, cost: number, now: number): boolean => {
    const most = Math.min(
      (limit.ratePerS * windowMs) / 1_000 + limit.burst,
      limit.burst + slack * windowSlackShare,
    );
    return knowsWindow(now) && bucket.spent.sum(now) + cost <= most * heardShare;
  };

  return {
    tryAdmit: (workspace, limit, cost, now) => {
      if (limit.ratePerS <= 0)
        return { admitted: true, retryAfterMs: 0, level: 0, isBucketLow: false };
      const bucket = getBucket(workspace);
      const level = refill(bucket, limit, now);
      const needed = neededLevel(limit, cost);
      if (level < needed && !fitsWindow(bucket, limit, cost, now)) {
        const retryAfterMs = ((needed - level) / limit.ratePerS) * 1_000;
        return { admitted: false, retryAfterMs, level, isBucketLow: true };
      }
      spend(bucket, cost, now);
      own[workspace] = (own[workspace] ?? 0) + cost;
      const isScarce = level - cost < capacityOf(limit) * scarceShare;
      return { admitted: true, retryAfterMs: 0, level, isBucketLow: isScarce };
    },
    recordPeerTotals: (incarnation, totals, isOlder, now) => {
      const known = peers.get(incarnation) ?? (isOlder ? { ...totals } : {});
      peers.set(incarnation, known);
      Object.entries(totals).forEach(([workspace, total]) => {
        const spent = total - (known[workspace] ?? 0);
        if (spent <= 0) return;
        known[workspace] = total;
        spend(getBucket(workspace), spent, now);
      });
    },
    getTotals: () => own,
    getLevels: (now) => {
      if (!knowsWindow(now)) return undefined;
      const known = [...buckets].filter(([, bucket]) => bucket.level !== undefined);
      return Object.fromEntries(
        known.map(([workspace, bucket]) => [
          workspace,
          [Math.round(bucket.level ?? 0), Math.round(bucket.spent.sum(now))] as const,
        ]),
      );
    },
    adoptLevels: (levels, now) => {
      if (knowsWindow(now)) return;
      adopted = true;
      Object.entries(levels).forEach(([workspace, [level, spent]]) => {
        const bucket = getBucket(workspace);
        bucket.level = level;
        bucket.filledAt = now;
        // What this VM already counted stays counted twice, until the window has passed.
        bucket.spent.add(spent, now);
      });
    },
    setReachableShare: (share) => {
      heardShare = share;
    },
  };
};
