import { promiseDurationMs } from '@hemlocksill/rate/shard-record.js';

/** What this VM has promised to holders of shards and consented to. */
export interface ShardVotes {
  /** Promises not to consent to a later epoch for a while; false when it already has. */
  readonly promise: (shard: number, epoch: number, now: number) => boolean;
  /** Consents to an epoch, unless a promise to an earlier one still holds. */
  readonly consent: (shard: number, epoch: number, now: number) => boolean;
}

/**
 * Makes an empty book of promises and consents.
 *
 * @example
 * const book = makePromiseBook();
 * book.promise(0, 1, 0); // true
 * book.consent(0, 2, 100); // false: the promise still holds
 */
export const makeShardVotes = (): ShardVotes => {
  const promises = new Map<number, { epoch: number; until: number }>();
  const consents = new Map<number, number>();
  return {
    promise: (shard, epoch, now) => {
      if ((consents.get(shard) ?? 0) > epoch) return false;
      const known = promises.get(shard);
      if (known && known.epoch > epoch) return false;
      promises.set(shard, { epoch, until: now + promiseDurationMs });
      return true;
    },
    consent: (shard, epoch, now) => {
      const known = promises.get(shard);
      if (known && known.epoch < epoch && known.until > now) return false;
      consents.set(shard, Math.max(epoch, consents.get(shard) ?? 0));
      return true;
    },
  };
};
