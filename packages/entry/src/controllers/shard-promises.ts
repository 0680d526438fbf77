import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import { promiseDurationMs, type ShardVoter } from '@hemlocksill/rate/shard-record.js';
import { readClock } from '../clock.js';
import type { LogEvent } from '../events.js';
import type { Membership } from './membership.js';
import { getOwnDeadline, type OwnShards } from './local-shard.js';
import type { ShardVotes } from './shard-votes.js';

const callTimeoutMs = 800;

const consentSchema = z.object({ shard: z.number(), epoch: z.number() });

/** Shards and epochs. */
const promiseSchema = z.object({ shards: z.array(z.tuple([z.number(), z.number()])) });

/** Promises of voters, by which a holder outlasts its lease while the store is out. */
export interface ShardPromises {
  /** Asks the voters of all own shards, while the store is out. */
  readonly ask: () => Promise<void>;
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

/** What the exchange of promises needs. */
export interface ShardPromisesOptions {
  readonly own: OwnShards;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly promiseBook: ShardVotes;
  readonly logEvent: LogEvent;
  readonly dropOwn: (shard: number) => void;
}

/** Makes the exchange of promises and consents. */
export const makeShardPromises = (opts: ShardPromisesOptions): ShardPromises => {
  const { own, membership, peers, promiseBook, logEvent } = opts;
  let extended = false;

  /** The records know the voters' addresses, whatever has become of their memberships. */
  const listVoters = (): ShardVoter[] => {
    const voters = [...own.values()].flatMap((s) => [...s.record.voters, ...(s.otherVoters ?? [])]);
    const { incarnation } = membership.self();
    return [...new Map(voters.map((v) => [v.incarnation, v])).values()].filter(
      (v) => v.incarnation !== incarnation,
    );
  };

  const askVoter = async (voter: ShardVoter): Promise<void> => {
    const shards = [...own].map(([shard, s]) => [shard, s.record.epoch] as const);
    const sentAt = readClock();
    const answer = await peers.call(voter, 'rate.promise', { shards }, callTimeoutMs);
    const parsed = answer.isOk() ? z.array(z.number()).safeParse(answer.value.value) : undefined;
    if (answer.isErr() || !parsed?.success) return;
    const { incarnation } = answer.value.from;
    shards
      .filter(([shard, epoch]) => own.get(shard)?.record.epoch === epoch)
      .filter(([shard]) => parsed.data.includes(shard))
      .forEach(([shard]) => own.get(shard)?.promises.set(incarnation, sentAt + promiseDurationMs));
  };

  const consent = (shard: number, epoch: number): boolean => {
    const mine = own.get(shard);
    const isMine = mine !== undefined && mine.record.epoch < epoch;
    // A holder does not consent to its own replacement while it may still grant.
    if (isMine && readClock() < getOwnDeadline(mine, membership.lease())) return false;
    const given = promiseBook.consent(shard, epoch, readClock());
    // Nor may it count its own vote for its right once it has consented.
    if (given && isMine) opts.dropOwn(shard);
    return given;
  };

  return {
    ask: async () => {
      if (membership.storeReachable() || own.size === 0) {
        extended = false;
        return;
      }
      await Promise.all(listVoters().map(askVoter));
      if (!extended) logEvent(1304, { shards: own.size });
      extended = true;
    },
    methods: {
      'rate.consent': (params) => {
        const parsed = consentSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('shard and epoch expected');
        return Promise.resolve(consent(parsed.data.shard, parsed.data.epoch));
      },
      'rate.promise': (params) => {
        const parsed = promiseSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('shards expected');
        const now = readClock();
        const given = parsed.data.shards.filter(([shard, epoch]) =>
          promiseBook.promise(shard, epoch, now),
        );
        return Promise.resolve(given.map(([shard]) => shard));
      },
    },
  };
};
