import test from 'ava';
import fc from 'fast-check';
import { makeFairQueue } from './fair-queue.js';
import { makePoolScheduler } from './pool-scheduler.js';
import type { PlacementDecision, PlacementRequest, PoolMember } from './pool-types.js';
import { chooseOfTwo } from './two-choices.js';

const limits = { slots: 2, prefillRate: 1_000, pieceTokens: 100, patientShare: 0.3 };

const members: PoolMember[] = [
  { name: 'p1', role: 'prefill', dataCentre: 'a', accepting: true },
  { name: 'p2', role: 'prefill', dataCentre: 'b', accepting: true },
  { name: 'd1', role: 'decode', dataCentre: 'a', accepting: true },
  { name: 'd2', role: 'decode', dataCentre: 'b', accepting: true },
];

let nextId = 0;
const ask = (changes: Partial<PlacementRequest> = {}): PlacementRequest => {
  nextId += 1;
  return {
    id: `r${nextId}`,
    owner: 'vm-1',
    workspace: 'forge',
    weight: 1,
    class: 'patient',
    promptTokens: 100,
    pieces: [],
    maxTokens: 10,
    firstTokenDeadline: 60_000,
    ...changes,
  };
};

const openPool = () => {
  const pool = makePoolScheduler();
  pool.setMembers(members, limits, 0);
  return pool;
};

const listAssigned = (decisions: readonly PlacementDecision[]) =>
  decisions.flatMap((d) => (d.kind === 'assigned' ? [d] : []));

test('no prefill begins without a decode slot', (t) => {
  const pool = openPool();
  const assigned = Array.from({ length: 8 }, (_, i) => pool.enqueue(ask(), i * 500))
    .flat()
    .filter((d) => d.kind === 'assigned');
  t.is(assigned.length, 4);
});

test('a slot that is freed goes to the next in the queue', (t) => {
  const pool = openPool();
  const first = Array.from({ length: 4 }, (_, i) => pool.enqueue(ask(), i * 500)).flat();
  const waiting = ask();
  t.deepEqual(pool.enqueue(waiting, 2_000), []);
  first.forEach((d) => pool.endPrefill(d.id, 2_000));
  const next = listAssigned(pool.release(first[0]?.id ?? '', 2_100));
  t.deepEqual(
    next.map((d) => d.id),
    [waiting.id],
  );
});

test('urgent work goes first, but patient work keeps its share', (t) => {
  const pool = openPool();
  const running = Array.from({ length: 4 }, (_, i) => ask({ class: i < 2 ? 'patient' : 'urgent' }));
  running.forEach((r, i) => pool.enqueue(r, i * 500));
  running.forEach((r) => pool.endPrefill(r.id, 2_000));
  const patient = ask();
  const urgent = ask({ class: 'urgent' });
  pool.enqueue(patient, 2_000);
  pool.enqueue(urgent, 2_000);
  const [first] = listAssigned(pool.release(running[2]?.id ?? '', 2_100));
  t.is(first?.id, urgent.id);
  pool.endPrefill(urgent.id, 2_300);
  pool.enqueue(ask({ class: 'urgent' }), 2_350);
  const [second] = listAssigned(pool.release(running[0]?.id ?? '', 2_400));
  t.is(second?.id, patient.id);
});

test('a request that would be late is refused at once with when to come back', (t) => {
  const pool = openPool();
  Array.from({ length: 4 }, (_, i) => pool.enqueue(ask(), i * 500));
  const [decision] = pool.enqueue(ask({ firstTokenDeadline: 2_150 }), 2_000);
  t.is(decision?.kind, 'refused');
  t.true(decision?.kind === 'refused' && decision.retryAfterMs >= 250);
});

test('a request that has become late in the queue is refused, not held', (t) => {
  const pool = openPool();
  const running = Array.from({ length: 4 }, (_, i) => pool.enqueue(ask(), i * 500)).flat();
  running.forEach((d) => pool.endPrefill(d.id, 2_000));
  const waiting = ask({ firstTokenDeadline: 9_000 });
  pool.enqueue(waiting, 2_000);
  const [decision] = pool.tick(9_001);
  t.deepEqual([decision?.id, decision?.kind], [waiting.id, 'refused']);
});

test('a prompt goes where its pieces probably are', (t) => {
  const pool = openPool();
  const pieces = ['x1', 'x2', 'x3', 'x4'];
  const [first] = listAssigned(pool.enqueue(ask({ promptTokens: 450, pieces }), 0));
  pool.endPrefill(first?.id ?? '', 450);
  const [second] = listAssigned(pool.enqueue(ask({ promptTokens: 450, pieces }), 1_000));
  t.is(second?.prefill, first?.prefill);
});

