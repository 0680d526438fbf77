import test from 'ava';
import fc from 'fast-check';
import {
  getGrantDeadline,
  longestExtensionMs,
  canTakeOver,
  promiseDurationMs,
  parseShardRecord,
  shardCount,
  getWorkspaceShard,
} from './shard-record.js';

const voters = ['a', 'b', 'c', 'd', 'e'];

test('a lease alone gives the right until its end', (t) => {
  t.is(getGrantDeadline(5_000, [], voters), 5_000);
  t.is(getGrantDeadline(5_000, [9_000], voters), 5_000);
});

test('promises of more than half extend the right until the earliest that is needed', (t) => {
  t.is(getGrantDeadline(5_000, [9_000, 8_000], voters), 8_000);
  t.is(getGrantDeadline(5_000, [9_000, 8_000, 9_500], voters), 9_000);
});

test('no promise extends the right for ever', (t) => {
  const late = 10 * longestExtensionMs;
  t.is(getGrantDeadline(0, [late, late, late], voters), longestExtensionMs);
});

test('a holder that is alive or cannot be told apart is not replaced', (t) => {
  const view = { holderDead: false, holderLapsed: false, lapsedSince: 0, consents: 5, voters };
  t.false(canTakeOver(view, 1e12));
  t.false(canTakeOver({ ...view, holderExpired: true, consents: 2 }, longestExtensionMs));
  t.true(canTakeOver({ ...view, holderExpired: true, consents: 3 }, 0));
  t.true(canTakeOver({ ...view, holderDead: true, consents: 0 }, 0));
});

/** A voter promises or consents, never both at a time. */
interface Voter {
  promisedUntil: number;
  consented: boolean;
}

test('two VMs never hold a shard at once, however promises and consents interleave', (t) => {
  const event = fc.record({
    waitMs: fc.integer({ min: 0, max: 3_000 }),
    kind: fc.constantFrom('promise', 'consent', 'lapse'),
    voter: fc.integer({ min: 0, max: 4 }),
    answerLost: fc.boolean(),
    answerAfterMs: fc.integer({ min: 0, max: 3_000 }),
  });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 80, size: 'max' }), (events) => {
      const state: Voter[] = voters.map(() => ({ promisedUntil: 0, consented: false }));
      const promises = new Map<number, number>();
      const consents = new Set<number>();
      const leaseUntil = 4_000;
      let now = 0;
      let lapsed = false;
      events.forEach(({ waitMs, kind, voter, answerLost, answerAfterMs }) => {
        const sentAt = now + waitMs;
        now = sentAt + answerAfterMs;
        const asked = state[voter];
        if (!asked) return;
        if (kind === 'lapse') lapsed = now > leaseUntil;
        if (kind === 'promise' && !asked.consented) {
          asked.promisedUntil = now + promiseDurationMs;
          if (!answerLost) promises.set(voter, sentAt + promiseDurationMs);
        }
        if (kind === 'consent' && asked.promisedUntil <= now) {
          asked.consented = true;
          if (!answerLost) consents.add(voter);
        }
        const others = [...promises].filter(([v]) => v !== 0).map(([, until]) => until);
        const holds = now < getGrantDeadline(leaseUntil, others, voters);
        const view = {
          holderDead: false,
          holderLapsed: lapsed,
          lapsedSince: leaseUntil,
          consents: [...consents].filter((v) => v !== 0).length,
          voters,
        };
        if (now < longestExtensionMs) t.false(holds && canTakeOver(view, now));
      });
    }),
    { numRuns: 3_000, seed: 42 },
  );
});

test('records are checked and workspaces spread over all shards', (t) => {
  t.true(parseShardRecord('{"shard":1}').isErr());
  t.true(parseShardRecord('nonsense').isErr());
  const seen = new Set(
    Array.from({ length: 6_000 }, (_, i) => getWorkspaceShard(`workspace-${i}`)),
  );
  t.is(seen.size, shardCount);
});
