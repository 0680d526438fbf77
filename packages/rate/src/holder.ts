import {
  changeLimit,
  fillBucket,
  getWaitMs,
  makeBucket,
  returnTokens,
  takeTokens,
  type Bucket,
  type RateLimit,
  type SlotReturn,
} from './bucket.js';

/** What a VM asks of the holder for one workspace. */
export interface Draw {
  readonly workspace: string;
  /** Tokens without which the asker cannot go on. */
  readonly need: number;
  /** Tokens it could use soon. */
  readonly want: number;
  /** Incarnation of the VM that asks. */
  readonly requester: string;
}

/** What the holder answers to a draw. */
export type DrawReply =
  | { readonly kind: 'granted'; readonly slot: number; readonly tokens: number }
  /** Too few tokens now; `backlog` is what all VMs together wait for. */
  | {
      readonly kind: 'short';
      readonly waitMs: number;
      readonly backlog: number;
      /** Whether the holder is new and its buckets do not fill yet. */
      readonly starting: boolean;
    }
  | { readonly kind: 'never' };

/** Unused tokens of one workspace on their way back. */
export interface WorkspaceReturn extends SlotReturn {
  readonly workspace: string;
}

/** Levels that a holder starts with. */
export interface InitialLevels {
  readonly levels: ReadonlyMap<string, number>;
  /** How long workspaces without a level have been left alone, in milliseconds. */
  readonly idleMs: number;
}

/** A shard that never had a holder: all buckets are full. */
export const allBucketsFull: InitialLevels = { levels: new Map(), idleMs: Number.MAX_SAFE_INTEGER };

/** A shard whose holder told nothing: all buckets may have been emptied just now. */
export const allBucketsEmpty: InitialLevels = { levels: new Map(), idleMs: 0 };

/** State of the holder of one shard of workspaces. */
export interface Holder {
  readonly shard: number;
  readonly epoch: number;
  readonly buckets: Map<string, Bucket>;
  /** Tokens that VMs wait for, by workspace and VM. */
  readonly waiting: Map<string, Map<string, { readonly tokens: number; readonly at: number }>>;
  readonly start: InitialLevels;
  /** Time from which buckets fill. */
  readonly fillsFrom: number;
}

/** Time in which a deposit usually comes back, in milliseconds. */
const recallMs = 20;

/** How long a VM that was short counts as waiting, in milliseconds. */
const waitingHoldsMs = 1_000;

/** Part of a short bucket that one draw may take beyond its need. */
const lookaheadShare = 0.125;

/**
 * Makes the holder of a shard.
 *
 * @param fillsFrom - time at which no grant of the previous holder can be spent any more
 */
export const makeHolder = (
  shard: number,
  epoch: number,
  fillsFrom: number,
  start: InitialLevels,
): Holder => ({ shard, epoch, buckets: new Map(), waiting: new Map(), start, fillsFrom });

const bucketOf = (holder: Holder, workspace: string, limit: RateLimit, now: number): Bucket => {
  const known = holder.buckets.get(workspace);
  if (!known) {
    const { levels, idleMs } = holder.start;
    const level = levels.get(workspace) ?? Math.min(limit.burst, (idleMs * limit.rate) / 1_000);
    const made = makeBucket(limit, level, holder.fillsFrom);
    holder.buckets.set(workspace, made);
    return made;
  }
  if (known.limit.rate !== limit.rate || known.limit.burst !== limit.burst)
    changeLimit(known, limit, now);
  return known;
};

/** Notes what a VM waits for and adds up what all of them do. */
const countBacklog = (holder: Holder, draw: Draw, now: number): number => {
  const askers = holder.waiting.get(draw.workspace) ?? new Map();
  holder.waiting.set(draw.workspace, askers);
  askers.set(draw.requester, { tokens: Math.max(draw.need, draw.want), at: now });
  let backlog = 0;
  askers.forEach(({ tokens, at }, asker) => {
    if (now - at > waitingHoldsMs) askers.delete(asker);
    else backlog += tokens;
  });
  return backlog;
};

/**
 * Answers a draw: the need or nothing, and more when the bucket is well filled.
 *
 * @example
 * const holder = makeHolder(0, 1, 0, startFull);
 * answerDraw(holder, { workspace: 'forge', need: 100, want: 100, asker: 'a' }, limit, 0);
 */
export const handleDraw = (
  holder: Holder,
  draw: Draw,
  limit: RateLimit,
  now: number,
): DrawReply => {
  if (draw.need > limit.burst) return { kind: 'never' };
  const bucket = bucketOf(holder, draw.workspace, limit, now);
  fillBucket(bucket, now);
  const extra = Math.min(draw.want - draw.need, (bucket.level - draw.need) * lookaheadShare);
  const taken = takeTokens(bucket, draw.need + Math.max(0, Math.floor(extra)), now);
  if (taken) {
    holder.waiting.get(draw.workspace)?.delete(draw.requester);
    return { kind: 'granted', ...taken };
  }
  const backlog = countBacklog(holder, draw, now);
  const waitMs = Math.max(1, getWaitMs(bucket, draw.need));
  const deposited = bucket.deposited > 0;
  return {
    kind: 'short',
    waitMs: deposited ? Math.min(waitMs, recallMs) : waitMs,
    backlog,
    starting: now < holder.fillsFrom,
  };
};

/** Takes unused tokens back; those of another epoch are lost. */
export const acceptReturn = (
  holder: Holder,
  epoch: number,
  back: WorkspaceReturn,
  now: number,
): void => {
  const bucket = epoch === holder.epoch ? holder.buckets.get(back.workspace) : undefined;
  if (bucket) returnTokens(bucket, back, now);
};

/** Reads the levels that a successor may start from. */
export const exportLevels = (holder: Holder, now: number): InitialLevels => {
  const levels = new Map(holder.start.levels);
  holder.buckets.forEach((bucket, workspace) => {
    fillBucket(bucket, now);
    levels.set(workspace, Math.floor(bucket.level));
  });
  const heldMs = Math.max(0, Math.floor(now - holder.fillsFrom));
  return { levels, idleMs: Math.min(Number.MAX_SAFE_INTEGER, holder.start.idleMs + heldMs) };
};
