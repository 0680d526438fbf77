import test from 'ava';
import { selectLateWaiters, type RateWaiter } from './select-late.js';

const waiter = (part: Partial<RateWaiter>): RateWaiter => ({
  tokens: 500,
  deadline: 1_000,
  deadlineWithoutHolder: 1_500,
  holderWasUnavailable: false,
  ...part,
});

const perToken = (ms: number) => (tokens: number) => tokens * ms;

test('a request that outlived its wait while no holder answered is not refused as over its rate', (t) => {
  const urgent = waiter({ deadline: 300, holderWasUnavailable: true });
  t.is(selectLateWaiters([urgent], perToken(0), 400).size, 0);
  t.is(selectLateWaiters([urgent], perToken(0.1), 1_400).size, 0);
  t.deepEqual([...selectLateWaiters([urgent], perToken(1), 1_400).values()], [500]);
});

test('a request is refused as soon as its tokens are predicted to come late', (t) => {
  const waiters = [waiter({}), waiter({}), waiter({})];
  t.deepEqual([...selectLateWaiters(waiters, perToken(0.9), 0).keys()], [waiters[2]]);
  t.is(selectLateWaiters(waiters, perToken(0.5), 0).size, 0);
});

test('a waiter that is refused does not delay those behind it', (t) => {
  const large = waiter({ tokens: 9_000 });
  const small = waiter({});
  t.deepEqual([...selectLateWaiters([large, small], perToken(1), 0).keys()], [large]);
});

test('a new waiter is admitted with a margin only', (t) => {
  const newest = waiter({});
  t.is(selectLateWaiters([newest], perToken(1.9), 0).size, 0);
  t.is(selectLateWaiters([newest], perToken(1.9), 0, newest).size, 1);
});
