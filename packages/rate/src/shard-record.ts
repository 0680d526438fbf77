import { createHash } from 'node:crypto';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { parseValue } from '@hemlocksill/store/parse-value.js';

/** Number of shards that workspaces are distributed over; each has one holder. */
export const shardCount = 32;

/** How long promises can extend the right to grant beyond the lease, in milliseconds. */
export const maxExtensionMs = 3_600_000;

/** How long a promise not to consent to a take-over is valid, in milliseconds. */
export const promiseDurationMs = 4_000;

const recordSchema = z.strictObject({
  shard: z.number().int().min(0),
  epoch: z.number().int().min(1),
  /** VM of the holder, and its incarnation. */
  vm: z.string(),
  incarnation: z.string(),
  /** VMs that vote on a take-over, including the holder. */
  voters: z.array(
    z.strictObject({ incarnation: z.string(), host: z.string(), port: z.number().int() }),
  ),
  /** Random id of the write, which shows whether a write without a response was applied. */
  writeId: z.string(),
});

/** The record of a shard in the platform's store. */
export type ShardRecord = z.output<typeof recordSchema>;

/** A VM that votes on the take-over of a shard, with its peer address. */
export type ShardVoter = ShardRecord['voters'][number];

/** Maximum number of voters of one shard. */
export const maxVoters = 7;

/** Parses a shard record as it is stored. */
export const parseShardRecord = (text: string): Result<ShardRecord, string> =>
  parseValue(recordSchema, text);

/** Returns the shard of a workspace. */
export const getWorkspaceShard = (workspace: string): number =>
  createHash('sha256').update(workspace).digest().readUInt32BE(0) % shardCount;

/** Whether `count` is more than half of the voters. */
export const isMajority = (count: number, voters: readonly unknown[]): boolean =>
  count * 2 > voters.length;

/**
 * Returns the time until which a holder may grant: the end of its lease, or later while a
 * majority of the voters has promised not to consent to a take-over.
 *
 * @param leaseUntil - end of the lease, counted from when its last renewal was sent
 * @param promiseDeadlines - ends of the other voters' promises, counted from when they were requested
 *
 * @example
 * getGrantDeadline(5_000, [9_000, 9_500], ['a', 'b', 'c']); // 9_500: the holder and one promise are a majority
 */
export const getGrantDeadline = (
  leaseUntil: number,
  promiseDeadlines: readonly number[],
  voters: readonly unknown[],
): number => {
  const needed = Math.floor(voters.length / 2);
  // The holder's own vote counts, so `needed` others make a majority.
  if (needed === 0) return leaseUntil;
  const sorted = [...promiseDeadlines].sort((a, b) => b - a);
  const majorityDeadline = sorted[needed - 1] ?? Number.NEGATIVE_INFINITY;
  return Math.max(leaseUntil, Math.min(majorityDeadline, leaseUntil + maxExtensionMs));
};

/** What a VM knows about the holder and the voters of a shard that it wants to take over. */
export interface TakeoverView {
  /** Whether the holder's process is proven to have stopped. */
  readonly holderDead: boolean;
  /** Whether the holder's membership in the store has expired. */
  readonly holderExpired: boolean;
  /** Time at which this VM first saw that the membership had expired. */
  readonly expiredSince: number;
  /** Number of voters that consented, or that have been dead for longer than a promise is valid. */
  readonly consents: number;
  readonly voters: readonly unknown[];
}

/**
 * Whether a VM may write itself into a shard record as the new holder.
 *
 * A dead holder cannot grant. A holder whose lease has expired may continue with promises from
 * a majority of the voters, and a take-over needs consents from a majority: for both to happen,
 * some voter would have to promise and consent at the same time, which voters never do. If too
 * few voters are left to consent, the take-over waits for the maximum extension to end.
 *
 * @example
 * canTakeOver({ ...view, holderDead: true }, now); // true
 */
export const canTakeOver = (view: TakeoverView, now: number): boolean => {
  if (view.holderDead) return true;
  if (!view.holderExpired) return false;
  if (isMajority(view.consents, view.voters)) return true;
  return now >= view.expiredSince + maxExtensionMs + promiseDurationMs;
};
