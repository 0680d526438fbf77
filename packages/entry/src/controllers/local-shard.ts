import {
  getGrantDeadline,
  type ShardRecord,
  type ShardVoter,
} from '@hemlocksill/rate/shard-record.js';
import type { Holder } from '@hemlocksill/rate/holder.js';
import type { OwnLease } from './membership.js';

/** A rate shard that this VM holds. */
export interface OwnShard {
  readonly holder: Holder;
  readonly record: ShardRecord;
  readonly storeRevision: number;
  readonly leaseId: string;
  /** End of the lease it was taken under, as last known. */
  leaseUntil: number;
  /** Ends of promises by voter. */
  readonly promises: Map<string, number>;
  /** Voters of a write whose outcome is not known; both sets must then promise. */
  readonly otherVoters: readonly ShardVoter[] | undefined;
}

/** The shards that this VM holds, by number. */
export type OwnShards = Map<number, OwnShard>;

const getDeadlineWith = (shard: OwnShard, voters: readonly ShardVoter[]): number => {
  const promised = voters.flatMap((v) => shard.promises.get(v.incarnation) ?? []);
  return getGrantDeadline(shard.leaseUntil, promised, voters);
};

/** Time until which this VM may grant out of a shard. */
export const getOwnDeadline = (shard: OwnShard, lease: OwnLease | undefined): number => {
  // A newer lease covers the shard only once its record has been written again.
  if (lease?.leaseId === shard.leaseId) shard.leaseUntil = lease.until;
  const deadline = getDeadlineWith(shard, shard.record.voters);
  return shard.otherVoters
    ? Math.min(deadline, getDeadlineWith(shard, shard.otherVoters))
    : deadline;
};
