import test from 'ava';
import { makeLogRateLimiter } from './log-rate-limiter.js';
import { makeLineWriter } from './line-writer.js';

test('queued lines are written in order, also through partial writes', async (t) => {
  let output = '';
  const writer = makeLineWriter((data, done) => {
    // Writes a few bytes at a time, as a pipe may.
    const written = Math.min(3, data.length);
    output += data.subarray(0, written).toString();
    setImmediate(() => done(written));
  });
  writer.write('one\n');
  writer.write('two\n');
  await writer.flush();
  t.is(output, 'one\ntwo\n');
});

test('a blocked reader does not block writes, and lines beyond the memory limit are dropped', (t) => {
  const writer = makeLineWriter(() => {});
  const line = `${'x'.repeat(1_023)}\n`;
  const accepted = Array.from({ length: 2_000 }, () => writer.write(line)).filter(Boolean).length;
  t.is(accepted, 512);
  t.is(writer.takeDroppedCount(), 2_000 - 512);
  t.is(writer.takeDroppedCount(), 0);
});

test('warnings still pass when info lines reach their limit, and dropped lines are counted', (t) => {
  const limiter = makeLogRateLimiter();
  const countAdmitted = (level: 'info' | 'warn', times: number, now: number): number =>
    Array.from({ length: times }, () => limiter.admit(level, now)).filter(Boolean).length;
  t.is(countAdmitted('info', 1_000, 0), 300);
  t.is(countAdmitted('warn', 1_000, 500), 300);
  t.is(limiter.takeDroppedCount(), 1_400);
  t.is(countAdmitted('info', 10, 1_000), 10);
});
