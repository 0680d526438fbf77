import { fillBucket, type Bucket } from './bucket.js';
import type { Holder } from './holder.js';

/** Share of a burst that is deposited while a bucket is well filled. */
const depositShare = 0.4;

/** Share of a burst that always stays with the holder. */
const keptShare = 0.5;

/** Changes smaller than this share of a burst are not worth a message. */
const smallestChangeShare = 0.1;

/**
 * What a holder has deposited with its likely successor, so that the successor need not
 * start empty. A deposit is an absolute statement with a sequence number: the successor
 * takes only higher numbers, so that a late or doubled message changes nothing.
 */
export interface DepositState {
  /** Incarnation of the successor that keeps the deposits. */
  readonly successor: string;
  readonly sequence: number;
  /** Tokens by workspace that the successor has confirmed. */
  readonly confirmed: ReadonlyMap<string, number>;
}

/** A statement of all deposits of a shard. */
export interface DepositStatement {
  readonly sequence: number;
  readonly tokens: ReadonlyMap<string, number>;
}

const chooseDeposit = (bucket: Bucket, wanted: boolean): number => {
  if (wanted) return 0;
  const { burst } = bucket.limit;
  const spare = bucket.level + bucket.deposited - burst * keptShare;
  const target = Math.floor(Math.max(0, Math.min(burst * depositShare, spare)));
  const change = Math.abs(target - bucket.deposited);
  return change < burst * smallestChangeShare ? bucket.deposited : target;
};

/**
 * Plans the next statement and moves what is added to it out of the buckets at once; what
 * is taken back returns to the buckets only when it is confirmed.
 *
 * @param wanted - workspaces that are short of tokens and get theirs back
 * @returns undefined when nothing changes
 */
export const planDeposits = (
  holder: Holder,
  book: DepositState,
  wanted: ReadonlySet<string>,
  now: number,
): DepositStatement | undefined => {
  const tokens = new Map<string, number>();
  let changed = false;
  holder.buckets.forEach((bucket, workspace) => {
    fillBucket(bucket, now);
    const deposit = chooseDeposit(bucket, wanted.has(workspace));
    const added = deposit - bucket.deposited;
    if (added > 0) {
      bucket.level -= added;
      bucket.deposited = deposit;
    }
    if (deposit > 0) tokens.set(workspace, deposit);
    if (deposit !== (book.confirmed.get(workspace) ?? 0)) changed = true;
  });
  return changed ? { sequence: book.sequence + 1, tokens } : undefined;
};

/** Takes a confirmation in: what the successor no longer keeps is back in the buckets. */
export const confirmDeposits = (holder: Holder, statement: DepositStatement, now: number): void =>
  holder.buckets.forEach((bucket, workspace) => {
    fillBucket(bucket, now);
    const kept = statement.tokens.get(workspace) ?? 0;
    bucket.level += Math.max(0, bucket.deposited - kept);
    bucket.deposited = kept;
  });

/** Gives up deposits with a successor that is proven dead; their tokens are lost. */
export const discardDeposits = (holder: Holder): void =>
  holder.buckets.forEach((bucket) => {
    bucket.deposited = 0;
  });

/** Deposits that a likely successor keeps for one shard. */
export interface StoredDeposit extends DepositStatement {
  readonly epoch: number;
}

/** Takes a statement in unless a later one, or one of a later epoch, is known. */
export const selectLatestDeposit = (
  known: StoredDeposit | undefined,
  statement: StoredDeposit,
): StoredDeposit => {
  const isLater =
    !known ||
    statement.epoch > known.epoch ||
    (statement.epoch === known.epoch && statement.sequence > known.sequence);
  return isLater ? statement : known;
};
