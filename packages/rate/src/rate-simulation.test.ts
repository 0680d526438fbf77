import test from 'ava';
import fc from 'fast-check';
import {
  confirmDeposits,
  selectLatestDeposit,
  planDeposits,
  type DepositState,
  type StoredDeposit,
} from './deposits.js';
import {
  acceptReturn,
  handleDraw,
  makeHolder,
  exportLevels,
  allBucketsEmpty,
  allBucketsFull,
  type Holder,
} from './holder.js';
import {
  addGrant,
  collectReturns,
  makeRateConsumer,
  reserveTokens,
  settleReservation,
  type Reservation,
} from './rate-consumer.js';
import { grantLifetimeMs } from './bucket.js';

const workspace = 'forge';
const limit = { rate: 100, burst: 1_000 };
const vms = 4;

interface Spend {
  readonly at: number;
  readonly tokens: number;
}

const findOverspend = (spends: readonly Spend[]): number => {
  let worst = 0;
  spends.forEach((first, i) => {
    let sum = 0;
    spends.slice(i).forEach((s) => {
      sum += s.tokens;
      worst = Math.max(worst, sum - (limit.rate * (s.at - first.at)) / 1_000 - limit.burst);
    });
  });
  return worst;
};

const event = fc.record({
  waitMs: fc.integer({ min: 0, max: 1_500 }),
  kind: fc.constantFrom(
    'call',
    'call',
    'call',
    'settle',
    'return',
    'fail-over',
    'hand-over',
    'deposit',
    'deposit',
  ),
  vm: fc.integer({ min: 0, max: vms - 1 }),
  tokens: fc.integer({ min: 1, max: 600 }),
  usedShare: fc.integer({ min: 0, max: 100 }),
  answerLost: fc.boolean(),
  answerAfterMs: fc.integer({ min: 0, max: 400 }),
});

type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;

interface Fleet {
  holder: Holder;
  book: DepositState;
  kept: StoredDeposit | undefined;
  /** A statement that is still on its way. */
  late: StoredDeposit | undefined;
  readonly takers: ReturnType<typeof makeRateConsumer>[];
  readonly open: { vm: number; reservation: Reservation; tokens: number; at: number }[];
  readonly spends: Spend[];
}

type NextHolder = (fleet: Fleet, now: number) => Holder;

const startFromDeposit: NextHolder = ({ holder, kept }, now) => {
  const start = kept?.epoch === holder.epoch ? { levels: kept.tokens, idleMs: 0 } : allBucketsEmpty;
  return makeHolder(0, holder.epoch + 1, now + grantLifetimeMs, start);
};

/** The easy answer: the successor starts with a full bucket. */
const startAllFull: NextHolder = ({ holder }, now) =>
  makeHolder(0, holder.epoch + 1, now, allBucketsFull);

const emptyBook: DepositState = { successor: 'b', sequence: 0, confirmed: new Map() };

const changeHolder = (fleet: Fleet, holder: Holder): void => {
  fleet.holder = holder;
  fleet.book = emptyBook;
};

const runDeposit = (fleet: Fleet, e: Event, now: number): void => {
  const { holder } = fleet;
  const wanted = new Set(e.usedShare < 30 ? [workspace] : []);
  const statement = planDeposits(holder, fleet.book, wanted, now);
  // A statement that was held up arrives after later ones.
  if (fleet.late) fleet.kept = selectLatestDeposit(fleet.kept, fleet.late);
  fleet.late = undefined;
  if (!statement) return;
  fleet.book = { ...fleet.book, sequence: statement.sequence };
  const sent = { ...statement, epoch: holder.epoch };
  if (e.answerAfterMs > 300) {
    fleet.late = sent;
    return;
  }
  fleet.kept = selectLatestDeposit(fleet.kept, sent);
  if (e.answerLost || fleet.kept !== sent) return;
  confirmDeposits(holder, statement, now);
  fleet.book = { ...fleet.book, confirmed: statement.tokens };
};

