import test from 'ava';
import { deriveMemoryLimits, makeCallerMemory } from './caller-memory.js';

const limits = { callerBytes: 100, allCallersBytes: 300, stallMs: 15_000 };

test('a caller is full above its bound and has room again once it has read', (t) => {
  const account = makeCallerMemory(limits).open();
  account.update(100, 100, 0);
  t.false(account.isFull());
  account.update(150, 150, 0);
  t.true(account.isFull());
  account.update(150, 40, 10);
  t.false(account.isFull());
});

test('when all callers together are over their bound, only those with more than their share are held back', (t) => {
  const memory = makeCallerMemory({ ...limits, callerBytes: 1_000 });
  const slow = [memory.open(), memory.open()];
  const sound = memory.open();
  slow.forEach((account) => account.update(200, 200, 0));
  sound.update(5_000, 10, 0);
  t.true(slow.every((account) => account.isFull()));
  t.false(sound.isFull());
  // They are disconnected early, and the other one isn't.
  t.true(slow.every((account) => account.hasStalled(1_000)));
  t.false(sound.hasStalled(1_000));
  slow[0]?.close();
  t.false(slow[1]?.isFull());
  t.false(slow[1]?.hasStalled(1_000));
  t.is(memory.getUnreadBytes(), 210);
});

test('a caller stalls only without any progress', (t) => {
  const account = makeCallerMemory(limits).open();
  account.update(90, 90, 0);
  t.false(account.hasStalled(14_999));
  t.true(account.hasStalled(15_000));
  account.update(90, 89, 14_999);
  t.false(account.hasStalled(29_998));
  // More bytes are no progress of the caller.
  account.update(95, 94, 29_998);
  t.true(account.hasStalled(29_999));
});

test('a caller that had read everything starts anew', (t) => {
  const account = makeCallerMemory(limits).open();
  account.update(50, 0, 0);
  account.update(60, 10, 40_000);
  t.false(account.hasStalled(40_000));
  t.true(account.hasStalled(55_000));
});

test('0 means no bound, and unset bounds come from the memory of the process', (t) => {
  const account = makeCallerMemory({ callerBytes: 0, allCallersBytes: 0, stallMs: 0 }).open();
  account.update(1e12, 1e12, 0);
  t.false(account.isFull());
  t.false(account.hasStalled(1e12));
  const unset = { callerBytes: undefined, allCallersBytes: undefined, callerStallMs: 15_000 };
  const mebibyte = 1_024 * 1_024;
  const small = deriveMemoryLimits(unset, 112 * mebibyte);
  t.is(small.allCallersBytes, 14 * mebibyte);
  t.is(small.callerBytes, (14 * mebibyte) / 32);
  t.is(deriveMemoryLimits(unset, 8_192 * mebibyte).allCallersBytes, 32 * mebibyte);
  const set = deriveMemoryLimits({ ...unset, callerBytes: 0, allCallersBytes: 5 }, mebibyte);
  t.deepEqual([set.callerBytes, set.allCallersBytes], [0, 5]);
});
