import { rankByRendezvous } from '@hemlocksill/peer/rendezvous.js';
import { maxVoters, type ShardVoter } from '@hemlocksill/rate/shard-record.js';
import { readClock } from '../clock.js';
import type { Member } from '../member.js';
import type { Membership } from './membership.js';

/** A VM must have been known for so long before shards are handed to it. */
const minMemberAgeMs = 3_000;

/** Which VMs should hold a shard, succeed its holder and vote on it. */
export interface ShardRanking {
  /** This VM and those next in rank for the shard. */
  readonly listVoters: (shard: number) => ShardVoter[];
  /** The voters that a successor would choose. */
  readonly listVotersOf: (to: Member, shard: number) => ShardVoter[];
  /** The VM that should hold a shard, among all or only those that answer. */
  readonly findPreferred: (shard: number, responsiveOnly: boolean) => Member | undefined;
  /** The VM that would take a shard over if this one died. */
  readonly findSuccessor: (shard: number) => Member | undefined;
  /** A successor for the time of leaving, however new it is. */
  readonly findAnyOther: () => Member | undefined;
}

/** Ranks the members for shards. */
export const makeShardRanking = (
  membership: Membership,
  isLeaving: () => boolean,
): ShardRanking => {
  const firstSeenAt = new Map<string, number>();
  const selfId = (): string => membership.self().incarnation;

  const listVoters = (shard: number): ShardVoter[] => {
    const others = membership.others().map((m) => m.incarnation);
    const ranked = rankByRendezvous(others, `voters/${shard}`).slice(0, maxVoters - 1);
    const { incarnation, peers } = membership.self();
    const voters = ranked.flatMap((name) => membership.findMember(name) ?? []);
    return [
      { incarnation, ...peers },
      ...voters.map((m) => ({ incarnation: m.incarnation, ...m.peers })),
    ];
  };

  const isEligible = (member: Member, responsiveOnly: boolean): boolean => {
    if (member.state !== 'serving') return false;
    if (member.incarnation === selfId()) return !isLeaving();
    const now = readClock();
    const seenAt = firstSeenAt.get(member.incarnation) ?? now;
    firstSeenAt.set(member.incarnation, seenAt);
    if (now - seenAt < minMemberAgeMs) return false;
    return !(responsiveOnly && membership.isSuspect(member.incarnation));
  };

  const findTopRanked = (members: readonly Member[], shard: number): Member | undefined => {
    const names = members.map((m) => m.incarnation);
    const [first] = rankByRendezvous(names, `rate/${shard}`);
    return members.find((m) => m.incarnation === first);
  };

  const listResponsive = (): Member[] =>
    membership
      .others()
      .filter((m) => m.state === 'serving' && !membership.isSuspect(m.incarnation));

  return {
    listVoters,
    listVotersOf: (to, shard) => {
      const others = listVoters(shard).filter((v) => v.incarnation !== to.incarnation);
      return [{ incarnation: to.incarnation, ...to.peers }, ...others.slice(0, maxVoters - 1)];
    },
    findPreferred: (shard, responsiveOnly) => {
      const candidates = [membership.self(), ...membership.others()];
      return findTopRanked(
        candidates.filter((m) => isEligible(m, responsiveOnly)),
        shard,
      );
    },
    findSuccessor: (shard) => findTopRanked(listResponsive(), shard),
    findAnyOther: () => listResponsive()[0],
  };
};
