import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import { promiseDurationMs, type ShardVoter } from '@hemlocksill/rate/shard-record.js';
import { readClock } from '../clock.js';
import type { LogEvent } from '../events.js';
import type { Membership } from './membership.js';
import { getLocalGrantDeadline, type LocalShards } from './local-shard.js';
import type { ShardVotes } from './shard-votes.js';

const callTimeoutMs = 800;

const consentSchema = z.object({ shard: z.number(), epoch: z.number() });

/** Pairs of shard and epoch. */
const promiseSchema = z.object({ shards: z.array(z.tuple([z.number(), z.number()])) });

/** Promises of voters, which extend a holder beyond its lease while the store is unavailable. */
export interface ShardPromises {
  /** Requests promises for all local shards while the store is unavailable. */
  readonly requestPromises: () => Promise<void>;
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

/** Dependencies of the exchange of promises. */
export interface ShardPromisesOptions {
  readonly localShards: LocalShards;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly shardVotes: ShardVotes;
  readonly logEvent: LogEvent;
  readonly dropShard: (shard: number) => void;
}

/** Creates the component that exchanges promises and consents with peers. */
export const makeShardPromises = (opts: ShardPromisesOptions): ShardPromises => {
  const { localShards, membership, peers, shardVotes, logEvent } = opts;
  let isExtended = false;

  /**
   * Lists the other voters of all local shards, with their addresses from the records, since
   * their registrations may have expired.
   */
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
        localShards.get(shard)?.promises.set(incarnation, sentAt + promiseDurationMs),
      );
  };

  const consent = (shard: number, epoch: number): boolean => {
    const localShard = localShards.get(shard);
    const holdsEarlierEpoch = localShard !== undefined && localShard.record.epoch < epoch;
    // A holder does not consent to its replacement while it may still grant tokens.
    if (holdsEarlierEpoch && readClock() < getLocalGrantDeadline(localShard, membership.lease()))
      return false;
    const hasConsented = shardVotes.consent(shard, epoch, readClock());
    // After its consent, its own vote must not count towards extending its lease.
    if (hasConsented && holdsEarlierEpoch) opts.dropShard(shard);
    return hasConsented;
  };

  return {
    requestPromises: async () => {
      if (membership.isStoreReachable() || localShards.size === 0) {
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
        const promisedShards = parsed.data.shards.filter(([shard, epoch]) =>
          shardVotes.promise(shard, epoch, now),
        );
        return Promise.resolve(promisedShards.map(([shard]) => shard));
      },
    },
  };
};
