import test from 'ava';
import { makeEngineRates } from './engine-rates.js';

[3, 1, 1 / 3].forEach((speed) => {
  test(`rates converge within some streams at engines ${speed.toFixed(2)} times as fast`, (t) => {
    const rates = makeEngineRates();
    const promptMs = 3_000 / (30 * speed);
    for (let n = 0; n < 100; n += 1) {
      // Every other prompt waits behind another one.
      rates.recordPrefill(3_000, n % 2 === 0 ? promptMs : promptMs * 2);
      rates.recordOutput(800, 2_000 / speed);
    }
    const prefill = rates.getPrefillTokensPerMs() / (30 * speed);
    const output = rates.getOutputTokensPerS() / (400 * speed);
    t.true(prefill > 0.85 && prefill <= 1.05, `prefill ${prefill}`);
    t.true(Math.abs(output - 1) < 0.05, `output ${output}`);
  });
});

test('an engine that stalls or answers at once moves the rates only within bounds', (t) => {
  const rates = makeEngineRates();
  for (let n = 0; n < 500; n += 1) rates.recordPrefill(3_000, 1);
  t.true(rates.getPrefillTokensPerMs() <= 240);
  rates.recordPrefill(3_000, 100_000);
  t.true(rates.getPrefillTokensPerMs() > 200);
  for (let n = 0; n < 5_000; n += 1) rates.recordPrefill(3_000, 100_000);
  t.true(rates.getPrefillTokensPerMs() >= 30 / 8);
});

test('short prompts and outputs say nothing about an engine', (t) => {
  const rates = makeEngineRates();
  rates.recordPrefill(20, 100);
  rates.recordOutput(3, 1_000);
  t.is(rates.getPrefillTokensPerMs(), 30);
  t.is(rates.getOutputTokensPerS(), 400);
});
