import { promiseDurationMs } from '@hemlocksill/rate/shard-record.js';

/** Votes of this VM: promises to shard holders, and consents to take-overs. */
export interface ShardVotes {
  /**
   * Promises not to consent to a later epoch for the duration of a promise; false if this VM has
   * already consented to a later epoch or promised for one.
   */
  readonly promise: (shard: number, epoch: number, now: number) => boolean;
  /** Consents to an epoch; false while a promise for an earlier one is in force. */
  readonly consent: (shard: number, epoch: number, now: number) => boolean;
}

/**
 * Creates an empty record of promises and consents.
 *
 * @example
 * const votes = makeShardVotes();
 * votes.promise(0, 1, 0); // true
 * votes.consent(0, 2, 100); // false: the promise is still in force
 */
export const makeShardVotes = (): ShardVotes => {
  const promises = new Map<number, { epoch: number; until: number }>();
  const consents = new Map<number, number>();
  return {
    promise: (shard, epoch, now) => {
      if ((consents.get(shard) ?? 0) > epoch) return false;
      const existing = promises.get(shard);
      if (existing && existing.epoch > epoch) return false;
      promises.set(shard, { epoch, until: now + promiseDurationMs });
      return true;
    },
    consent: (shard, epoch, now) => {
      const existing = promises.get(shard);
      if (existing && existing.epoch < epoch && existing.until > now) return false;
      consents.set(shard, Math.max(epoch, consents.get(shard) ?? 0));
      return true;
    },
  };
};
