import test from 'ava';
import type { EngineStage } from '@hemlocksill/types/routing.js';
import type { EngineReport, OrderOutcome, StageOrder } from '@hemlocksill/types/routing-ports.js';
import { engineLimits, makeServer } from '@hemlocksill/routing/fixtures.js';
import { makeStageController } from './stage-controller.js';

const demand = { decodeEngines: 2.4, prefillEngines: 0.8 };

/** Runs a controller over six engines on a manual clock. */
const makeScenario = () => {
  const stages = new Map<string, EngineStage>(
    [...'pppddd'].map((letter, n) => [`e${n}`, letter === 'p' ? 'prefill' : 'decode']),
  );
  const orders: { server: string; order: StageOrder }[] = [];
  const state = {
    now: 0,
    fence: 7 as number | undefined,
    isResponsible: true,
    report: { isBusy: false, acceptedOrders: 3 } as Partial<EngineReport> | undefined,
    outcomes: [] as OrderOutcome[],
    hasAbandoned: false,
    announced: new Set<string>(),
    announcements: 0,
  };
  const controller = makeStageController({
    backends: {
      report: (server, onDone) =>
        onDone(
          state.report && {
            stage: stages.get(server.id) ?? 'decode',
            isBusy: false,
            startedAt: 1,
            acceptedOrders: 0,
            ...state.report,
          },
        ),
      order: (server, order, onDone) => {
        orders.push({ server: server.id, order });
        const outcome = state.outcomes.shift() ?? 'accepted';
        if (outcome === 'accepted') stages.set(server.id, order.stage);
        onDone(outcome);
      },
    },
    lock: {
      keep: () => {},
      getFence: () => state.fence,
      abandon: () => {
        state.hasAbandoned = true;
        state.fence = undefined;
      },
    },
    holder: 'vm-1 x',
    isResponsible: () => state.isResponsible,
    listServices: () => [
      {
        engine: engineLimits,
        servers: [...stages].map(([id, stage]) => makeServer({ id, stage, service: 'llm' })),
        demand,
      },
    ],
    listAnnounced: () => state.announced,
    announce: () => {
      state.announcements += 1;
    },
    log: () => {},
    now: () => state.now,
  });
  const runUntil = (until: number): void => {
    for (; state.now < until; state.now += 100) controller.tick(state.now);
  };
  return { state, orders, stages, controller, runUntil };
};

test('a change that no VM knows of any more is found when the engine rejects a run, and announced', (t) => {
  const { state, orders, stages, controller, runUntil } = makeScenario();
  state.isResponsible = false;
  const server = makeServer({ id: 'e3', stage: 'decode', service: 'llm', startedAt: 1 });
  const findChange = (): boolean | undefined => {
    let result: boolean | undefined;
    controller.findChange(server, (isChanging) => {
      result = isChanging;
    });
    return result;
  };
  t.false(findChange());
  t.is(state.announcements, 0);
  state.report = { isBusy: true };
  t.true(findChange());
  t.true(findChange());
  t.deepEqual(controller.listChanging(), ['e3']);
  t.is(state.announcements, 1);
  runUntil(5_000);
  t.deepEqual(controller.listChanging(), ['e3']);
  stages.set('e3', 'prefill');
  state.report = { isBusy: false };
  runUntil(7_000);
  t.deepEqual(controller.listChanging(), []);
  t.is(orders.length, 0);
});

test('a change is announced before it is ordered, and until the engine has finished', (t) => {
  const { state, orders, controller, runUntil } = makeScenario();
  runUntil(300);
  t.deepEqual(controller.listChanging(), ['e0']);
  t.is(state.announcements, 1);
  t.deepEqual(orders, []);
  runUntil(1_000);
  t.deepEqual(orders, [
    {
      server: 'e0',
      order: { stage: 'decode', holder: 'vm-1 x', fence: 7, expectedOrders: 3 },
    },
  ]);
  state.report = { isBusy: true };
  runUntil(8_000);
  t.deepEqual(controller.listChanging(), ['e0']);
  state.report = { isBusy: false };
  runUntil(10_000);
  t.deepEqual(controller.listChanging(), []);
  t.is(state.announcements, 2);
  t.is(orders.length, 1);
});

test('no order is given without the lock, by a VM that is not responsible, or beside another change', (t) => {
  const { state, orders, runUntil } = makeScenario();
  state.fence = undefined;
  runUntil(2_000);
  state.fence = 7;
  state.isResponsible = false;
  runUntil(4_000);
  state.isResponsible = true;
  state.announced = new Set(['e1']);
  runUntil(6_000);
  t.deepEqual(orders, []);
});

test('a lock that is lost between announcement and order stops the order', (t) => {
  const { state, orders, runUntil } = makeScenario();
  runUntil(300);
  state.fence = undefined;
  runUntil(5_000);
  t.deepEqual(orders, []);
  state.isResponsible = false;
  runUntil(5_500);
  state.isResponsible = true;
  t.deepEqual(orders, []);
});

test('after a higher fencing token was seen, no further order is given', (t) => {
  const { state, orders, runUntil } = makeScenario();
  state.outcomes = ['fenced'];
  runUntil(20_000);
  t.is(orders.length, 1);
  t.true(state.hasAbandoned);
});

test('an order without a response is repeated later with the number of orders then accepted', (t) => {
  const { state, orders, runUntil } = makeScenario();
  state.outcomes = ['unknown'];
  runUntil(1_000);
  state.report = { acceptedOrders: 4 };
  runUntil(3_000);
  t.is(orders.length, 1);
  runUntil(5_000);
  t.deepEqual(
    orders.map(({ order }) => order.expectedOrders),
    [3, 4],
  );
});

test('an engine that rejects its orders is given up and another one chosen', (t) => {
  const { state, orders, runUntil } = makeScenario();
  state.outcomes = ['rejected', 'rejected', 'rejected'];
  runUntil(15_000);
  t.deepEqual(
    orders.map(({ server }) => server),
    ['e0', 'e0', 'e0', 'e1'],
  );
});
