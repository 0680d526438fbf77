import { rankByRendezvous } from '@hemlocksill/peer/rendezvous.js';
import { maxVoters, type ShardVoter } from '@hemlocksill/rate/shard-record.js';
import { readClock } from '../clock.js';
import type { Member } from '../member.js';
import type { Membership } from './membership.js';

/** Minimum time for which a VM must be known before shards are handed over to it. */
const minMemberAgeMs = 3_000;

/** Selects the VMs that hold a shard, succeed its holder, and vote on its take-over. */
export interface ShardRanking {
  /** This VM and the highest-ranked other VMs for the shard. */
  readonly listVoters: (shard: number) => ShardVoter[];
  /** The voters of a shard that is handed over to `successor`. */
  readonly listVotersOf: (successor: Member, shard: number) => ShardVoter[];
  /** The VM that should hold a shard; `responsiveOnly` excludes suspected VMs. */
  readonly findPreferred: (shard: number, responsiveOnly: boolean) => Member | undefined;
  /** The VM that would take over a shard if this VM failed. */
  readonly findSuccessor: (shard: number) => Member | undefined;
  /** Any responsive VM, however new; the last choice for a hand-over when this VM leaves. */
  readonly findAnyOther: () => Member | undefined;
}

/** Creates a ranking of the members for each shard, by rendezvous hashing. */
export const makeShardRanking = (
  membership: Membership,
  isLeaving: () => boolean,
): ShardRanking => {
  const firstSeenAt = new Map<string, number>();
  const selfId = (): string => membership.self().incarnation;

  const listVoters = (shard: number): ShardVoter[] => {
    const otherIncarnations = membership.others().map((m) => m.incarnation);
    const ranked = rankByRendezvous(otherIncarnations, `voters/${shard}`).slice(0, maxVoters - 1);
    const { incarnation, peers } = membership.self();
    const otherVoters = ranked.flatMap((id) => membership.findMember(id) ?? []);
    return [
      { incarnation, ...peers },
      ...otherVoters.map((m) => ({ incarnation: m.incarnation, ...m.peers })),
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
    const incarnations = members.map((m) => m.incarnation);
    const [first] = rankByRendezvous(incarnations, `rate/${shard}`);
    return members.find((m) => m.incarnation === first);
  };

  const listResponsive = (): Member[] =>
    membership
      .others()
      .filter((m) => m.state === 'serving' && !membership.isSuspect(m.incarnation));

  return {
    listVoters,
    listVotersOf: (successor, shard) => {
      const otherVoters = listVoters(shard).filter((v) => v.incarnation !== successor.incarnation);
      return [
        { incarnation: successor.incarnation, ...successor.peers },
        ...otherVoters.slice(0, maxVoters - 1),
      ];
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
