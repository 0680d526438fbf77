import { makeSpendWindow, type SpendWindow } from './spend-window.js';

/**
 * Share of a window's slack by which a bucket's capacity exceeds the burst. The rest of the
 * slack covers requests that VMs admit before they receive each other's totals.
 */
const bucketSlackShare = 0.4;

/**
 * Share of the slack that a VM which joins a running fleet may admit immediately, before it knows
 * the levels of the others.
 */
const startSlackShare = 0.12;

/**
 * Share of the slack by which small requests and resumed streams may overdraw a bucket. A flood of large
 * requests keeps the bucket empty, and VMs that charge it at the same time overdraw it; small urgent
 * requests must not starve because of that. After a loss of all VMs buckets are almost empty, while the
 * streams that were admitted before are resumed.
 */
const overdraftSlackShare = 0.25;

/** Maximum cost of a small request, as a share of the burst. */
const smallRequestBurstShare = 1 / 20;

/**
 * Share of the slack up to which a window may be used in one burst. All VMs may be killed after
 * a burst, and the restarted VMs then admit the cost of a complete window again.
 */
const windowSlackShare = 0.7;

/**
 * Share of a bucket's capacity below which each charge is sent to all VMs immediately. Above
 * it, charges reach other data centres late. Each of four data centres may then use the remaining
 * quarter before the others receive its charges, which together is the cost of one full bucket.
 */
const lowBucketShare = 0.75;

/** The rate limit of a workspace, in cost units. */
export interface QuotaLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

/** The sliding window over which the rate limit is enforced. */
export interface QuotaWindow {
  readonly windowMs: number;
  /** Cost by which a window may exceed rate and burst. */
  readonly slack: number;
}

interface Bucket {
  /** Undefined until the limit is first known; then the capacity less the cost already spent. */
  level: number | undefined;
  filledAt: number;
  readonly spent: SpendWindow;
}

/** Cost that a VM has admitted for each workspace since it started. */
export type AdmittedTotals = Readonly<Record<string, number>>;

/** The decision on a request for admission. */
export interface Admission {
  readonly isAdmitted: boolean;
  /** Time until the request would be admitted; 0 if it is admitted. */
  readonly retryAfterMs: number;
  /** Level of the bucket before the request is charged. */
  readonly level: number;
  /** Whether the bucket is so low that the charge must be sent to the other VMs immediately. */
  readonly isBucketLow: boolean;
}

/** For each workspace, the bucket's level and the cost charged in the current window. */
export type QuotaLevels = Readonly<Record<string, readonly [number, number]>>;

/** Enforces rate limits over all VMs together; each VM keeps a replica of every bucket. */
export interface FleetQuota {
  /**
   * Charges a request, or returns the time after which it would be admitted.
   *
   * @param mayOverdraw - whether a request of any size may overdraw the bucket as a small one may
   */
  readonly tryAdmit: (
    workspace: string,
    limit: QuotaLimit,
    cost: number,
    now: number,
    mayOverdraw?: boolean,
  ) => Admission;
  /** Returns what `tryAdmit` would, without charging the request. */
  readonly check: (
    workspace: string,
    limit: QuotaLimit,
    cost: number,
    now: number,
    mayOverdraw?: boolean,
  ) => Admission;
  /** Charges a request that is admitted in any case. */
  readonly charge: (workspace: string, cost: number, now: number) => void;
  /**
   * Charges what a peer has admitted since its last message.
   *
   * @param incarnation - identifies one process run of the peer
   * @param totals - what that process has admitted since it started
   * @param isOlder - whether the peer started before this VM; its totals in the first message
   *   are then not charged, since the levels that this VM adopts include them
   */
  readonly recordPeerTotals: (
    incarnation: string,
    totals: AdmittedTotals,
    isOlder: boolean,
    now: number,
  ) => void;
  readonly getTotals: () => AdmittedTotals;
  /** Levels to send to a VM that has just started; undefined while this VM does not know them. */
  readonly getLevels: (now: number) => QuotaLevels | undefined;
  /** Adopts the levels of another VM, unless this VM already knows its own. */
  readonly adoptLevels: (levels: QuotaLevels, now: number) => void;
  /**
   * Sets the share of the VMs whose messages this VM receives, itself included. Only this share
   * of the rate is used, since the other VMs may use the rest unnoticed.
   */
  readonly setReachableShare: (share: number) => void;
}

/**
 * Creates the rate limiter of a VM.
 *
 * Load pattern: one workspace sends many times its rate through all VMs concurrently, others
 * send a few large requests in a burst. A request is admitted while the window is below rate
 * and burst, or while the bucket's level covers the cost. Totals are cumulative, so that the
 * next message corrects a lost or duplicated one. A VM that joins a running fleet can't know
 * the window before its start and begins with a low level.
 *
 * @param startsFull - whether nothing can have been admitted before the start
 * @example
 * const quota = makeFleetQuota({ windowMs: 8_000, slack: 140_000 }, true, now);
 * quota.tryAdmit('forge', { ratePerS: 100, burst: 50 }, 20, now).isAdmitted; // true
 */
