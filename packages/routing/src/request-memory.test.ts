import test from 'ava';
import { deriveRequestBytes, makeRequestMemory } from './request-memory.js';

const limitBytes = 1_000;

const makeMemory = () => makeRequestMemory<string>(() => limitBytes);

test('nobody gives way while there is room', (t) => {
  const memory = makeMemory();
  memory.update('a', { bytes: limitBytes, canGiveWay: true }, 0);
  t.is(memory.chooseVictim(5_000), undefined);
});

// Guards against a crowd that fills the bound and has ordinary callers refused.
test('an ordinary caller does not give way beside a crowd that fills the bound', (t) => {
  const memory = makeMemory();
  const crowd = Array.from({ length: 10 }, (_, n) => `crowd-${n}`);
  crowd.forEach((caller) => memory.update(caller, { bytes: 100, canGiveWay: true }, 0));
  memory.update('ordinary', { bytes: 5, canGiveWay: true }, 20);
  t.regex(memory.chooseVictim(20) ?? '', /^crowd-/);
  crowd.forEach(memory.remove);
  t.is(memory.getBytes(), 5);
});

// Guards against a body that never ends and outlives those that come.
test('who makes no progress gives way before who holds more', (t) => {
  const memory = makeMemory();
  memory.update('stalled', { bytes: 600, canGiveWay: true }, 0);
  memory.update('moving', { bytes: 900, canGiveWay: true }, 1_500);
  t.is(memory.chooseVictim(1_500), 'stalled');
});

test('a request that runs does not give way', (t) => {
  const memory = makeMemory();
  memory.update('running', { bytes: 3_000, canGiveWay: false }, 0);
  t.is(memory.chooseVictim(5_000), undefined);
});

// Guards against many small holders beside requests that run, each under its share.
test('over twice the bound everyone who can gives way', (t) => {
  const memory = makeMemory();
  memory.update('running', { bytes: 1_990, canGiveWay: false }, 0);
  memory.update('small', { bytes: 20, canGiveWay: true }, 0);
  t.is(memory.chooseVictim(0), 'small');
});

test('a bound of 0 is none', (t) => {
  const memory = makeRequestMemory<string>(() => 0);
  memory.update('a', { bytes: 10_000, canGiveWay: true }, 0);
  t.is(memory.chooseVictim(5_000), undefined);
});

// Guards against a bound that refuses a single request inside the limits.
test('the bound follows the memory, and leaves room for one body at the limit', (t) => {
  t.is(deriveRequestBytes(undefined, 2 ** 27, 1_000), 2 ** 24);
  t.true(deriveRequestBytes(1_000, 2 ** 27, 64 * 2 ** 20) > 64 * 2 ** 20);
  t.is(deriveRequestBytes(0, 2 ** 27, 1_000), 0);
});
