import test from 'ava';
import fc from 'fast-check';
import { chooseWatchWaitMs, shouldWatch } from './choose-watchers.js';
import { makeRetryBudget } from './retry-budget.js';
import { makeServerHealth } from './server-health.js';
import { makeSpendWindow } from './spend-window.js';

test('retries of all VMs together stay within the limit of the fleet', (t) => {
  const limit = { ratio: 0.2, slack: 56, windowMs: 10_000 };
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 90 }),
      fc.integer({ min: 1, max: 60 }),
      (vms, requestsPerS) => {
        const budgets = Array.from({ length: vms }, () => makeRetryBudget(limit));
        const retries: number[] = [];
        let requests = 0;
        for (let step = 0; step < requestsPerS * 10; step += 1) {
          const now = (step * 1_000) / requestsPerS;
          const budget = budgets[step % vms];
          budget?.recordRequest(now);
          requests += 1;
          // Every request fails twice.
          if (budget?.tryTakeRetry(vms, now)) retries.push(now);
          if (budget?.tryTakeRetry(vms, now)) retries.push(now);
        }
        return retries.length <= limit.ratio * requests + limit.slack;
      },
    ),
    { numRuns: 50 },
  );
  t.pass();
});

test('retries that were not sent leave the budget to others', (t) => {
  const budget = makeRetryBudget({ ratio: 0, slack: 2, windowMs: 10_000 });
  Array.from({ length: 20 }).forEach(() => {
    t.true(budget.tryTakeRetry(1, 0));
    budget.returnRetry();
  });
  t.true(budget.tryTakeRetry(1, 0));
  t.false(budget.tryTakeRetry(1, 0));
});

test('an unreachable server gets a cooldown that doubles until a call succeeds', (t) => {
  const health = makeServerHealth();
  health.record('a', 'unreachable', 0);
  t.true(health.isCoolingDown('a', 100));
  t.false(health.isCoolingDown('a', 400));
  health.record('a', 'unreachable', 400);
  t.true(health.isCoolingDown('a', 1_100));
  t.false(health.isCoolingDown('a', 1_200));
  health.record('a', 'answered', 1_200);
  health.record('a', 'unreachable', 1_300);
  t.false(health.isCoolingDown('a', 1_700));
});

// Guards against a server whose answers have no end that gets all requests again after each cooldown.
test('a second faulty answer starts a cooldown that doubles, and a trial that ends with a whole answer', (t) => {
  const health = makeServerHealth();
  health.record('a', 'faulty-answer', 0);
  t.true(health.isFaulty('a'));
  t.false(health.isCoolingDown('a', 0));
  t.false(health.isOnTrial('a'));
  health.record('a', 'faulty-answer', 100);
  t.true(health.isCoolingDown('a', 499));
  t.false(health.isCoolingDown('a', 500));
  t.is(health.getFaultyUntil('a'), 500);
  health.record('a', 'faulty-answer', 500);
  t.true(health.isCoolingDown('a', 1_299));
  t.true(health.isOnTrial('a'));
  health.record('a', 'error-answer', 1_300);
  t.false(health.isFaulty('a'));
  t.false(health.isOnTrial('a'));
});

// Guards against sound servers that are left for what others, or the network, have done.
test('neither broken connections nor reports of other VMs put a server on trial', (t) => {
  const health = makeServerHealth();
  health.recordPeerFailure('b', 0);
  [0, 1, 2].forEach((now) => health.record('c', 'broken', now));
  t.deepEqual(['b', 'c'].map(health.isOnTrial), [false, false]);
  t.deepEqual(['b', 'c'].map(health.isFaulty), [false, false]);
});

test('a server gets a cooldown after two consecutive broken calls, not after one', (t) => {
  const health = makeServerHealth();
  health.record('a', 'broken', 0);
  t.false(health.isCoolingDown('a', 1));
  health.record('a', 'broken', 2);
  t.true(health.isCoolingDown('a', 3));
});

test('a server whose address is used by another one gets a long cooldown', (t) => {
  const health = makeServerHealth();
  health.record('a', 'replaced', 0);
  t.true(health.isCoolingDown('a', 9_000));
});

test('error responses raise the failure share, but cause no cooldown', (t) => {
  const health = makeServerHealth();
  for (let now = 0; now < 10; now += 1) health.record('a', 'error-answer', now);
  t.false(health.isCoolingDown('a', 10));
  t.true(health.getFailureShare('a') > 0.5);
});

