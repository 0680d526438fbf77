import test from 'ava';
import { selectLateWaiters, type RateWaiter } from './select-late.js';

const makeWaiter = (changes: Partial<RateWaiter>): RateWaiter => ({
  tokens: 500,
  deadline: 1_000,
  deadlineWithoutHolder: 1_500,
  holderWasUnavailable: false,
  ...changes,
});

const waitPerToken = (ms: number) => (tokens: number) => tokens * ms;

test('a request whose deadline passed while no holder was available is not refused as over its rate', (t) => {
  const urgent = makeWaiter({ deadline: 300, holderWasUnavailable: true });
  t.is(selectLateWaiters([urgent], waitPerToken(0), 400).size, 0);
  t.is(selectLateWaiters([urgent], waitPerToken(0.1), 1_400).size, 0);
  t.deepEqual([...selectLateWaiters([urgent], waitPerToken(1), 1_400).values()], [500]);
});

test('a request is refused as soon as its tokens are predicted to be late', (t) => {
  const waiters = [makeWaiter({}), makeWaiter({}), makeWaiter({})];
  t.deepEqual([...selectLateWaiters(waiters, waitPerToken(0.9), 0).keys()], [waiters[2]]);
  t.is(selectLateWaiters(waiters, waitPerToken(0.5), 0).size, 0);
});

test('a waiter that is refused does not delay those behind it', (t) => {
  const large = makeWaiter({ tokens: 9_000 });
  const small = makeWaiter({});
  t.deepEqual([...selectLateWaiters([large, small], waitPerToken(1), 0).keys()], [large]);
});

test('a new waiter is admitted only with a margin', (t) => {
  const newest = makeWaiter({});
  t.is(selectLateWaiters([newest], waitPerToken(1.9), 0).size, 0);
  t.is(selectLateWaiters([newest], waitPerToken(1.9), 0, newest).size, 1);
});
