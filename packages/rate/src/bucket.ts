/** Width of the slots in which grants are remembered, in milliseconds. */
export const slotMs = 100;

/** Longest time a grant may be used after it was given, in milliseconds. */
export const grantLifetimeMs = 500;

/** Longest time after a grant in which unused tokens can come back, in milliseconds. */
const slotKeptMs = 180_000;

const smallestScale = 1e-6;

/** The rate of a workspace. */
export interface RateLimit {
  /** Tokens per second. */
  readonly rate: number;
  /** Tokens. */
  readonly burst: number;
}

/** Grants of one slot of time. */
interface GrantSlot {
  readonly slot: number;
  /** Granted tokens that may still be spent, since the slot is recent. */
  fresh: number;
  /** Refund scale at the time the slot stopped being recent; undefined before. */
  scale: number | undefined;
  generation: number;
}

/**
 * A token bucket whose tokens are granted ahead and partly returned later.
 *
 * Invariant: `level + fresh + refundable + deposited <= burst`. It bounds the tokens spent in any
 * window of T seconds by rate·T + burst, although a grant is spent up to `grantHoldsMs`
 * after it was given, and unused tokens come back long after. Once time has filled the
 * bucket in place of an unused token, that token's refund shrinks (`scale`).
 */
export interface Bucket {
  limit: RateLimit;
  level: number;
  /** Tokens of recent grants, spent or not. */
  fresh: number;
  /** Tokens set aside with the VM that would succeed the holder. */
  deposited: number;
  /** Most tokens that older grants may still bring back. */
  refundable: number;
  scale: number;
  generation: number;
  /** Time up to which the bucket has been filled. */
  filledTo: number;
  slots: GrantSlot[];
}

/** Tokens of one slot that came back. */
export interface SlotReturn {
  readonly slot: number;
  /** Tokens whose use is decided now. */
  readonly settled: number;
  /** Those of them that were not used. */
  readonly unused: number;
}

/**
 * Makes a bucket that holds `level` tokens and fills from time `filledFrom` on.
 *
 * @example
 * const bucket = makeBucket({ rate: 100, burst: 1_000 }, 1_000, 0);
 * takeTokens(bucket, 200, 0); // { slot: 0, tokens: 200 }
 */
export const makeBucket = (limit: RateLimit, level: number, filledFrom: number): Bucket => ({
  limit,
  level: Math.min(level, limit.burst),
  fresh: 0,
  deposited: 0,
  refundable: 0,
  scale: 1,
  generation: 0,
  filledTo: filledFrom,
  slots: [],
});

const shrinkRefunds = (bucket: Bucket, room: number): void => {
  if (bucket.refundable <= room) return;
  const factor = Math.max(0, room) / bucket.refundable;
  bucket.refundable = Math.max(0, room);
  bucket.scale *= factor;
  if (bucket.scale >= smallestScale) return;
  // Nothing of earlier grants comes back any more.
  bucket.refundable = 0;
  bucket.scale = 1;
  bucket.generation += 1;
};

/** Room that refunds of older grants may take. */
const getFreeRoom = ({ limit, fresh, deposited, level }: Bucket): number =>
  limit.burst - fresh - deposited - level;

const getAgingTime = (slot: GrantSlot): number => (slot.slot + 1) * slotMs + grantLifetimeMs;

const fillTo = (bucket: Bucket, now: number): void => {
  if (now <= bucket.filledTo) return;
  const added = ((now - bucket.filledTo) * bucket.limit.rate) / 1_000;
  const room = Math.max(0, bucket.limit.burst - bucket.fresh - bucket.deposited);
  bucket.level = Math.max(Math.min(bucket.level, room), Math.min(room, bucket.level + added));
  bucket.filledTo = now;
  shrinkRefunds(bucket, getFreeRoom(bucket));
};

const ageSlot = (bucket: Bucket, slot: GrantSlot): void => {
  bucket.fresh -= slot.fresh;
  bucket.refundable += slot.fresh;
  slot.fresh = 0;
  slot.scale = bucket.scale;
  slot.generation = bucket.generation;
};

const forgetOldSlots = (bucket: Bucket, now: number): void => {
  const oldest = Math.floor((now - slotKeptMs) / slotMs);
  if ((bucket.slots[0]?.slot ?? oldest) < oldest)
    bucket.slots = bucket.slots.filter((s) => s.slot >= oldest);
};

/** Fills a bucket up to `now`. */
export const fillBucket = (bucket: Bucket, now: number): void => {
  bucket.slots
    .filter((s) => s.scale === undefined && getAgingTime(s) <= now)
    .forEach((s) => {
      fillTo(bucket, getAgingTime(s));
      ageSlot(bucket, s);
    });
  fillTo(bucket, now);
  forgetOldSlots(bucket, now);
};

/** Puts another limit into force from `now` on. */
export const changeLimit = (bucket: Bucket, limit: RateLimit, now: number): void => {
  fillBucket(bucket, now);
  bucket.limit = limit;
  const room = limit.burst - bucket.fresh - bucket.deposited;
  bucket.level = Math.max(0, Math.min(bucket.level, room));
  shrinkRefunds(bucket, getFreeRoom(bucket));
};

const slotAt = (bucket: Bucket, now: number): GrantSlot => {
  const slot = Math.floor(now / slotMs);
  const last = bucket.slots.at(-1);
  if (last && last.slot >= slot) return last;
  const added = { slot, fresh: 0, scale: undefined, generation: bucket.generation };
  bucket.slots.push(added);
  return added;
};

/** Tokens taken from a bucket and the slot that names them on their return. */
export interface TakenTokens {
  readonly slot: number;
  readonly tokens: number;
}

/** Takes tokens out of a bucket; undefined when it holds fewer. */
export const takeTokens = (
  bucket: Bucket,
  tokens: number,
  now: number,
): TakenTokens | undefined => {
  fillBucket(bucket, now);
  if (tokens <= 0 || bucket.level < tokens) return undefined;
  const slot = slotAt(bucket, now);
  bucket.level -= tokens;
  bucket.fresh += tokens;
  slot.fresh += tokens;
  return { slot: slot.slot, tokens };
};

/** Puts unused tokens back, as far as time has not replaced them already. */
export const returnTokens = (bucket: Bucket, back: SlotReturn, now: number): void => {
  fillBucket(bucket, now);
  const slot = bucket.slots.find((s) => s.slot === back.slot);
  if (!slot || back.unused < 0 || back.unused > back.settled) return;
  if (slot.scale === undefined) {
    const settled = Math.min(back.settled, slot.fresh);
    slot.fresh -= settled;
    bucket.fresh -= settled;
    bucket.level += Math.min(back.unused, settled);
    return;
  }
  if (slot.generation !== bucket.generation) return;
  const factor = bucket.scale / slot.scale;
  const settled = Math.min(back.settled * factor, bucket.refundable);
  bucket.refundable -= settled;
  bucket.level += Math.min(back.unused * factor, settled);
};

/** Milliseconds until a bucket holds `tokens`, if nothing is taken meanwhile. */
export const getWaitMs = (bucket: Bucket, tokens: number): number =>
  Math.max(0, Math.ceil(((tokens - bucket.level) * 1_000) / bucket.limit.rate));