const runEvent = (fleet: Fleet, e: Event, now: number, nextHolder: NextHolder): void => {
  const taker = fleet.takers[e.vm];
  if (!taker) return;
  if (e.kind === 'call') {
    const draw = { workspace, need: e.tokens, want: e.tokens + 50, asker: `vm-${e.vm}` };
    const answer = handleDraw(fleet.holder, draw, limit, now);
    const arrivedAt = now + e.answerAfterMs;
    if (answer.kind !== 'granted' || e.answerLost) return;
    const { slot, tokens } = answer;
    addGrant(taker, workspace, { epoch: fleet.holder.epoch, slot, tokens }, now);
    const reservation = reserveTokens(taker, workspace, e.tokens, arrivedAt);
    if (reservation) fleet.open.push({ vm: e.vm, reservation, tokens: e.tokens, at: arrivedAt });
  } else if (e.kind === 'settle') {
    const [done] = fleet.open.splice(0, 1);
    const owner = done && fleet.takers[done.vm];
    if (!done || !owner) return;
    const used = Math.floor((done.tokens * e.usedShare) / 100);
    if (used > 0) fleet.spends.push({ at: done.at, tokens: used });
    settleReservation(owner, done.reservation, used);
  } else if (e.kind === 'return') {
    const returns = collectReturns(taker, now);
    if (!e.answerLost) returns.forEach((r) => acceptReturn(fleet.holder, r.epoch, r, now));
  } else if (e.kind === 'hand-over') {
    const levels = exportLevels(fleet.holder, now);
    changeHolder(fleet, makeHolder(0, fleet.holder.epoch + 1, now + grantLifetimeMs, levels));
  } else if (e.kind === 'deposit') {
    runDeposit(fleet, e, now);
  } else {
    changeHolder(fleet, nextHolder(fleet, now));
  }
};

const measureOverspend = (events: readonly Event[], nextHolder: NextHolder): number => {
  const fleet: Fleet = {
    holder: makeHolder(0, 1, 0, allBucketsFull),
    book: emptyBook,
    kept: undefined,
    late: undefined,
    takers: Array.from({ length: vms }, makeRateConsumer),
    open: [],
    spends: [],
  };
  let now = 0;
  events.forEach((e) => {
    now += e.waitMs;
    runEvent(fleet, e, now, nextHolder);
  });
  fleet.open.forEach((o) => fleet.spends.push({ at: o.at, tokens: o.tokens }));
  return findOverspend([...fleet.spends].sort((a, b) => a.at - b.at));
};

test('no interleaving of draws, losses, returns, deposits and fail-overs overspends', (t) => {
  fc.assert(
    fc.property(fc.array(event, { maxLength: 120, size: 'max' }), (events) => {
      const over = measureOverspend(events, startFromDeposit);
      t.true(over < 0.01, `overspend ${over}`);
    }),
    { numRuns: 2_000, seed: 43 },
  );
});

test('a successor that starts full overspends, so the property has teeth', (t) => {
  const result = fc.check(
    fc.property(
      fc.array(event, { maxLength: 120, size: 'max' }),
      (events) => measureOverspend(events, startAllFull) < 0.01,
    ),
    { numRuns: 2_000, seed: 43 },
  );
  t.true(result.failed);
});

test('a draw beyond the burst is never granted', (t) => {
  const holder = makeHolder(0, 1, 0, allBucketsFull);
  const draw = { workspace, need: limit.burst + 1, want: 0, asker: 'vm-1' };
  t.deepEqual(handleDraw(holder, draw, limit, 0), { kind: 'never' });
});

test('a grant is dated from the sending of the draw', (t) => {
  const taker = makeRateConsumer();
  addGrant(taker, workspace, { epoch: 1, slot: 0, tokens: 100 }, 0);
  t.is(reserveTokens(taker, workspace, 100, grantLifetimeMs), undefined);
  t.deepEqual(collectReturns(taker, grantLifetimeMs), [
    { workspace, epoch: 1, slot: 0, settled: 100, unused: 100 },
  ]);
});

test('a hand-over leaves workspaces that nobody has asked for as full as they were', (t) => {
  const first = makeHolder(0, 1, 0, allBucketsFull);
  const second = makeHolder(0, 2, 10_500, exportLevels(first, 10_000));
  const draw = { workspace, need: limit.burst, want: limit.burst, asker: 'vm-1' };
  t.is(handleDraw(second, draw, limit, 10_500).kind, 'granted');
  const third = makeHolder(0, 3, 0, allBucketsEmpty);
  const fourth = makeHolder(0, 4, 5_500, exportLevels(third, 5_000));
  const half = { workspace, need: 500, want: 500, asker: 'vm-1' };
  t.is(handleDraw(fourth, { ...half, need: 501 }, limit, 5_500).kind, 'short');
  t.is(handleDraw(fourth, half, limit, 5_500).kind, 'granted');
});

test('a new holder tells that its buckets do not fill yet', (t) => {
  const holder = makeHolder(0, 2, grantLifetimeMs, allBucketsEmpty);
  const draw = { workspace, need: 10, want: 10, asker: 'vm-1' };
  const early = handleDraw(holder, draw, limit, 0);
  t.true(early.kind === 'short' && early.starting);
  const later = handleDraw(holder, draw, limit, grantLifetimeMs);
  t.true(later.kind === 'short' && !later.starting);
});
