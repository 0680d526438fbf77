import { refillBucket, type Bucket } from './bucket.js';
import type { Holder } from './holder.js';

/** Maximum share of a burst that is deposited. */
const maxDepositShare = 0.4;

/** Share of a burst that the holder always retains. */
const retainedShare = 0.5;

/** Changes smaller than this share of a burst are not sent, to save messages. */
const minChangeShare = 0.1;

/**
 * What a holder has deposited with its likely successor, so that the successor does not start
 * with empty buckets. A deposit is an absolute amount with a sequence number: the successor
 * accepts only higher numbers, so that a delayed or duplicate message has no effect.
 */
export interface DepositState {
  /** Incarnation of the successor that stores the deposits. */
  readonly successor: string;
  readonly sequence: number;
  /** Tokens by workspace that the successor has confirmed. */
  readonly confirmed: ReadonlyMap<string, number>;
}

/** All deposits of a shard, as sent to the successor. */
export interface DepositStatement {
  readonly sequence: number;
  /** Deposited tokens by workspace. */
  readonly tokens: ReadonlyMap<string, number>;
}

const chooseDeposit = (bucket: Bucket, isRecalled: boolean): number => {
  if (isRecalled) return 0;
  const { burst } = bucket.limit;
  const spare = bucket.level + bucket.deposited - burst * retainedShare;
  const target = Math.floor(Math.max(0, Math.min(burst * maxDepositShare, spare)));
  const change = Math.abs(target - bucket.deposited);
  return change < burst * minChangeShare ? bucket.deposited : target;
};

/**
 * Plans the next statement. Tokens that it adds leave the buckets immediately; tokens that it
 * takes back return to the buckets only when the successor confirms the statement.
 *
 * @param recalled - workspaces that are short of tokens and whose deposits are taken back
 * @returns undefined if nothing changes
 */
export const planDeposits = (
  holder: Holder,
  state: DepositState,
  recalled: ReadonlySet<string>,
  now: number,
): DepositStatement | undefined => {
  const tokens = new Map<string, number>();
  let hasChanged = false;
  holder.buckets.forEach((bucket, workspace) => {
    refillBucket(bucket, now);
    const deposit = chooseDeposit(bucket, recalled.has(workspace));
    const added = deposit - bucket.deposited;
    if (added > 0) {
      bucket.level -= added;
      bucket.deposited = deposit;
    }
    if (deposit > 0) tokens.set(workspace, deposit);
    if (deposit !== (state.confirmed.get(workspace) ?? 0)) hasChanged = true;
  });
  return hasChanged ? { sequence: state.sequence + 1, tokens } : undefined;
};

/** Applies a confirmation: tokens that the successor no longer stores return to the buckets. */
export const confirmDeposits = (holder: Holder, statement: DepositStatement, now: number): void =>
  holder.buckets.forEach((bucket, workspace) => {
    refillBucket(bucket, now);
    const stored = statement.tokens.get(workspace) ?? 0;
    bucket.level += Math.max(0, bucket.deposited - stored);
    bucket.deposited = stored;
  });

/** Discards the deposits with a successor that is proven dead; their tokens are lost. */
export const discardDeposits = (holder: Holder): void =>
  holder.buckets.forEach((bucket) => {
    bucket.deposited = 0;
  });

/** The deposits of one shard as its holder's likely successor stores them. */
export interface StoredDeposit extends DepositStatement {
  readonly epoch: number;
}

/** Selects the newer of two statements, by epoch and then by sequence number; `current` if equal. */
export const selectLatestDeposit = (
  current: StoredDeposit | undefined,
  statement: StoredDeposit,
): StoredDeposit => {
  const isNewer =
    !current ||
    statement.epoch > current.epoch ||
    (statement.epoch === current.epoch && statement.sequence > current.sequence);
  return isNewer ? statement : current;
};
