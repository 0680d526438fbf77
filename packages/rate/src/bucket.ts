/** Width of the time slots that grants are grouped by, in milliseconds. */
export const grantSlotMs = 100;

/** How long a granted token may be spent, in milliseconds. */
export const grantLifetimeMs = 500;

/** How long after a grant its unused tokens can still be returned, in milliseconds. */
const slotRetentionMs = 180_000;

/** Below this refund scale, refunds of all expired grants are dropped. */
const minRefundScale = 1e-6;

/** Rate and burst of a workspace. */
export interface RateLimit {
  /** Tokens per second. */
  readonly rate: number;
  /** Capacity of the bucket, in tokens. */
  readonly burst: number;
}

/** Grants of one time slot. */
interface GrantSlot {
  /** Start of the time slot, in units of `grantSlotMs`. */
  readonly index: number;
  /** Granted tokens that can still be spent; 0 once the slot has expired. */
  unexpired: number;
  /** The bucket's refund scale when the slot expired; undefined until then. */
  refundScale: number | undefined;
  /** The bucket's refund generation when the slot expired. */
  generation: number;
}

/**
 * A token bucket whose tokens are granted in advance and partly returned later.
 *
 * Invariant: `level + unexpired + refundable + deposited <= burst`. It limits the tokens spent
 * in any window of T seconds to rate·T + burst, although a grant can be spent up to
 * `grantLifetimeMs` after it was made and unused tokens can be returned much later. When the
 * refill over time has taken the place of an unused token, its refund shrinks (`refundScale`).
 */
export interface Bucket {
  limit: RateLimit;
  /** Tokens that can be granted now. */
  level: number;
  /** Tokens of grants that have not expired, spent or not. */
  unexpired: number;
  /** Tokens deposited with the holder's likely successor. */
  deposited: number;
  /** Maximum number of tokens that can still be refunded from expired grants. */
  refundable: number;
  /** Product of all shrink factors of the refunds in this generation. */
  refundScale: number;
  /** Incremented when refunds of all earlier grants are dropped. */
  generation: number;
  /** Time up to which the bucket has been refilled. */
  refilledUntil: number;
  slots: GrantSlot[];
}

/** Returned tokens of one time slot. */
export interface SlotReturn {
  readonly slot: number;
  /** Granted tokens whose use is now known. */
  readonly settled: number;
  /** Settled tokens that were not used. */
  readonly unused: number;
}

/**
 * Makes a bucket that holds `level` tokens and refills from the time `refillFrom`.
 *
 * @example
 * const bucket = makeBucket({ rate: 100, burst: 1_000 }, 1_000, 0);
 * takeTokens(bucket, 200, 0); // { slot: 0, tokens: 200 }
 */
export const makeBucket = (limit: RateLimit, level: number, refillFrom: number): Bucket => ({
  limit,
  level: Math.min(level, limit.burst),
  unexpired: 0,
  deposited: 0,
  refundable: 0,
  refundScale: 1,
  generation: 0,
  refilledUntil: refillFrom,
  slots: [],
});

const shrinkRefunds = (bucket: Bucket, capacity: number): void => {
  if (bucket.refundable <= capacity) return;
  const factor = Math.max(0, capacity) / bucket.refundable;
  bucket.refundable = Math.max(0, capacity);
  bucket.refundScale *= factor;
  if (bucket.refundScale >= minRefundScale) return;
  // From here on, nothing is refunded for earlier grants.
  bucket.refundable = 0;
  bucket.refundScale = 1;
  bucket.generation += 1;
};

/** Capacity left for refunds of expired grants. */
const getRefundCapacity = ({ limit, unexpired, deposited, level }: Bucket): number =>
  limit.burst - unexpired - deposited - level;

const getExpiryTime = (slot: GrantSlot): number => (slot.index + 1) * grantSlotMs + grantLifetimeMs;

