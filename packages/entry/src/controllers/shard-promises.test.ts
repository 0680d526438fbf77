import test from 'ava';
import { makeHolder, allBucketsFull } from '@hemlocksill/rate/holder.js';
import { promiseDurationMs } from '@hemlocksill/rate/shard-record.js';
import { readClock } from '../clock.js';
import type { Membership } from './membership.js';
import { getOwnDeadline, type OwnShard, type OwnShards } from './local-shard.js';
import { makeShardVotes } from './shard-votes.js';
import { makeShardPromises } from './shard-promises.js';

const voter = (incarnation: string) => ({ incarnation, host: '127.0.0.1', port: 1 });
const from = { vm: 'vm-2', incarnation: 'b' };

const makeOwn = (leaseUntil: number): OwnShard => ({
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
  otherVoters: undefined,
});

const open = (shard: OwnShard) => {
  const own: OwnShards = new Map([[0, shard]]);
  const membership = { lease: () => undefined } as unknown as Membership;
  const promises = makeShardPromises({
    own,
    membership,
    peers: {} as never,
    promiseBook: makeShardVotes(),
    logEvent: () => {},
    dropOwn: (n) => own.delete(n),
  });
  const consent = () => promises.methods['rate.consent']?.({ shard: 0, epoch: 2 }, from);
  return { own, consent };
};

test('a holder that may still grant does not consent to its replacement', async (t) => {
  const { own, consent } = open(makeOwn(readClock() + 60_000));
  t.false(await consent());
  t.true(own.has(0));
});

test('a holder that has consented gives its shard up, as its own vote is spent', async (t) => {
  const { own, consent } = open(makeOwn(readClock() - 1));
  t.true(await consent());
  t.false(own.has(0));
});

test('a new lease does not cover a shard that was taken under an earlier one', (t) => {
  const shard = makeOwn(1_000);
  t.is(getOwnDeadline(shard, { leaseId: 'lease-2', until: 9_000, ttlMs: 4_000 }), 1_000);
  t.is(getOwnDeadline(shard, { leaseId: 'lease-1', until: 9_000, ttlMs: 4_000 }), 9_000);
});

test('while the outcome of new voters is unknown, both sets must have promised', (t) => {
  const until = 2_000 + promiseDurationMs;
  const shard = { ...makeOwn(1_000), promises: new Map([['b', until]]) };
  t.is(getOwnDeadline(shard, undefined), until);
  const unsure = { ...shard, otherVoters: [voter('a'), voter('x'), voter('y')] };
  t.is(getOwnDeadline(unsure, undefined), 1_000);
});
