import { readClock } from '../clock.js';
import type { LocalShards } from './local-shard.js';
import type { RateDeposits } from './rate-deposits.js';
import type { ShardRanking } from './shard-ranking.js';

/** A workspace that was short lately gets no new deposit. */
const recallWindowMs = 3_000;

/** Keeps the deposits of all own shards up to date. */
export interface ShardDeposits {
  readonly updateAll: () => Promise<void>;
  /** A workspace is short of tokens; what was deposited comes back. */
  readonly recall: (shard: number, workspace: string) => void;
}

/** Makes the upkeep of deposits with the likely successors. */
export const makeShardDeposits = (
  localShards: LocalShards,
  deposits: RateDeposits,
  ranking: ShardRanking,
): ShardDeposits => {
  const recalledAt = new Map<string, number>();

  const updateShard = (shard: number): Promise<void> => {
    const localShard = localShards.get(shard);
    if (!localShard) return Promise.resolve();
    const recalledWorkspaces = new Set(recalledAt.keys());
    return deposits.update(localShard.holder, ranking.findSuccessor(shard), recalledWorkspaces);
  };

  return {
    updateAll: async () => {
      const cutoff = readClock() - recallWindowMs;
      recalledAt.forEach((at, workspace) => {
        if (at < cutoff) recalledAt.delete(workspace);
      });
      await Promise.all([...localShards.keys()].map(updateShard));
    },
    recall: (shard, workspace) => {
      recalledAt.set(workspace, readClock());
      const deposited = localShards.get(shard)?.holder.buckets.get(workspace)?.deposited ?? 0;
      if (deposited > 0) void updateShard(shard);
    },
  };
};
