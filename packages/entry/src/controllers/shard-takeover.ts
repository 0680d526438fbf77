import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import {
  canTakeOver,
  promiseDurationMs,
  type ShardRecord,
  type ShardVoter,
} from '@hemlocksill/rate/shard-record.js';
import { readClock } from '../clock.js';
import type { Membership } from './membership.js';
import type { ShardVotes } from './shard-votes.js';

const callTimeoutMs = 800;

/** Time in which the owners of lapsed leases come back after an outage. */
const settleMs = 3_000;

/** Decides whether this VM may take a shard over from its holder. */
export interface ShardTakeover {
  readonly isDue: (record: ShardRecord) => Promise<boolean>;
  /** Whether the store has answered for long enough to believe what it lacks. */
  readonly isStoreSettled: () => boolean;
}

/** Makes the decision on take-overs, with probes and consents of peers. */
export const makeShardTakeover = (
  membership: Membership,
  peers: PeerClient,
  promiseBook: ShardVotes,
): ShardTakeover => {
  const expiredSince = new Map<number, { epoch: number; since: number }>();
  const deadSince = new Map<string, number>();
  const selfId = (): string => membership.self().incarnation;

  /** Whether a process is proven to run no more. */
  const isDead = async (voter: ShardVoter): Promise<boolean> => {
    const answer = await peers.call(voter, 'gossip.sync', {}, callTimeoutMs);
    if (answer.isErr()) return answer.error === 'refused';
    return answer.value.from.incarnation !== voter.incarnation;
  };

  const askConsent = async (voter: ShardVoter, shard: number, epoch: number): Promise<boolean> => {
    if (voter.incarnation === selfId()) return promiseBook.consent(shard, epoch, readClock());
    const answer = await peers.call(voter, 'rate.consent', { shard, epoch }, callTimeoutMs);
    const dead = answer.isErr()
      ? answer.error === 'refused'
      : answer.value.from.incarnation !== voter.incarnation;
    if (!dead) {
      deadSince.delete(voter.incarnation);
      return answer.isOk() && answer.value.value === true;
    }
    // A promise that it gave just before its death may still hold.
    const since = deadSince.get(voter.incarnation) ?? readClock();
    deadSince.set(voter.incarnation, since);
    return readClock() - since > promiseDurationMs;
  };

  const isStoreSettled = (): boolean => readClock() - membership.storeReachableSince() >= settleMs;

  /** Asked after the record was read, so that a holder that has come back is not overlooked. */
  const hasLapsed = async (incarnation: string): Promise<boolean> =>
    !membership.isListed(incarnation) &&
    isStoreSettled() &&
    (await membership.isRegistered(incarnation)) === false;

  const noteLapse = (record: ShardRecord, lapsed: boolean): number => {
    const known = expiredSince.get(record.shard);
    if (lapsed && known?.epoch === record.epoch) return known.since;
    const since = readClock();
    expiredSince.set(record.shard, { epoch: record.epoch, since });
    return since;
  };

  return {
    isStoreSettled,
    isDue: async (record) => {
      const { shard, voters, incarnation } = record;
      if (incarnation === selfId()) return true;
      const lapsed = await hasLapsed(incarnation);
      const holder = voters.find((v) => v.incarnation === incarnation);
      const silent = lapsed || membership.isSuspect(incarnation);
      const holderDead = silent && holder !== undefined && (await isDead(holder));
      const asked = lapsed && !holderDead ? voters : [];
      const consents = await Promise.all(asked.map((v) => askConsent(v, shard, record.epoch + 1)));
      const view = {
        holderDead,
        holderExpired: lapsed,
        expiredSince: noteLapse(record, lapsed),
        consents: consents.filter(Boolean).length,
        voters,
      };
      return canTakeOver(view, readClock());
    },
  };
};
