import test from 'ava';
import { err, ok, type Err } from 'neverthrow';
import type { Store, StoreEntry, StoreFault } from '@hemlocksill/types/ports.js';
import { makeStageLock } from './stage-lock.js';

const leaseMs = 3_000;

/** A store with one key whose lease lapses on the manual clock. */
const makeScenario = () => {
  const state = {
    now: 0,
    wallShift: 0,
    isDown: false,
    losesAnswers: false,
    revision: 10,
    entry: undefined as (StoreEntry & { leaseId: string }) | undefined,
  };
  const leases = new Map<string, number>();
  const wall = (): number => state.now + state.wallShift;
  const read = (): StoreEntry | undefined => {
    const { entry } = state;
    return entry && (leases.get(entry.leaseId) ?? 0) > wall() ? entry : undefined;
  };
  const fail = (): Promise<Err<never, StoreFault>> => Promise.resolve(err('unreachable'));
  const store: Store = {
    get: () => (state.isDown ? fail() : Promise.resolve(ok(read()))),
    grantLease: (ttlMs) => {
      if (state.isDown) return fail();
      const leaseId = `l${leases.size}`;
      leases.set(leaseId, wall() + ttlMs);
      return Promise.resolve(ok(leaseId));
    },
    renewLease: (leaseId) => {
      if (state.isDown) return fail();
      if ((leases.get(leaseId) ?? 0) <= wall())
        return Promise.resolve(err<never, StoreFault>('lease-gone'));
      leases.set(leaseId, wall() + leaseMs);
      return Promise.resolve(ok(undefined));
    },
    cas: ({ key, value = '', leaseId = '' }) => {
      const current = read();
      if (current) return Promise.resolve(ok({ kind: 'conflict' as const, current }));
      state.revision += 1;
      state.entry = { key, value, revision: state.revision, leaseId };
      if (state.losesAnswers) return Promise.resolve(err<never, StoreFault>('timeout'));
      return Promise.resolve(ok({ kind: 'written' as const, revision: state.revision }));
    },
    list: fail,
    revokeLease: fail,
    watch: fail,
  };
  const makeLock = (holder: string) =>
    makeStageLock({
      store,
      key: 'lock',
      holder,
      leaseMs,
      log: () => {},
      now: () => state.now,
      wallNow: wall,
    });
  const runUntil = async (until: number, ...locks: ReturnType<typeof makeLock>[]) => {
    for (; state.now < until; state.now += 100) {
      locks.forEach((lock) => lock.keep());
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  };
  return { state, makeLock, runUntil };
};

test('a holder gives orders only after two leases, and goes on while it renews', async (t) => {
  const { makeLock, runUntil } = makeScenario();
  const lock = makeLock('a');
  await runUntil(6_000, lock);
  t.is(lock.getFence(), undefined);
  await runUntil(6_700, lock);
  t.is(lock.getFence(), 11);
  await runUntil(20_000, lock);
  t.is(lock.getFence(), 11);
});

test('a suspended holder stops at once, and its successor starts later with a higher token', async (t) => {
  const { state, makeLock, runUntil } = makeScenario();
  const [first, second] = [makeLock('a'), makeLock('b')];
  await runUntil(8_000, first);
  t.is(first.getFence(), 11);
  // The monotonic clock stands still while the VM is suspended.
  state.wallShift += 4_000;
  t.is(first.getFence(), undefined);
  await runUntil(13_000, second);
  t.is(second.getFence(), undefined);
  await runUntil(16_000, second);
  t.is(second.getFence(), 12);
  t.is(first.getFence(), undefined);
});

test('a holder that cannot renew stops before its lease lapses', async (t) => {
  const { state, makeLock, runUntil } = makeScenario();
  const lock = makeLock('a');
  await runUntil(8_000, lock);
  state.isDown = true;
  await runUntil(10_800, lock);
  t.is(lock.getFence(), undefined);
});

test('a write whose answer was lost is found again and counts as held', async (t) => {
  const { state, makeLock, runUntil } = makeScenario();
  const lock = makeLock('a');
  state.losesAnswers = true;
  await runUntil(2_500, lock);
  state.losesAnswers = false;
  await runUntil(11_000, lock);
  t.is(lock.getFence(), 11);
});

test('if a restored store has lost the lock, both holders never give orders within a lease', async (t) => {
  const { state, makeLock, runUntil } = makeScenario();
  const [first, second] = [makeLock('a'), makeLock('b')];
  await runUntil(8_000, first);
  t.is(first.getFence(), 11);
  state.entry = undefined;
  let lastOrderAt = 0;
  while (second.getFence() === undefined) {
    await runUntil(state.now + 100, second);
    if (first.getFence() !== undefined) lastOrderAt = state.now;
  }
  t.true(lastOrderAt > 8_000);
  t.true(state.now - lastOrderAt > leaseMs, `${state.now} ${lastOrderAt}`);
});
