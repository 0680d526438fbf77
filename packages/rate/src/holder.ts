import {
  changeLimit,
  getWaitMs,
  makeBucket,
  refillBucket,
  returnTokens,
  takeTokens,
  type Bucket,
  type RateLimit,
  type SlotReturn,
} from './bucket.js';

/** A VM's request for tokens of one workspace. */
export interface Draw {
  readonly workspace: string;
  /** Minimum number of tokens; fewer are not granted. */
  readonly need: number;
  /** Tokens that the VM could use soon. */
  readonly want: number;
  /** Incarnation of the VM that draws. */
  readonly requester: string;
}

/** The holder's reply to a draw. The field names are sent to peers. */
export type DrawReply =
  | { readonly kind: 'granted'; readonly slot: number; readonly tokens: number }
  /** Too few tokens now; `backlog` is the number of tokens that all VMs wait for. */
  | {
      readonly kind: 'short';
      readonly waitMs: number;
      readonly backlog: number;
      /** Whether the holder is new and its buckets do not refill yet. */
      readonly starting: boolean;
    }
  /** The draw needs more tokens than the burst. */
  | { readonly kind: 'never' };

/** Unused tokens of one workspace that are returned. */
export interface WorkspaceReturn extends SlotReturn {
  readonly workspace: string;
}

/** Bucket levels that a new holder starts with. */
export interface InitialLevels {
  readonly levels: ReadonlyMap<string, number>;
  /** How long workspaces without a level have not drawn any tokens, in milliseconds. */
  readonly idleMs: number;
}

/** Full levels, for a shard that never had a holder. */
export const allBucketsFull: InitialLevels = { levels: new Map(), idleMs: Number.MAX_SAFE_INTEGER };

/** Empty levels, for a shard whose last holder sent none: its buckets may just have been emptied. */
export const allBucketsEmpty: InitialLevels = { levels: new Map(), idleMs: 0 };

/** State of the holder of one shard of workspaces. */
export interface Holder {
  readonly shard: number;
  readonly epoch: number;
  readonly buckets: Map<string, Bucket>;
  /** Tokens that VMs wait for, by workspace and VM. */
  readonly waiting: Map<
    string,
    Map<string, { readonly tokens: number; readonly requestedAt: number }>
  >;
  readonly initial: InitialLevels;
  /** Time from which buckets refill. */
  readonly refillFrom: number;
}

/** Usual time to recall a deposit, in milliseconds. */
const depositRecallMs = 20;

/** How long a VM counts as waiting after a draw that was not granted, in milliseconds. */
const waitingLifetimeMs = 1_000;

/** Share of a bucket's remaining level that a draw may take in addition to its need. */
const lookaheadShare = 0.125;

/**
 * Makes the holder of a shard.
 *
 * @param refillFrom - time from which no grant of the previous holder can be spent
 */
export const makeHolder = (
  shard: number,
  epoch: number,
  refillFrom: number,
  initial: InitialLevels,
): Holder => ({
  shard,
  epoch,
  buckets: new Map(),
  waiting: new Map(),
  initial,
  refillFrom,
});

const getOrCreateBucket = (
  holder: Holder,
  workspace: string,
  limit: RateLimit,
  now: number,
): Bucket => {
  const existing = holder.buckets.get(workspace);
  if (!existing) {
    const { levels, idleMs } = holder.initial;
    const level = levels.get(workspace) ?? Math.min(limit.burst, (idleMs * limit.rate) / 1_000);
    const created = makeBucket(limit, level, holder.refillFrom);
    holder.buckets.set(workspace, created);
    return created;
  }
  if (existing.limit.rate !== limit.rate || existing.limit.burst !== limit.burst)
    changeLimit(existing, limit, now);
  return existing;
};

/** Records the tokens that a VM waits for and returns the sum over all VMs. */
const updateBacklog = (holder: Holder, draw: Draw, now: number): number => {
  const requesters = holder.waiting.get(draw.workspace) ?? new Map();
  holder.waiting.set(draw.workspace, requesters);
  requesters.set(draw.requester, { tokens: Math.max(draw.need, draw.want), requestedAt: now });
  let backlog = 0;
  requesters.forEach(({ tokens, requestedAt }, requester) => {
    if (now - requestedAt > waitingLifetimeMs) requesters.delete(requester);
    else backlog += tokens;
  });
  return backlog;
};

/**
 * Handles a draw: grants its need and, if the bucket is well filled, more; or grants nothing.
 *
 * @example
 * const holder = makeHolder(0, 1, 0, allBucketsFull);
 * handleDraw(holder, { workspace: 'forge', need: 100, want: 100, requester: 'a' }, limit, 0);
 */
export const handleDraw = (
  holder: Holder,
  draw: Draw,
  limit: RateLimit,
  now: number,
): DrawReply => {
  if (draw.need > limit.burst) return { kind: 'never' };
  const bucket = getOrCreateBucket(holder, draw.workspace, limit, now);
  refillBucket(bucket, now);
  const extra = Math.min(draw.want - draw.need, (bucket.level - draw.need) * lookaheadShare);
  const taken = takeTokens(bucket, draw.need + Math.max(0, Math.floor(extra)), now);
  if (taken) {
    holder.waiting.get(draw.workspace)?.delete(draw.requester);
    return { kind: 'granted', ...taken };
  }
  const backlog = updateBacklog(holder, draw, now);
  const waitMs = Math.max(1, getWaitMs(bucket, draw.need));
  const hasDeposit = bucket.deposited > 0;
  return {
    kind: 'short',
    waitMs: hasDeposit ? Math.min(waitMs, depositRecallMs) : waitMs,
    backlog,
    starting: now < holder.refillFrom,
  };
};

/** Puts returned tokens back into their bucket; those of another epoch are lost. */
export const acceptReturn = (
  holder: Holder,
  epoch: number,
  returned: WorkspaceReturn,
  now: number,
): void => {
  const bucket = epoch === holder.epoch ? holder.buckets.get(returned.workspace) : undefined;
  if (bucket) returnTokens(bucket, returned, now);
};

/** Returns the levels that a successor may start with. */
export const exportLevels = (holder: Holder, now: number): InitialLevels => {
  const levels = new Map(holder.initial.levels);
  holder.buckets.forEach((bucket, workspace) => {
    refillBucket(bucket, now);
    levels.set(workspace, Math.floor(bucket.level));
  });
  const servedMs = Math.max(0, Math.floor(now - holder.refillFrom));
  return { levels, idleMs: Math.min(Number.MAX_SAFE_INTEGER, holder.initial.idleMs + servedMs) };
};
