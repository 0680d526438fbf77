import test from 'ava';
import { makeServiceRateEstimator } from './service-rate.js';

test('the predicted wait of a workspace grows while it is not served', (t) => {
  const estimator = makeServiceRateEstimator();
  estimator.recordServed('flood', 4_000, true, 0);
  estimator.recordServed('flood', 4_000, true, 1_000);
  t.is(estimator.predictWaitMs('flood', 4_000, 4_000, 1_000), 2_000);
  // Nothing of this workspace was served for six seconds, while others were served first.
  t.is(estimator.predictWaitMs('flood', 4_000, 4_000, 7_000), 12_000);
});

test('an old rate is not used for a workspace without a backlog', (t) => {
  const estimator = makeServiceRateEstimator();
  estimator.recordServed('forge', 4_000, true, 0);
  estimator.recordServed('forge', 4_000, true, 1_000);
  t.is(estimator.predictWaitMs('forge', 0, 4_000, 7_000), 0);
  estimator.recordServed('forge', 4_000, false, 7_500);
  t.is(estimator.predictWaitMs('forge', 4_000, 4_000, 7_600), 0);
});
