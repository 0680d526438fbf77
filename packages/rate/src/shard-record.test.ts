import test from 'ava';
import fc from 'fast-check';
import {
  canTakeOver,
  getGrantDeadline,
  getWorkspaceShard,
  maxExtensionMs,
  parseShardRecord,
  promiseDurationMs,
  shardCount,
} from './shard-record.js';

const voters = ['a', 'b', 'c', 'd', 'e'];

test('a lease without enough promises lets the holder grant until the lease ends', (t) => {
  t.is(getGrantDeadline(5_000, [], voters), 5_000);
  t.is(getGrantDeadline(5_000, [9_000], voters), 5_000);
});

test('promises of a majority extend the grant deadline to the earliest one that is needed', (t) => {
  t.is(getGrantDeadline(5_000, [9_000, 8_000], voters), 8_000);
  t.is(getGrantDeadline(5_000, [9_000, 8_000, 9_500], voters), 9_000);
});

test('promises extend the grant deadline by no more than the maximum extension', (t) => {
  const farDeadline = 10 * maxExtensionMs;
  t.is(getGrantDeadline(0, [farDeadline, farDeadline, farDeadline], voters), maxExtensionMs);
});

test('a holder that may be alive is replaced only if its membership expired and a majority consents', (t) => {
  const view = { holderDead: false, holderExpired: false, expiredSince: 0, consents: 5, voters };
  t.false(canTakeOver(view, 1e12));
  t.false(canTakeOver({ ...view, holderExpired: true, consents: 2 }, maxExtensionMs));
  t.true(canTakeOver({ ...view, holderExpired: true, consents: 3 }, 0));
  t.true(canTakeOver({ ...view, holderDead: true, consents: 0 }, 0));
});

/** A voter that has consented makes no more promises, and it consents only after its promise has ended. */
interface Voter {
  promisedUntil: number;
  hasConsented: boolean;
}

test('two VMs never hold a shard at the same time, however promises and consents interleave', (t) => {
  const eventArbitrary = fc.record({
    waitMs: fc.integer({ min: 0, max: 3_000 }),
    kind: fc.constantFrom('promise', 'consent', 'expire'),
    voter: fc.integer({ min: 0, max: 4 }),
    isReplyLost: fc.boolean(),
    replyDelayMs: fc.integer({ min: 0, max: 3_000 }),
  });
  fc.assert(
    fc.property(fc.array(eventArbitrary, { maxLength: 80, size: 'max' }), (events) => {
      const voterStates: Voter[] = voters.map(() => ({ promisedUntil: 0, hasConsented: false }));
      const promises = new Map<number, number>();
      const consents = new Set<number>();
      const leaseUntil = 4_000;
      let now = 0;
      let isExpired = false;
      events.forEach(({ waitMs, kind, voter, isReplyLost, replyDelayMs }) => {
        const sentAt = now + waitMs;
        now = sentAt + replyDelayMs;
        const target = voterStates[voter];
        if (!target) return;
        if (kind === 'expire') isExpired = now > leaseUntil;
        if (kind === 'promise' && !target.hasConsented) {
          target.promisedUntil = now + promiseDurationMs;
          if (!isReplyLost) promises.set(voter, sentAt + promiseDurationMs);
        }
        if (kind === 'consent' && target.promisedUntil <= now) {
          target.hasConsented = true;
          if (!isReplyLost) consents.add(voter);
        }
        const otherDeadlines = [...promises]
          .filter(([v]) => v !== 0)
          .map(([, deadline]) => deadline);
        const canGrant = now < getGrantDeadline(leaseUntil, otherDeadlines, voters);
        const view = {
          holderDead: false,
          holderExpired: isExpired,
          expiredSince: leaseUntil,
          consents: [...consents].filter((v) => v !== 0).length,
          voters,
        };
        if (now < maxExtensionMs) t.false(canGrant && canTakeOver(view, now));
      });
    }),
    { numRuns: 3_000, seed: 42 },
  );
});

test('records are validated and workspaces are distributed over all shards', (t) => {
  t.true(parseShardRecord('{"shard":1}').isErr());
  t.true(parseShardRecord('nonsense').isErr());
  const usedShards = new Set(
    Array.from({ length: 6_000 }, (_, i) => getWorkspaceShard(`workspace-${i}`)),
  );
  t.is(usedShards.size, shardCount);
});