test('a leaving or suspended server gets nothing', (t) => {
  const pool = openPool();
  pool.setMembers(
    members.map((m) => ({ ...m, accepting: m.name !== 'd1' })),
    limits,
    0,
  );
  pool.suspend('p1', 10_000);
  const assigned = Array.from({ length: 4 }, (_, i) => pool.enqueue(ask(), i * 500)).flat();
  const placed = listAssigned(assigned);
  t.deepEqual([...new Set(placed.map((d) => d.decode))], ['d2']);
  t.deepEqual([...new Set(placed.map((d) => d.prefill))], ['p2']);
});

test('slots that others have taken are counted', (t) => {
  const pool = openPool();
  pool.reconcile('d1', ['foreign-1', 'foreign-2'], 0);
  const placed = Array.from({ length: 4 }, (_, i) => pool.enqueue(ask(), i * 500)).flat();
  t.true(listAssigned(placed).every((d) => d.decode === 'd2'));
  t.is(listAssigned(placed).length, 2);
});

test('slots of a VM that died come back when its engine no longer lists them', (t) => {
  const pool = openPool();
  const placed = Array.from({ length: 4 }, (_, i) => pool.enqueue(ask(), i * 500)).flat();
  const waiting = ask();
  pool.enqueue(waiting, 2_000);
  pool.tick(20_000);
  pool.reconcile('d1', [], 20_000);
  const next = [
    ...listAssigned(pool.reconcile('d2', [], 20_001)),
    ...listAssigned(pool.tick(20_002)),
  ];
  t.is(placed.length, 4);
  t.true(pool.describe().queued.patient === 0 || next.length > 0);
});

const inputs = fc.array(
  fc.record({
    waitMs: fc.integer({ min: 0, max: 400 }),
    kind: fc.constantFrom('ask', 'ask', 'end-prefill', 'release', 'suspend', 'tick'),
    pick: fc.nat({ max: 30 }),
    urgent: fc.boolean(),
    dueInMs: fc.integer({ min: 100, max: 5_000 }),
  }),
  { size: 'max', maxLength: 120 },
);

test('whatever happens, no slot is given twice and every request gets one decision', (t) => {
  fc.assert(
    fc.property(inputs, (events) => {
      const pool = openPool();
      const decided = new Map<string, string>();
      const held = new Map<string, string>();
      let now = 0;
      const take = (decisions: readonly PlacementDecision[]): void =>
        decisions.forEach((d) => {
          t.false(decided.has(d.id), 'decided twice');
          decided.set(d.id, d.kind);
          if (d.kind !== 'assigned') return;
          held.set(d.id, d.decode);
          const taken = [...held.values()].filter((name) => name === d.decode).length;
          t.true(taken <= limits.slots, 'slot given twice');
        });
      const asked: string[] = [];
      events.forEach((e) => {
        now += e.waitMs;
        const id = [...held.keys()][e.pick % Math.max(1, held.size)] ?? '';
        if (e.kind === 'ask') {
          const req = ask({
            class: e.urgent ? 'urgent' : 'patient',
            firstTokenDeadline: now + e.dueInMs,
            workspace: `w${e.pick % 3}`,
          });
          asked.push(req.id);
          take(pool.enqueue(req, now));
        }
        if (e.kind === 'end-prefill') take(pool.endPrefill(id, now));
        if (e.kind === 'release') {
          held.delete(id);
          take(pool.release(id, now));
        }
        if (e.kind === 'suspend') pool.suspend('p1', now + 300);
        if (e.kind === 'tick') take(pool.tick(now));
      });
      take(pool.tick(now + 100_000));
      t.true(asked.every((id) => decided.has(id)));
    }),
    { numRuns: 500, seed: 47 },
  );
});

test('a flooding workspace delays only itself', (t) => {
  const queue = makeFairQueue();
  for (let i = 0; i < 50; i += 1) queue.push(ask({ workspace: 'flood', id: `f${i}` }));
  queue.push(ask({ workspace: 'small', id: 'small' }));
  const order = [queue.take(100), queue.take(100), queue.take(100)].map((r) => r?.id);
  t.true(order.includes('small'));
});

test('workspaces share by weight, whatever order they ask in', (t) => {
  const queue = makeFairQueue();
  for (let i = 0; i < 300; i += 1) {
    queue.push(ask({ workspace: 'a', weight: 1 }));
    queue.push(ask({ workspace: 'b', weight: 3 }));
  }
  const served = Array.from({ length: 200 }, () => queue.take(100)?.workspace);
  t.is(served.filter((w) => w === 'b').length, 150);
});

test('two random choices take the less loaded', (t) => {
  const draws = [0.1, 0.9];
  t.is(
    chooseOfTwo(
      ['a', 'b'],
      (n) => (n === 'a' ? 5 : 1),
      () => draws.shift() ?? 0,
    ),
    'b',
  );
});
