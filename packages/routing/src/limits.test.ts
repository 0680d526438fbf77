import test from 'ava';
import fc from 'fast-check';
import { chooseWatchWaitMs, shouldWatch } from './choose-watchers.js';
import { makeRetryBudget } from './retry-budget.js';
import { makeServerHealth } from './server-health.js';
import { makeSpendWindow } from './spend-window.js';

test('repeats of all VMs together stay within the bound of the fleet', (t) => {
  const bound = { ratio: 0.2, slack: 56, windowMs: 10_000 };
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 90 }), fc.integer({ min: 1, max: 60 }), (vms, perS) => {
      const windows = Array.from({ length: vms }, () => makeRetryBudget(bound));
      const repeats: number[] = [];
      let requests = 0;
      for (let step = 0; step < perS * 10; step += 1) {
        const now = (step * 1_000) / perS;
        const vm = windows[step % vms];
        vm?.recordRequest(now);
        requests += 1;
        // Every request fails twice.
        if (vm?.tryTakeRetry(vms, now)) repeats.push(now);
        if (vm?.tryTakeRetry(vms, now)) repeats.push(now);
      }
      return repeats.length <= bound.ratio * requests + bound.slack;
    }),
    { numRuns: 50 },
  );
  t.pass();
});

test('a server that is unreachable rests, longer each time, and returns', (t) => {
  const health = makeServerHealth();
  health.record('a', 'unreachable', 0);
  t.true(health.isResting('a', 100));
  t.false(health.isResting('a', 400));
  health.record('a', 'unreachable', 400);
  t.true(health.isResting('a', 1_100));
  t.false(health.isResting('a', 1_200));
  health.record('a', 'answered', 1_200);
  health.record('a', 'unreachable', 1_300);
  t.false(health.isResting('a', 1_700));
});

test('one broken call does not make a server rest, two in a row do', (t) => {
  const health = makeServerHealth();
  health.record('a', 'broken', 0);
  t.false(health.isResting('a', 1));
  health.record('a', 'broken', 2);
  t.true(health.isResting('a', 3));
});

test('a server whose address belongs to another one gets nothing more', (t) => {
  const health = makeServerHealth();
  health.record('a', 'replaced', 0);
  t.true(health.isResting('a', 9_000));
});

test('errors of its own raise the failure share only', (t) => {
  const health = makeServerHealth();
  for (let at = 0; at < 10; at += 1) health.record('a', 'error-answer', at);
  t.false(health.isResting('a', 10));
  t.true(health.failureShare('a') > 0.5);
});

test('a spend window never sums to less than was spent within it', (t) => {
  const spend = fc.record({ gap: fc.integer({ min: 0, max: 500 }), amount: fc.nat(100) });
  fc.assert(
    fc.property(fc.array(spend, { maxLength: 60, size: 'max' }), (spends) => {
      const window = makeSpendWindow(1_000);
      const all: { at: number; amount: number }[] = [];
      let now = 0;
      return spends.every(({ gap, amount }) => {
        now += gap;
        window.add(amount, now);
        all.push({ at: now, amount });
        const sumSince = (ms: number) =>
          all.filter((one) => one.at > now - ms).reduce((sum, one) => sum + one.amount, 0);
        const sum = window.sum(now);
        return sum >= sumSince(1_000) && sum <= sumSince(1_100);
      });
    }),
  );
  t.pass();
});

const vm = (incarnation: string, part = {}) => ({
  incarnation,
  isStoreReachable: true,
  isWatcher: true,
  isFresh: true,
  ...part,
});

test('four of many VMs follow the store', (t) => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const watching = names.filter((own) =>
    shouldWatch(
      { incarnation: own, isStoreReachable: true },
      names.filter((name) => name !== own).map((name) => vm(name)),
    ),
  );
  t.deepEqual(watching, ['a', 'b', 'c', 'd']);
});

/** Time from a cut of all watchers until another VM has the change, at the worst moment. */
const takeOverMs = (vms: number): number => {
  const silentAfterMs = 400;
  const reviewMs = 200;
  const storeAnswerMs = 10;
  return chooseWatchWaitMs(vms) + silentAfterMs + reviewMs + storeAnswerMs;
};

test('a third of the VMs turned away leaves a watcher, or others take over within two seconds', (t) => {
  const share = 0.35;
  for (let vms = 6; vms <= 390; vms += 1) {
    const turnedAway = Math.ceil(vms * share);
    const isWatcherLeft = turnedAway < 4;
    t.true(isWatcherLeft || takeOverMs(vms) < 2_000, `${vms} VMs`);
  }
});

test('a VM that hears no watcher with a store follows it itself', (t) => {
  const own = { incarnation: 'z', isStoreReachable: true };
  t.true(shouldWatch(own, []));
  t.true(shouldWatch(own, [vm('a', { isFresh: false }), vm('b', { isWatcher: false })]));
  t.true(shouldWatch(own, [vm('a', { isStoreReachable: false })]));
  t.true(shouldWatch(own, [vm('a'), vm('b'), vm('c')]));
  t.false(shouldWatch(own, [vm('a'), vm('b'), vm('c'), vm('d')]));
});