const refillUntil = (bucket: Bucket, now: number): void => {
  if (now <= bucket.refilledUntil) return;
  const added = ((now - bucket.refilledUntil) * bucket.limit.rate) / 1_000;
  const capacity = Math.max(0, bucket.limit.burst - bucket.unexpired - bucket.deposited);
  bucket.level = Math.max(
    Math.min(bucket.level, capacity),
    Math.min(capacity, bucket.level + added),
  );
  bucket.refilledUntil = now;
  shrinkRefunds(bucket, getRefundCapacity(bucket));
};

const expireSlot = (bucket: Bucket, slot: GrantSlot): void => {
  bucket.unexpired -= slot.unexpired;
  bucket.refundable += slot.unexpired;
  slot.unexpired = 0;
  slot.refundScale = bucket.refundScale;
  slot.generation = bucket.generation;
};

const removeOldSlots = (bucket: Bucket, now: number): void => {
  const oldest = Math.floor((now - slotRetentionMs) / grantSlotMs);
  if ((bucket.slots[0]?.index ?? oldest) < oldest)
    bucket.slots = bucket.slots.filter((s) => s.index >= oldest);
};

/** Refills a bucket up to `now` and expires the time slots that are due. */
export const refillBucket = (bucket: Bucket, now: number): void => {
  bucket.slots
    .filter((s) => s.refundScale === undefined && getExpiryTime(s) <= now)
    .forEach((s) => {
      refillUntil(bucket, getExpiryTime(s));
      expireSlot(bucket, s);
    });
  refillUntil(bucket, now);
  removeOldSlots(bucket, now);
};

/** Applies another limit from `now` on. */
export const changeLimit = (bucket: Bucket, limit: RateLimit, now: number): void => {
  refillBucket(bucket, now);
  bucket.limit = limit;
  const capacity = limit.burst - bucket.unexpired - bucket.deposited;
  bucket.level = Math.max(0, Math.min(bucket.level, capacity));
  shrinkRefunds(bucket, getRefundCapacity(bucket));
};

const getOrCreateSlot = (bucket: Bucket, now: number): GrantSlot => {
  const index = Math.floor(now / grantSlotMs);
  const last = bucket.slots.at(-1);
  if (last && last.index >= index) return last;
  const created = { index, unexpired: 0, refundScale: undefined, generation: bucket.generation };
  bucket.slots.push(created);
  return created;
};

/** Tokens taken from a bucket, and the index of the time slot that identifies their grant on return. */
export interface TakenTokens {
  readonly slot: number;
  readonly tokens: number;
}

/** Takes tokens from a bucket; returns undefined if it holds fewer. */
export const takeTokens = (
  bucket: Bucket,
  tokens: number,
  now: number,
): TakenTokens | undefined => {
  refillBucket(bucket, now);
  if (tokens <= 0 || bucket.level < tokens) return undefined;
  const slot = getOrCreateSlot(bucket, now);
  bucket.level -= tokens;
  bucket.unexpired += tokens;
  slot.unexpired += tokens;
  return { slot: slot.index, tokens };
};

/** Returns unused tokens to a bucket, except those that refilling has already replaced. */
export const returnTokens = (bucket: Bucket, returned: SlotReturn, now: number): void => {
  refillBucket(bucket, now);
  const slot = bucket.slots.find((s) => s.index === returned.slot);
  if (!slot || returned.unused < 0 || returned.unused > returned.settled) return;
  if (slot.refundScale === undefined) {
    const settled = Math.min(returned.settled, slot.unexpired);
    slot.unexpired -= settled;
    bucket.unexpired -= settled;
    bucket.level += Math.min(returned.unused, settled);
    return;
  }
  if (slot.generation !== bucket.generation) return;
  const factor = bucket.refundScale / slot.refundScale;
  const settled = Math.min(returned.settled * factor, bucket.refundable);
  bucket.refundable -= settled;
  bucket.level += Math.min(returned.unused * factor, settled);
};

/** Returns the milliseconds until a bucket holds `tokens` if none are taken in the meantime. */
export const getWaitMs = (bucket: Bucket, tokens: number): number =>
  Math.max(0, Math.ceil(((tokens - bucket.level) * 1_000) / bucket.limit.rate));
