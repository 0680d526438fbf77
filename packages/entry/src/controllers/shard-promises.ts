import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import { promiseHoldsMs, type ShardVoter } from '@hemlocksill/rate/shard-record.js';
import { readClock } from '../clock.js';
import type { LogEvent } from '../events.js';
import type { Membership } from './membership.js';
import { getGrantDeadline, type LocalShards } from './local-shard.js';
import type { PromiseBook } from './promise-book.js';

const callTimeoutMs = 800;

const consentSchema = z.object({ shard: z.number(), epoch: z.number() });

/** Shards and epochs. */
const promiseSchema = z.object({ shards: z.array(z.tuple([z.number(), z.number()])) });

/** Promises of voters, by which a holder outlasts its lease while the store is out. */
export interface ShardPromises {
  /** Asks the voters of all own shards, while the store is out. */
  readonly requestPromises: () => Promise<void>;
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

/** What the exchange of promises needs. */
export interface ShardPromisesOptions {
  readonly localShards: LocalShards;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly promiseBook: PromiseBook;
  readonly logEvent: LogEvent;
  readonly dropShard: (shard: number) => void;
}

/** Makes the exchange of promises and consents. */
export const makeShardPromises = (opts: ShardPromisesOptions): ShardPromises => {
  const { localShards, membership, peers, promiseBook, logEvent } = opts;
  let isExtended = false;

  /** The records know the voters' addresses, whatever has become of their memberships. */
  const listVoters = (): ShardVoter[] => {
    const voters = [...localShards.values()].flatMap((s) => [
      ...s.record.voters,
      ...(s.pendingVoters ?? []),
    ]);
    const { incarnation } = membership.self();
    return [...new Map(voters.map((v) => [v.incarnation, v])).values()].filter(
      (v) => v.incarnation !== incarnation,
    );
  };

  const requestPromise = async (voter: ShardVoter): Promise<void> => {
    const shards = [...localShards].map(([shard, s]) => [shard, s.record.epoch] as const);
    const sentAt = readClock();
    const reply = await peers.call(voter, 'rate.promise', { shards }, callTimeoutMs);
    const parsed = reply.isOk() ? z.array(z.number()).safeParse(reply.value.value) : undefined;
    if (reply.isErr() || !parsed?.success) return;
    const { incarnation } = reply.value.from;
    shards
      .filter(([shard, epoch]) => localShards.get(shard)?.record.epoch === epoch)
      .filter(([shard]) => parsed.data.includes(shard))
      .forEach(([shard]) =>
        localShards.get(shard)?.promises.set(incarnation, sentAt + promiseHoldsMs),
      );
  };

  const consent = (shard: number, epoch: number): boolean => {
    const localShard = localShards.get(shard);
    const holdsEarlierEpoch = localShard !== undefined && localShard.record.epoch < epoch;
    // A holder does not consent to its own replacement while it may still grant.
    if (holdsEarlierEpoch && readClock() < getGrantDeadline(localShard, membership.lease()))
      return false;
    const isConsented = promiseBook.consent(shard, epoch, readClock());
    // Nor may it count its own vote for its right once it has consented.
    if (isConsented && holdsEarlierEpoch) opts.dropShard(shard);
    return isConsented;
  };

  return {
    requestPromises: async () => {
      if (membership.storeReachable() || localShards.size === 0) {
        isExtended = false;
        return;
      }
      await Promise.all(listVoters().map(requestPromise));
      if (!isExtended) logEvent(1304, { shards: localShards.size });
      isExtended = true;
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
        const promised = parsed.data.shards.filter(([shard, epoch]) =>
          promiseBook.promise(shard, epoch, now),
        );
        return Promise.resolve(promised.map(([shard]) => shard));
      },
    },
  };
};
