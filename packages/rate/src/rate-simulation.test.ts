import test from 'ava';
import fc from 'fast-check';
import {
  confirmDeposits,
  planDeposits,
  selectLatestDeposit,
  type DepositState,
  type StoredDeposit,
} from './deposits.js';
import {
  acceptReturn,
  allBucketsEmpty,
  allBucketsFull,
  exportLevels,
  handleDraw,
  makeHolder,
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
const vmCount = 4;

interface Spend {
  readonly spentAt: number;
  readonly tokens: number;
}

const findOverspend = (spends: readonly Spend[]): number => {
  let maxOverspend = 0;
  spends.forEach((first, i) => {
    let sum = 0;
    spends.slice(i).forEach((spend) => {
      sum += spend.tokens;
      maxOverspend = Math.max(
        maxOverspend,
        sum - (limit.rate * (spend.spentAt - first.spentAt)) / 1_000 - limit.burst,
      );
    });
  });
  return maxOverspend;
};

const eventArbitrary = fc.record({
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
  vm: fc.integer({ min: 0, max: vmCount - 1 }),
  tokens: fc.integer({ min: 1, max: 600 }),
  usedPercent: fc.integer({ min: 0, max: 100 }),
  isReplyLost: fc.boolean(),
  replyDelayMs: fc.integer({ min: 0, max: 400 }),
});

type RateEvent = typeof eventArbitrary extends fc.Arbitrary<infer T> ? T : never;

interface Simulation {
  holder: Holder;
  depositState: DepositState;
  storedDeposit: StoredDeposit | undefined;
  /** A deposit statement that has been sent but has not arrived yet. */
  delayedStatement: StoredDeposit | undefined;
  readonly consumers: ReturnType<typeof makeRateConsumer>[];
  readonly openRequests: {
    vm: number;
    reservation: Reservation;
    tokens: number;
    reservedAt: number;
  }[];
  readonly spends: Spend[];
}

type MakeSuccessor = (simulation: Simulation, now: number) => Holder;

const succeedFromDeposit: MakeSuccessor = ({ holder, storedDeposit }, now) => {
  const initial =
    storedDeposit?.epoch === holder.epoch
      ? { levels: storedDeposit.tokens, idleMs: 0 }
      : allBucketsEmpty;
  return makeHolder(0, holder.epoch + 1, now + grantLifetimeMs, initial);
};

/** Deliberately wrong: the successor starts with full buckets. */
const succeedWithFullBuckets: MakeSuccessor = ({ holder }, now) =>
  makeHolder(0, holder.epoch + 1, now, allBucketsFull);

const noDeposits: DepositState = { successor: 'b', sequence: 0, confirmed: new Map() };

const replaceHolder = (simulation: Simulation, holder: Holder): void => {
  simulation.holder = holder;
  simulation.depositState = noDeposits;
};

const runDeposit = (simulation: Simulation, event: RateEvent, now: number): void => {
  const { holder } = simulation;
  const recalled = new Set(event.usedPercent < 30 ? [workspace] : []);
  const statement = planDeposits(holder, simulation.depositState, recalled, now);
  // A delayed statement arrives after a newer one has been planned.
  if (simulation.delayedStatement)
    simulation.storedDeposit = selectLatestDeposit(
      simulation.storedDeposit,
      simulation.delayedStatement,
    );
  simulation.delayedStatement = undefined;
  if (!statement) return;
  simulation.depositState = { ...simulation.depositState, sequence: statement.sequence };
  const sent = { ...statement, epoch: holder.epoch };
  if (event.replyDelayMs > 300) {
    simulation.delayedStatement = sent;
    return;
  }
  simulation.storedDeposit = selectLatestDeposit(simulation.storedDeposit, sent);
  if (event.isReplyLost || simulation.storedDeposit !== sent) return;
  confirmDeposits(holder, statement, now);
  simulation.depositState = { ...simulation.depositState, confirmed: statement.tokens };
};

const runEvent = (
  simulation: Simulation,
  event: RateEvent,
  now: number,
  makeSuccessor: MakeSuccessor,
): void => {
  const consumer = simulation.consumers[event.vm];
  if (!consumer) return;
  if (event.kind === 'call') {
    const draw = {
      workspace,
      need: event.tokens,
      want: event.tokens + 50,
      requester: `vm-${event.vm}`,
    };
    const reply = handleDraw(simulation.holder, draw, limit, now);
    const arrivedAt = now + event.replyDelayMs;
    if (reply.kind !== 'granted' || event.isReplyLost) return;
    const { slot, tokens } = reply;
    addGrant(consumer, workspace, { epoch: simulation.holder.epoch, slot, tokens }, now);
    const reservation = reserveTokens(consumer, workspace, event.tokens, arrivedAt);
    if (reservation)
      simulation.openRequests.push({
        vm: event.vm,
        reservation,
        tokens: event.tokens,
        reservedAt: arrivedAt,
      });
  } else if (event.kind === 'settle') {
    const [request] = simulation.openRequests.splice(0, 1);
    const requestConsumer = request && simulation.consumers[request.vm];
    if (!request || !requestConsumer) return;
    const used = Math.floor((request.tokens * event.usedPercent) / 100);
    if (used > 0) simulation.spends.push({ spentAt: request.reservedAt, tokens: used });
    settleReservation(requestConsumer, request.reservation, used);
  } else if (event.kind === 'return') {
    const returns = collectReturns(consumer, now);
    if (!event.isReplyLost)
      returns.forEach((returned) => acceptReturn(simulation.holder, returned.epoch, returned, now));
  } else if (event.kind === 'hand-over') {
    const levels = exportLevels(simulation.holder, now);
    replaceHolder(
      simulation,
      makeHolder(0, simulation.holder.epoch + 1, now + grantLifetimeMs, levels),
    );
  } else if (event.kind === 'deposit') {
    runDeposit(simulation, event, now);
  } else {
    replaceHolder(simulation, makeSuccessor(simulation, now));
  }
};

const measureOverspend = (events: readonly RateEvent[], makeSuccessor: MakeSuccessor): number => {
  const simulation: Simulation = {
    holder: makeHolder(0, 1, 0, allBucketsFull),
    depositState: noDeposits,
    storedDeposit: undefined,
    delayedStatement: undefined,
    consumers: Array.from({ length: vmCount }, makeRateConsumer),
    openRequests: [],
    spends: [],
  };
  let now = 0;
  events.forEach((event) => {
    now += event.waitMs;
    runEvent(simulation, event, now, makeSuccessor);
  });
  simulation.openRequests.forEach((request) =>
    simulation.spends.push({ spentAt: request.reservedAt, tokens: request.tokens }),
  );
  return findOverspend([...simulation.spends].sort((a, b) => a.spentAt - b.spentAt));
};

test('no interleaving of draws, lost replies, returns, deposits and fail-overs overspends', (t) => {
  fc.assert(
    fc.property(fc.array(eventArbitrary, { maxLength: 120, size: 'max' }), (events) => {
      const overspend = measureOverspend(events, succeedFromDeposit);
      t.true(overspend < 0.01, `overspend ${overspend}`);
    }),
    { numRuns: 2_000, seed: 43 },
  );
});

test('a successor that starts with full buckets overspends, so the property detects the fault', (t) => {
  const result = fc.check(
    fc.property(
      fc.array(eventArbitrary, { maxLength: 120, size: 'max' }),
      (events) => measureOverspend(events, succeedWithFullBuckets) < 0.01,
    ),
    { numRuns: 2_000, seed: 43 },
  );
  t.true(result.failed);
});

test('a draw beyond the burst is never granted', (t) => {
  const holder = makeHolder(0, 1, 0, allBucketsFull);
  const draw = { workspace, need: limit.burst + 1, want: 0, requester: 'vm-1' };
  t.deepEqual(handleDraw(holder, draw, limit, 0), { kind: 'never' });
});

test('a grant expires relative to the time at which its draw was sent', (t) => {
  const consumer = makeRateConsumer();
  addGrant(consumer, workspace, { epoch: 1, slot: 0, tokens: 100 }, 0);
  t.is(reserveTokens(consumer, workspace, 100, grantLifetimeMs), undefined);
  t.deepEqual(collectReturns(consumer, grantLifetimeMs), [
    { workspace, epoch: 1, slot: 0, settled: 100, unused: 100 },
  ]);
});

test('a hand-over preserves the levels of workspaces that have not drawn', (t) => {
  const fullHolder = makeHolder(0, 1, 0, allBucketsFull);
  const fullSuccessor = makeHolder(0, 2, 10_500, exportLevels(fullHolder, 10_000));
  const draw = { workspace, need: limit.burst, want: limit.burst, requester: 'vm-1' };
  t.is(handleDraw(fullSuccessor, draw, limit, 10_500).kind, 'granted');
  const emptyHolder = makeHolder(0, 3, 0, allBucketsEmpty);
  const emptySuccessor = makeHolder(0, 4, 5_500, exportLevels(emptyHolder, 5_000));
  const halfBurstDraw = { workspace, need: 500, want: 500, requester: 'vm-1' };
  t.is(handleDraw(emptySuccessor, { ...halfBurstDraw, need: 501 }, limit, 5_500).kind, 'short');
  t.is(handleDraw(emptySuccessor, halfBurstDraw, limit, 5_500).kind, 'granted');
});

test('a new holder reports that its buckets do not refill yet', (t) => {
  const holder = makeHolder(0, 2, grantLifetimeMs, allBucketsEmpty);
  const draw = { workspace, need: 10, want: 10, requester: 'vm-1' };
  const early = handleDraw(holder, draw, limit, 0);
  t.true(early.kind === 'short' && early.starting);
  const later = handleDraw(holder, draw, limit, grantLifetimeMs);
  t.true(later.kind === 'short' && !later.starting);
});