export const makeFleetQuota = (
  window: QuotaWindow,
  startsFull: boolean,
  startedAt: number,
): FleetQuota => {
  const { windowMs, slack } = window;
  const buckets = new Map<string, Bucket>();
  const localTotals: Record<string, number> = {};
  const peerTotals = new Map<string, Record<string, number>>();
  let reachableShare = 1;
  let hasAdoptedLevels = false;

  const getCapacity = (limit: QuotaLimit): number =>
    (limit.burst + slack * bucketSlackShare) * reachableShare;

  const getBucket = (workspace: string): Bucket => {
    const existing = buckets.get(workspace);
    if (existing) return existing;
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
    const previousLevel = bucket.level ?? getCapacity(limit) - bucket.spent.sum(now);
    const refilled = previousLevel + elapsedS * limit.ratePerS * reachableShare;
    const level = Math.min(getCapacity(limit), refilled);
    bucket.level = level;
    bucket.filledAt = now;
    return level;
  };

  const charge = (bucket: Bucket, cost: number, now: number): void => {
    if (bucket.level !== undefined) bucket.level -= cost;
    bucket.spent.add(cost, now);
  };

  /** Returns the bucket level that a request needs to be admitted. */
  const getRequiredLevel = (limit: QuotaLimit, cost: number, mayOverdraw: boolean): number => {
    if (mayOverdraw || cost <= limit.burst * smallRequestBurstShare)
      return cost - slack * overdraftSlackShare * reachableShare;
    // A request that costs more than the capacity is admitted when the bucket is full.
    return Math.min(cost, getCapacity(limit));
  };

  const isWindowKnown = (now: number): boolean =>
    startsFull || hasAdoptedLevels || now - startedAt >= windowMs;

  /** Returns whether the window is known and stays within rate and burst. */
  const fitsWindow = (bucket: Bucket, limit: QuotaLimit, cost: number, now: number): boolean => {
    const maxCost = Math.min(
      (limit.ratePerS * windowMs) / 1_000 + limit.burst,
      limit.burst + slack * windowSlackShare,
    );
    return isWindowKnown(now) && bucket.spent.sum(now) + cost <= maxCost * reachableShare;
  };

  const check: FleetQuota['check'] = (workspace, limit, cost, now, mayOverdraw = false) => {
    if (limit.ratePerS <= 0)
      return { isAdmitted: true, retryAfterMs: 0, level: 0, isBucketLow: false };
    const bucket = getBucket(workspace);
    const level = refill(bucket, limit, now);
    const requiredLevel = getRequiredLevel(limit, cost, mayOverdraw);
    if (level < requiredLevel && !fitsWindow(bucket, limit, cost, now)) {
      const retryAfterMs = ((requiredLevel - level) / limit.ratePerS) * 1_000;
      return { isAdmitted: false, retryAfterMs, level, isBucketLow: true };
    }
    const isBucketLow = level - cost < getCapacity(limit) * lowBucketShare;
    return { isAdmitted: true, retryAfterMs: 0, level, isBucketLow };
  };

  const chargeLocal = (workspace: string, cost: number, now: number): void => {
    charge(getBucket(workspace), cost, now);
    localTotals[workspace] = (localTotals[workspace] ?? 0) + cost;
  };

  return {
    check,
    charge: chargeLocal,
    tryAdmit: (workspace, limit, cost, now, mayOverdraw) => {
      const admission = check(workspace, limit, cost, now, mayOverdraw);
      if (admission.isAdmitted && limit.ratePerS > 0) chargeLocal(workspace, cost, now);
      return admission;
    },
    recordPeerTotals: (incarnation, totals, isOlder, now) => {
      const chargedTotals = peerTotals.get(incarnation) ?? (isOlder ? { ...totals } : {});
      peerTotals.set(incarnation, chargedTotals);
      Object.entries(totals).forEach(([workspace, total]) => {
        const spent = total - (chargedTotals[workspace] ?? 0);
        if (spent <= 0) return;
        chargedTotals[workspace] = total;
        charge(getBucket(workspace), spent, now);
      });
    },
    getTotals: () => localTotals,
    getLevels: (now) => {
      if (!isWindowKnown(now)) return undefined;
      const knownBuckets = [...buckets].filter(([, bucket]) => bucket.level !== undefined);
      return Object.fromEntries(
        knownBuckets.map(([workspace, bucket]) => [
          workspace,
          [Math.round(bucket.level ?? 0), Math.round(bucket.spent.sum(now))] as const,
        ]),
      );
    },
    adoptLevels: (levels, now) => {
      if (isWindowKnown(now)) return;
      hasAdoptedLevels = true;
      Object.entries(levels).forEach(([workspace, [level, spent]]) => {
        const bucket = getBucket(workspace);
        bucket.level = level;
        bucket.filledAt = now;
        // Costs that this VM has already charged are counted twice until the window has passed.
        bucket.spent.add(spent, now);
      });
    },
    setReachableShare: (share) => {
      reachableShare = share;
    },
  };
};
