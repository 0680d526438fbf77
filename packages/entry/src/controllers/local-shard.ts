import {
  getGrantDeadline,
  type ShardRecord,
  type ShardVoter,
} from '@hemlocksill/rate/shard-record.js';
import type { Holder } from '@hemlocksill/rate/holder.js';
import type { LocalLease } from './membership.js';

/** A rate shard that this VM holds. */
export interface LocalShard {
  readonly holder: Holder;
  readonly record: ShardRecord;
  readonly storeRevision: number;
  /** Lease of this VM under which the shard's record was written. */
  readonly leaseId: string;
  /** Last known end of the lease `leaseId`. */
  leaseUntil: number;
  /** Time at which each voter's promise ends, by the voter's incarnation. */
  readonly promises: Map<string, number>;
  /** Voters in a write whose outcome is unknown; until it is known, both sets must promise. */
  readonly pendingVoters: readonly ShardVoter[] | undefined;
}

/** The shards that this VM holds, by number. */
export type LocalShards = Map<number, LocalShard>;

const getDeadlineWith = (shard: LocalShard, voters: readonly ShardVoter[]): number => {
  const promiseEnds = voters.flatMap((v) => shard.promises.get(v.incarnation) ?? []);
  return getGrantDeadline(shard.leaseUntil, promiseEnds, voters);
};

/** Time until which this VM may grant tokens of a shard. */
export const getLocalGrantDeadline = (shard: LocalShard, lease: LocalLease | undefined): number => {
  // A new lease covers the shard only after its record has been rewritten.
  if (lease?.leaseId === shard.leaseId) shard.leaseUntil = lease.until;
  const deadline = getDeadlineWith(shard, shard.record.voters);
  return shard.pendingVoters
    ? Math.min(deadline, getDeadlineWith(shard, shard.pendingVoters))
    : deadline;
};
