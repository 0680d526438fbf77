import { readClock } from '../clock.js';
import type { OwnShards } from './local-shard.js';
import type { RateDeposits } from './rate-deposits.js';
import type { ShardRanking } from './shard-ranking.js';

/** A workspace that was short lately gets no new deposit. */
const recallHoldsMs = 3_000;

/** Keeps the deposits of all own shards up to date. */
export interface ShardDeposits {
  readonly updateAll: () => Promise<void>;
  /** A workspace is short of tokens; what was deposited comes back. */
  readonly recall: (shard: number, workspace: string) => void;
}

/** Makes the upkeep of deposits with the likely successors. */
export const makeShardDeposits = (
  own: OwnShards,
  deposits: RateDeposits,
  ranking: ShardRanking,
): ShardDeposits => {
  const recalled = new Map<string, number>();

  const update = (shard: number): Promise<void> => {
    const mine = own.get(shard);
    if (!mine) return Promise.resolve();
    const wanted = new Set(recalled.keys());
    return deposits.update(mine.holder, ranking.findSuccessor(shard), wanted);
  };

  return {
    updateAll: async () => {
      const recent = readClock() - recallHoldsMs;
      recalled.forEach((at, workspace) => {
        if (at < recent) recalled.delete(workspace);
      });
      await Promise.all([...own.keys()].map(update));
    },
    recall: (shard, workspace) => {
      recalled.set(workspace, readClock());
      const deposited = own.get(shard)?.holder.buckets.get(workspace)?.deposited ?? 0;
      if (deposited > 0) void update(shard);
    },
  };
};