test('the sum of a spend window is never below what was spent within the window', (t) => {
  const spending = fc.record({ gap: fc.integer({ min: 0, max: 500 }), amount: fc.nat(100) });
  fc.assert(
    fc.property(fc.array(spending, { maxLength: 60, size: 'max' }), (spendings) => {
      const window = makeSpendWindow(1_000);
      const allSpendings: { at: number; amount: number }[] = [];
      let now = 0;
      return spendings.every(({ gap, amount }) => {
        now += gap;
        window.add(amount, now);
        allSpendings.push({ at: now, amount });
        const sumSince = (ms: number) =>
          allSpendings
            .filter((spent) => spent.at > now - ms)
            .reduce((sum, spent) => sum + spent.amount, 0);
        const sum = window.sum(now);
        return sum >= sumSince(1_000) && sum <= sumSince(1_100);
      });
    }),
  );
  t.pass();
});

const makeVm = (incarnation: string, overrides = {}) => ({
  incarnation,
  isStoreReachable: true,
  isWatcher: true,
  isFresh: true,
  ...overrides,
});

test('four of many VMs watch the store', (t) => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const watchers = names.filter((self) =>
    shouldWatch(
      { incarnation: self, isStoreReachable: true },
      names.filter((name) => name !== self).map((name) => makeVm(name)),
      0,
    ),
  );
  t.deepEqual(watchers, ['a', 'b', 'c', 'd']);
});

/** Maximum time from the loss of all watchers' connections until another VM receives a change. */
const getMaxTakeoverMs = (applyMs: number): number => {
  const storeTimeoutMs = 400;
  const roleCheckPeriodMs = 200;
  const storeResponseMs = 10;
  return chooseWatchWaitMs(applyMs) + storeTimeoutMs + roleCheckPeriodMs + storeResponseMs;
};

test('if the connections of all watchers go silent, a change is received in time', (t) => {
  [1_000, 2_000, 3_000, 4_000, 5_000].forEach((limitMs) =>
    t.true(getMaxTakeoverMs(limitMs) < limitMs),
  );
});

test('a VM watches the store itself if too few responsive watchers can reach it', (t) => {
  const self = { incarnation: 'z', isStoreReachable: true };
  t.true(shouldWatch(self, [], 0));
  t.true(
    shouldWatch(self, [makeVm('a', { isFresh: false }), makeVm('b', { isWatcher: false })], 0),
  );
  t.true(shouldWatch(self, [makeVm('a', { isStoreReachable: false })], 0));
  t.true(shouldWatch(self, [makeVm('a'), makeVm('b'), makeVm('c')], 0));
  t.false(shouldWatch(self, [makeVm('a'), makeVm('b'), makeVm('c'), makeVm('d')], 0));
});

test('while the store is away, some of hundreds of VMs try it, and more of them if no watcher is heard', (t) => {
  const names = Array.from({ length: 195 }, (_, n) => `vm${String(n).padStart(3, '0')}`);
  const countWatchers = (isWatcherHeard: boolean, silentMs: number): number =>
    names.filter((self) =>
      shouldWatch(
        { incarnation: self, isStoreReachable: false },
        names
          .filter((name) => name !== self)
          .map((name) =>
            makeVm(name, { isStoreReachable: false, isWatcher: isWatcherHeard && name < 'vm004' }),
          ),
        silentMs,
      ),
    ).length;
  t.is(countWatchers(true, 0), 4);
  t.is(countWatchers(true, 10_000), 16);
  t.is(countWatchers(false, 0), 4);
  t.is(countWatchers(false, 3_000), 195);
});

test('when all watchers of a large fleet are rejected, the next VMs take over at once', (t) => {
  const rejected = ['a', 'b', 'c', 'd'].map((name) => makeVm(name, { isStoreReachable: false }));
  const readers = Array.from({ length: 30 }, (_, n) => makeVm(`r${n}`, { isWatcher: false }));
  const peers = [...rejected, ...readers];
  t.true(shouldWatch({ incarnation: 'e', isStoreReachable: true }, peers, 0));
  t.false(shouldWatch({ incarnation: 's', isStoreReachable: true }, peers, 0));
});

test('a prefill engine whose results are lost rests longer each time until a result was used', (t) => {
  const health = makeServerHealth();
  health.record('p', 'result-lost', 0);
  t.true(health.isCoolingDown('p', 300));
  t.false(health.isCoolingDown('p', 500));
  health.record('p', 'result-lost', 500);
  t.true(health.isCoolingDown('p', 1_200));
  health.record('p', 'answered', 1_400);
  health.record('p', 'result-lost', 1_500);
  t.false(health.isCoolingDown('p', 2_000));
});
