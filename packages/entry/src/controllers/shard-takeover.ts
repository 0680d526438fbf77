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

/** Time after an outage in which VMs whose leases have expired register again. */
const storeSettleMs = 3_000;

/** Decides whether this VM may take over a shard from its holder. */
export interface ShardTakeover {
  readonly isTakeoverAllowed: (record: ShardRecord) => Promise<boolean>;
  /** Whether the store has been reachable long enough to trust that an entry is missing. */
  readonly isStoreStable: () => boolean;
}

/** Creates the component that decides on take-overs, by probes and consents of peers. */
export const makeShardTakeover = (
  membership: Membership,
  peers: PeerClient,
  shardVotes: ShardVotes,
): ShardTakeover => {
  const expiredSince = new Map<number, { epoch: number; since: number }>();
  const deadSince = new Map<string, number>();
  const selfId = (): string => membership.self().incarnation;

  /** Whether a process is proven to have ended. */
  const hasProcessEnded = async (voter: ShardVoter): Promise<boolean> => {
    const reply = await peers.call(voter, 'gossip.sync', {}, callTimeoutMs);
    if (reply.isErr()) return reply.error === 'refused';
    return reply.value.from.incarnation !== voter.incarnation;
  };

  const requestConsent = async (
    voter: ShardVoter,
    shard: number,
    epoch: number,
  ): Promise<boolean> => {
    if (voter.incarnation === selfId()) return shardVotes.consent(shard, epoch, readClock());
    const reply = await peers.call(voter, 'rate.consent', { shard, epoch }, callTimeoutMs);
    const isVoterDead = reply.isErr()
      ? reply.error === 'refused'
      : reply.value.from.incarnation !== voter.incarnation;
    if (!isVoterDead) {
      deadSince.delete(voter.incarnation);
      return reply.isOk() && reply.value.value === true;
    }
    // A promise that it made just before it ended may still be in force.
    const since = deadSince.get(voter.incarnation) ?? readClock();
    deadSince.set(voter.incarnation, since);
    return readClock() - since > promiseDurationMs;
  };

  const isStoreStable = (): boolean =>
    readClock() - membership.storeReachableSince() >= storeSettleMs;

  /** Checked after the record was read, so that a holder that has registered again is noticed. */
  const hasRegistrationExpired = async (incarnation: string): Promise<boolean> =>
    !membership.isListed(incarnation) &&
    isStoreStable() &&
    (await membership.isRegistered(incarnation)) === false;

  const recordExpiry = (record: ShardRecord, isExpired: boolean): number => {
    const existing = expiredSince.get(record.shard);
    if (isExpired && existing?.epoch === record.epoch) return existing.since;
    const since = readClock();
    expiredSince.set(record.shard, { epoch: record.epoch, since });
    return since;
  };

  return {
    isStoreStable,
    isTakeoverAllowed: async (record) => {
      const { shard, voters, incarnation } = record;
      if (incarnation === selfId()) return true;
      const isExpired = await hasRegistrationExpired(incarnation);
      const holder = voters.find((v) => v.incarnation === incarnation);
      const isUnresponsive = isExpired || membership.isSuspect(incarnation);
      const hasHolderEnded =
        isUnresponsive && holder !== undefined && (await hasProcessEnded(holder));
      const consentVoters = isExpired && !hasHolderEnded ? voters : [];
      const consents = await Promise.all(
        consentVoters.map((v) => requestConsent(v, shard, record.epoch + 1)),
      );
      const view = {
        holderDead: hasHolderEnded,
        holderExpired: isExpired,
        expiredSince: recordExpiry(record, isExpired),
        consents: consents.filter(Boolean).length,
        voters,
      };
      return canTakeOver(view, readClock());
    },
  };
};
