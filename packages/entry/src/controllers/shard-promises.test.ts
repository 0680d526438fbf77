import test from 'ava';
import { makeHolder, allBucketsFull } from '@hemlocksill/rate/holder.js';
import { promiseDurationMs } from '@hemlocksill/rate/shard-record.js';
import { readClock } from '../clock.js';
import type { Membership } from './membership.js';
import { getLocalGrantDeadline, type LocalShard, type LocalShards } from './local-shard.js';
import { makeShardVotes } from './shard-votes.js';
import { makeShardPromises } from './shard-promises.js';

const voter = (incarnation: string) => ({ incarnation, host: '127.0.0.1', port: 1 });
const sender = { vm: 'vm-2', incarnation: 'b' };

const makeLocalShard = (leaseUntil: number): LocalShard => ({
  holder: makeHolder(0, 1, 0, allBucketsFull),
  record: {
    shard: 0,
    epoch: 1,
    vm: 'vm-1',
    incarnation: 'a',
    voters: [voter('a'), voter('b'), voter('c')],
    writeId: 'w',
  },
  storeRevision: 1,
  leaseId: 'lease-1',
  leaseUntil,
  promises: new Map(),
  pendingVoters: undefined,
});

const setUp = (shard: LocalShard) => {
  const localShards: LocalShards = new Map([[0, shard]]);
  const membership = { lease: () => undefined } as unknown as Membership;
  const promises = makeShardPromises({
    localShards,
    membership,
    peers: {} as never,
    shardVotes: makeShardVotes(),
    logEvent: () => {},
    dropShard: (n) => localShards.delete(n),
  });
  const consent = () => promises.methods['rate.consent']?.({ shard: 0, epoch: 2 }, sender);
  return { localShards, consent };
};

test('a holder that may still grant tokens does not consent to its replacement', async (t) => {
  const { localShards, consent } = setUp(makeLocalShard(readClock() + 60_000));
  t.false(await consent());
  t.true(localShards.has(0));
});

test('a holder that has consented drops its shard, as its own vote no longer counts', async (t) => {
  const { localShards, consent } = setUp(makeLocalShard(readClock() - 1));
  t.true(await consent());
  t.false(localShards.has(0));
});

test('a new lease does not cover a shard that was taken under an earlier one', (t) => {
  const shard = makeLocalShard(1_000);
  t.is(getLocalGrantDeadline(shard, { leaseId: 'lease-2', until: 9_000, ttlMs: 4_000 }), 1_000);
  t.is(getLocalGrantDeadline(shard, { leaseId: 'lease-1', until: 9_000, ttlMs: 4_000 }), 9_000);
});

test('while a write of new voters has an unknown outcome, both sets must have promised', (t) => {
  const until = 2_000 + promiseDurationMs;
  const shard = { ...makeLocalShard(1_000), promises: new Map([['b', until]]) };
  t.is(getLocalGrantDeadline(shard, undefined), until);
  const withPendingVoters = { ...shard, pendingVoters: [voter('a'), voter('x'), voter('y')] };
  t.is(getLocalGrantDeadline(withPendingVoters, undefined), 1_000);
});
