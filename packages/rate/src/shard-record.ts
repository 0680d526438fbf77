import { createHash } from 'node:crypto';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { parseValue } from '@hemlocksill/store/parse-value.js';

/** Shards that workspaces are spread over; each has one holder. */
export const shardCount = 32;

/** Longest time a holder goes on after its lease while the others promise to wait. */
export const longestExtensionMs = 3_600_000;

/** How long one promise not to take a shard over holds. */
export const promiseDurationMs = 4_000;

const recordSchema = z.strictObject({
  shard: z.number().int().min(0),
  epoch: z.number().int().min(1),
  /** VM and incarnation of the holder. */
  vm: z.string(),
  incarnation: z.string(),
  /** VMs whose consent a take-over needs, the holder among them. */
  voters: z.array(
    z.strictObject({ incarnation: z.string(), host: z.string(), port: z.number().int() }),
  ),
  /** Random id of the write, by which a lost answer is settled. */
  writeId: z.string(),
});

/** The record of a shard in the platform's store. */
export type ShardRecord = z.output<typeof recordSchema>;

/** A VM that takes part in the decision on a shard, with its address for peers. */
export type ShardVoter = ShardRecord['voters'][number];

/** Most voters of one shard. */
export const maxVoters = 7;

/** Parses a shard record. */
export const parseShardRecord = (text: string): Result<ShardRecord, string> =>
  parseValue(recordSchema, text);

/** Shard of a workspace. */
export const getWorkspaceShard = (workspace: string): number =>
  createHash('sha256').update(workspace).digest().readUInt32BE(0) % shardCount;

/** Whether `count` of the voters are more than half. */
export const isMajority = (count: number, voters: readonly unknown[]): boolean =>
  count * 2 > voters.length;

/**
 * Time until which a holder may grant: the end of its lease, or later while most voters
 * have promised not to consent to a take-over.
 *
 * @param leaseUntil - end of the lease, counted from when its last renewal was sent
 * @param promisesUntil - ends of the voters' promises, counted from when they were asked
 *
 * @example
 * getRightDeadline(5_000, [9_000, 9_500], ['a', 'b', 'c']); // 9_500: a holds it, one more is most
 */
export const getGrantDeadline = (
  leaseUntil: number,
  promisesUntil: readonly number[],
  voters: readonly unknown[],
): number => {
  const needed = Math.floor(voters.length / 2);
  // The holder's own vote counts; `needed` others make more than half.
  if (needed === 0) return leaseUntil;
  const sorted = [...promisesUntil].sort((a, b) => b - a);
  const promised = sorted[needed - 1] ?? Number.NEGATIVE_INFINITY;
  return Math.max(leaseUntil, Math.min(promised, leaseUntil + longestExtensionMs));
};

/** What a VM that would take a shard over knows. */
export interface TakeoverView {
  /** Whether the holder's process is proven to run no more. */
  readonly holderDead: boolean;
  /** Whether the store has dropped the holder's membership. */
  readonly holderExpired: boolean;
  /** When this VM first saw that it had. */
  readonly expiredSince: number;
  /** Number of voters that consented, or have been dead for longer than a promise holds. */
  readonly consents: number;
  readonly voters: readonly unknown[];
}

/**
 * Whether a VM may write itself into a shard record.
 *
 * A dead holder cannot grant. One whose lease has lapsed may go on with promises of more
 * than half of the voters, and a take-over needs consents of more than half, so that one
 * voter would have to do both. When too few voters are left to consent, the longest
 * extension is waited out.
 *
 * @example
 * mayTakeOver({ ...view, holderDead: true }, now); // true
 */
export const canTakeOver = (view: TakeoverView, now: number): boolean => {
  if (view.holderDead) return true;
  if (!view.holderExpired) return false;
  if (isMajority(view.consents, view.voters)) return true;
  return now >= view.expiredSince + longestExtensionMs + promiseDurationMs;
};
