import test from 'ava';
import fc from 'fast-check';
import {
  changeLimit,
  fillBucket,
  grantLifetimeMs,
  makeBucket,
  returnTokens,
  takeTokens,
  type Bucket,
} from './bucket.js';

const limit = { rate: 100, burst: 1_000 };

interface Spend {
  readonly at: number;
  readonly tokens: number;
}

/** Most tokens above rate·T + burst in any window. */
const findOverspend = (spends: readonly Spend[], rate: number, burst: number): number => {
  let worst = 0;
  spends.forEach((first, i) => {
    let sum = 0;
    spends.slice(i).forEach((s) => {
      sum += s.tokens;
      worst = Math.max(worst, sum - (rate * (s.at - first.at)) / 1_000 - burst);
    });
  });
  return worst;
};

const step = fc.record({
  // Long waits fill the bucket while tokens are still out, which is when a refund is too much.
  waitMs: fc.oneof(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 4_000, max: 12_000 })),
  take: fc.oneof(fc.integer({ min: 1, max: 1_000 }), fc.integer({ min: 400, max: 600 })),
  /** Share of the taken tokens that are spent in the end. */
  used: fc.integer({ min: 0, max: 100 }),
  spentAfterMs: fc.integer({ min: 0, max: grantLifetimeMs }),
  settledAfterMs: fc.integer({ min: 0, max: 20_000 }),
  lost: fc.boolean(),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

interface Return {
  readonly at: number;
  readonly slot: number;
  readonly settled: number;
  readonly unused: number;
}

/** Returns as a plain refund would, without regard to the time that has passed. */
const returnPlainly = (bucket: Bucket, back: Return, now: number): void => {
  fillBucket(bucket, now);
  bucket.level = Math.min(bucket.limit.burst, bucket.level + back.unused);
};

/** Runs steps against a bucket and returns what was spent, in order of time. */
const runSteps = (
  steps: readonly Step[],
  giveBack: (bucket: Bucket, back: Return, now: number) => void,
): Spend[] => {
  const bucket = makeBucket(limit, limit.burst, 0);
  const spends: Spend[] = [];
  const returns: Return[] = [];
  let now = 0;
  steps.forEach((s) => {
    now += s.waitMs;
    returns.sort((a, b) => a.at - b.at);
    while (returns[0] && returns[0].at <= now) {
      const [back] = returns.splice(0, 1);
      if (back) giveBack(bucket, back, back.at);
    }
    const taken = takeTokens(bucket, s.take, now);
    if (!taken) return;
    const used = Math.floor((s.take * s.used) / 100);
    if (used > 0) spends.push({ at: now + s.spentAfterMs, tokens: used });
    if (s.lost) return;
    returns.push({
      at: now + s.spentAfterMs + s.settledAfterMs,
      slot: taken.slot,
      settled: s.take,
      unused: s.take - used,
    });
  });
  return spends.sort((a, b) => a.at - b.at);
};

test('no window holds more than rate·T + burst, whatever is granted late, returned or lost', (t) => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60, size: 'max' }), (steps) => {
      const over = findOverspend(runSteps(steps, returnTokens), limit.rate, limit.burst);
      t.true(over < 0.01, `overspend ${over}`);
    }),
    { numRuns: 2_000, seed: 41 },
  );
});

test('a plain refund overspends, so the property has teeth', (t) => {
  const result = fc.check(
    fc.property(fc.array(step, { maxLength: 60, size: 'max' }), (steps) => {
      const over = findOverspend(runSteps(steps, returnPlainly), limit.rate, limit.burst);
      return over < 0.01;
    }),
    { numRuns: 2_000, seed: 41 },
  );
  t.true(result.failed);
});

test('unused tokens come back whole while the bucket is low', (t) => {
  const bucket = makeBucket(limit, limit.burst, 0);
  const taken = takeTokens(bucket, 900, 0);
  returnTokens(bucket, { slot: taken?.slot ?? 0, settled: 900, unused: 800 }, 2_000);
  // Filled from 600 ms on, when the grant can be spent no more; 140 tokens of the 900 are
  // replaced by then, so 800 come back as 800 · 760/900.
  t.is(Math.round(bucket.level), 100 + 140 + Math.round((800 * 760) / 900));
});

test('a lower limit cuts the level at once', (t) => {
  const bucket = makeBucket(limit, limit.burst, 0);
  changeLimit(bucket, { rate: 10, burst: 50 }, 0);
  t.is(bucket.level, 50);
  t.is(takeTokens(bucket, 51, 0), undefined);
});

test('a return that claims more than was settled is ignored', (t) => {
  const bucket = makeBucket(limit, 0, 0);
  returnTokens(bucket, { slot: 0, settled: 1, unused: 500 }, 0);
  t.is(bucket.level, 0);
});
