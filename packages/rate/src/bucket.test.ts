import test from 'ava';
import fc from 'fast-check';
import {
  changeLimit,
  grantLifetimeMs,
  makeBucket,
  refillBucket,
  returnTokens,
  takeTokens,
  type Bucket,
} from './bucket.js';

const limit = { rate: 100, burst: 1_000 };

interface Spend {
  readonly spentAt: number;
  readonly tokens: number;
}

/** Returns the maximum number of tokens above rate·T + burst in any window. */
const findOverspend = (spends: readonly Spend[], rate: number, burst: number): number => {
  let maxOverspend = 0;
  spends.forEach((first, i) => {
    let sum = 0;
    spends.slice(i).forEach((spend) => {
      sum += spend.tokens;
      maxOverspend = Math.max(
        maxOverspend,
        sum - (rate * (spend.spentAt - first.spentAt)) / 1_000 - burst,
      );
    });
  });
  return maxOverspend;
};

const stepArbitrary = fc.record({
  // Long waits refill the bucket while grants are still unsettled, so that a full refund overspends.
  waitMs: fc.oneof(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 4_000, max: 12_000 })),
  takenTokens: fc.oneof(fc.integer({ min: 1, max: 1_000 }), fc.integer({ min: 400, max: 600 })),
  /** Percentage of the taken tokens that are spent; the others are returned. */
  usedPercent: fc.integer({ min: 0, max: 100 }),
  spentAfterMs: fc.integer({ min: 0, max: grantLifetimeMs }),
  settledAfterMs: fc.integer({ min: 0, max: 20_000 }),
  isReturnLost: fc.boolean(),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

interface PendingReturn {
  readonly arrivesAt: number;
  readonly slot: number;
  readonly settled: number;
  readonly unused: number;
}

/** Deliberately wrong: refunds all unused tokens, even if the refill has already replaced them. */
const refundInFull = (bucket: Bucket, returned: PendingReturn, now: number): void => {
  refillBucket(bucket, now);
  bucket.level = Math.min(bucket.limit.burst, bucket.level + returned.unused);
};

/** Runs steps against a bucket and returns the spends in order of time. */
const runSteps = (
  steps: readonly Step[],
  refund: (bucket: Bucket, returned: PendingReturn, now: number) => void,
): Spend[] => {
  const bucket = makeBucket(limit, limit.burst, 0);
  const spends: Spend[] = [];
  const returns: PendingReturn[] = [];
  let now = 0;
  steps.forEach((step) => {
    now += step.waitMs;
    returns.sort((a, b) => a.arrivesAt - b.arrivesAt);
    while (returns[0] && returns[0].arrivesAt <= now) {
      const [returned] = returns.splice(0, 1);
      if (returned) refund(bucket, returned, returned.arrivesAt);
    }
    const taken = takeTokens(bucket, step.takenTokens, now);
    if (!taken) return;
    const used = Math.floor((step.takenTokens * step.usedPercent) / 100);
    if (used > 0) spends.push({ spentAt: now + step.spentAfterMs, tokens: used });
    if (step.isReturnLost) return;
    returns.push({
      arrivesAt: now + step.spentAfterMs + step.settledAfterMs,
      slot: taken.slot,
      settled: step.takenTokens,
      unused: step.takenTokens - used,
    });
  });
  return spends.sort((a, b) => a.spentAt - b.spentAt);
};

test('no window exceeds rate·T + burst, even if tokens are spent late, returned or lost', (t) => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 60, size: 'max' }), (steps) => {
      const overspend = findOverspend(runSteps(steps, returnTokens), limit.rate, limit.burst);
      t.true(overspend < 0.01, `overspend ${overspend}`);
    }),
    { numRuns: 2_000, seed: 41 },
  );
});

test('a full refund overspends, so the property detects the fault', (t) => {
  const result = fc.check(
    fc.property(fc.array(stepArbitrary, { maxLength: 60, size: 'max' }), (steps) => {
      const overspend = findOverspend(runSteps(steps, refundInFull), limit.rate, limit.burst);
      return overspend < 0.01;
    }),
    { numRuns: 2_000, seed: 41 },
  );
  t.true(result.failed);
});

test('unused tokens are refunded except those that the refill has replaced', (t) => {
  const bucket = makeBucket(limit, limit.burst, 0);
  const taken = takeTokens(bucket, 900, 0);
  returnTokens(bucket, { slot: taken?.slot ?? 0, settled: 900, unused: 800 }, 2_000);
  // The grant expires at 600 ms. By 2,000 ms the refill has replaced 140 of the 900 tokens, so
  // the 800 unused tokens are refunded as 800 · 760/900.
  t.is(Math.round(bucket.level), 100 + 140 + Math.round((800 * 760) / 900));
});

test('a lower limit reduces the level immediately', (t) => {
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
