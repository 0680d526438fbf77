import { readClock } from '../clock.js';
import type { LocalShards } from './local-shard.js';
import type { RateDeposits } from './rate-deposits.js';
import type { ShardRanking } from './shard-ranking.js';

/** Time after a recall in which no tokens of the workspace are deposited. */
const recallWindowMs = 3_000;

/** Keeps the deposits of all local shards up to date. */
export interface ShardDeposits {
  readonly updateAll: () => Promise<void>;
  /** Takes back the deposit of a workspace that is short of tokens. */
  readonly recall: (shard: number, workspace: string) => void;
}

/** Creates the component that updates the deposits at the likely successors. */
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
      recalledAt.forEach((recallTime, workspace) => {
        if (recallTime < cutoff) recalledAt.delete(workspace);
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
