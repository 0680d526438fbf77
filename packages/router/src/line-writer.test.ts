import test from 'ava';
import { makeLogRateLimiter } from './log-rate-limiter.js';
import { makeLineWriter } from './line-writer.js';

test('lines are written together and in order', async (t) => {
  let out = '';
  const writer = makeLineWriter((data, done) => {
    // Takes a part at a time, as a pipe may.
    const taken = Math.min(3, data.length);
    out += data.subarray(0, taken).toString();
    setImmediate(() => done(taken));
  });
  writer.write('one\n');
  writer.write('two\n');
  await writer.flush();
  t.is(out, 'one\ntwo\n');
});

test('a reader that takes nothing costs bounded memory and no waiting', (t) => {
  const writer = makeLineWriter(() => {});
  const line = `${'x'.repeat(1_023)}\n`;
  const taken = Array.from({ length: 2_000 }, () => writer.write(line)).filter(Boolean).length;
  t.is(taken, 512);
  t.is(writer.takeDroppedCount(), 2_000 - 512);
  t.is(writer.takeDroppedCount(), 0);
});

test('under load warnings are kept before other lines, and what is left out is counted', (t) => {
  const budget = makeLogRateLimiter();
  const count = (level: 'info' | 'warn', times: number, now: number): number =>
    Array.from({ length: times }, () => budget.admit(level, now)).filter(Boolean).length;
  t.is(count('info', 1_000, 0), 300);
  t.is(count('warn', 1_000, 500), 300);
  t.is(budget.takeDroppedCount(), 1_400);
  t.is(count('info', 10, 1_000), 10);
});
