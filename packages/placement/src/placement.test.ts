import test from 'ava';
import fc from 'fast-check';
import { makeFairQueue } from './fair-queue.js';
import { makePoolScheduler } from './pool-scheduler.js';
import type { PlacementDecision, PlacementRequest, PoolMember } from './pool-types.js';
import { chooseOfTwo } from './two-choices.js';

const limits = { slots: 2, prefillRate: 1_000, pieceTokens: 100, patientShare: 0.3 };

const members: PoolMember[] = [
  { name: 'p1', role: 'prefill', dataCentre: 'a', isAccepting: true },
  { name: 'p2', role: 'prefill', dataCentre: 'b', isAccepting: true },
  { name: 'd1', role: 'decode', dataCentre: 'a', isAccepting: true },
  { name: 'd2', role: 'decode', dataCentre: 'b', isAccepting: true },
];

let nextId = 0;
const makeRequest = (changes: Partial<PlacementRequest> = {}): PlacementRequest => {
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

const makePool = () => {
  const pool = makePoolScheduler();
  pool.setMembers(members, limits, 0);
  return pool;
};

const listAssigned = (decisions: readonly PlacementDecision[]) =>
  decisions.flatMap((decision) => (decision.kind === 'assigned' ? [decision] : []));

test('no prefill starts without a decode slot', (t) => {
  const pool = makePool();
  const assigned = Array.from({ length: 8 }, (_, i) => pool.enqueue(makeRequest(), i * 500))
    .flat()
    .filter((decision) => decision.kind === 'assigned');
  t.is(assigned.length, 4);
});

test('a freed slot is assigned to the next request in the queue', (t) => {
  const pool = makePool();
  const decisions = Array.from({ length: 4 }, (_, i) =>
    pool.enqueue(makeRequest(), i * 500),
  ).flat();
  const waiting = makeRequest();
  t.deepEqual(pool.enqueue(waiting, 2_000), []);
  decisions.forEach((decision) => pool.endPrefill(decision.id, 2_000));
  const next = listAssigned(pool.release(decisions[0]?.id ?? '', 2_100));
  t.deepEqual(
    next.map((decision) => decision.id),
    [waiting.id],
  );
});

test('urgent requests go first, but patient requests keep their share of the slots', (t) => {
  const pool = makePool();
  const running = Array.from({ length: 4 }, (_, i) =>
    makeRequest({ class: i < 2 ? 'patient' : 'urgent' }),
  );
  running.forEach((r, i) => pool.enqueue(r, i * 500));
  running.forEach((r) => pool.endPrefill(r.id, 2_000));
  const patient = makeRequest();
  const urgent = makeRequest({ class: 'urgent' });
  pool.enqueue(patient, 2_000);
  pool.enqueue(urgent, 2_000);
  const [firstAssigned] = listAssigned(pool.release(running[2]?.id ?? '', 2_100));
  t.is(firstAssigned?.id, urgent.id);
  pool.endPrefill(urgent.id, 2_300);
  pool.enqueue(makeRequest({ class: 'urgent' }), 2_350);
  const [secondAssigned] = listAssigned(pool.release(running[0]?.id ?? '', 2_400));
  t.is(secondAssigned?.id, patient.id);
});

test('a request that would be late is refused immediately, with a retry delay', (t) => {
  const pool = makePool();
  Array.from({ length: 4 }, (_, i) => pool.enqueue(makeRequest(), i * 500));
  const [decision] = pool.enqueue(makeRequest({ firstTokenDeadline: 2_150 }), 2_000);
  t.is(decision?.kind, 'refused');
  t.true(decision?.kind === 'refused' && decision.retryAfterMs >= 250);
});

test('a queued request is refused when its deadline has passed', (t) => {
  const pool = makePool();
  const running = Array.from({ length: 4 }, (_, i) => pool.enqueue(makeRequest(), i * 500)).flat();
  running.forEach((decision) => pool.endPrefill(decision.id, 2_000));
  const waiting = makeRequest({ firstTokenDeadline: 9_000 });
  pool.enqueue(waiting, 2_000);
  const [decision] = pool.tick(9_001);
  t.deepEqual([decision?.id, decision?.kind], [waiting.id, 'refused']);
});

test('a prompt is assigned to the prefill server that probably caches its pieces', (t) => {
  const pool = makePool();
  const pieces = ['x1', 'x2', 'x3', 'x4'];
  const [firstAssigned] = listAssigned(pool.enqueue(makeRequest({ promptTokens: 450, pieces }), 0));
  pool.endPrefill(firstAssigned?.id ?? '', 450);
  const [secondAssigned] = listAssigned(
    pool.enqueue(makeRequest({ promptTokens: 450, pieces }), 1_000),
  );
  t.is(secondAssigned?.prefill, firstAssigned?.prefill);
});

test('a leaving or suspended server gets no requests', (t) => {
  const pool = makePool();
  pool.setMembers(
    members.map((m) => ({ ...m, isAccepting: m.name !== 'd1' })),
    limits,
    0,
  );
  pool.suspend('p1', 10_000);
  const decisions = Array.from({ length: 4 }, (_, i) =>
    pool.enqueue(makeRequest(), i * 500),
  ).flat();
  const assigned = listAssigned(decisions);
  t.deepEqual([...new Set(assigned.map((decision) => decision.decode))], ['d2']);
  t.deepEqual([...new Set(assigned.map((decision) => decision.prefill))], ['p2']);
});

test('slots used by requests that this scheduler did not place are counted', (t) => {
  const pool = makePool();
  pool.reconcile('d1', ['external-1', 'external-2'], 0);
  const decisions = Array.from({ length: 4 }, (_, i) =>
    pool.enqueue(makeRequest(), i * 500),
  ).flat();
  t.true(listAssigned(decisions).every((decision) => decision.decode === 'd2'));
  t.is(listAssigned(decisions).length, 2);
});

test('slots of a VM that died are freed when the engine no longer lists them', (t) => {
  const pool = makePool();
  const decisions = Array.from({ length: 4 }, (_, i) =>
    pool.enqueue(makeRequest(), i * 500),
  ).flat();
  const waiting = makeRequest();
  pool.enqueue(waiting, 2_000);
  pool.tick(20_000);
  pool.reconcile('d1', [], 20_000);
  const next = [
    ...listAssigned(pool.reconcile('d2', [], 20_001)),
    ...listAssigned(pool.tick(20_002)),
  ];
  t.is(decisions.length, 4);
  t.true(pool.describe().queued.patient === 0 || next.length > 0);
});

const eventsArbitrary = fc.array(
  fc.record({
    waitMs: fc.integer({ min: 0, max: 400 }),
    kind: fc.constantFrom('enqueue', 'enqueue', 'end-prefill', 'release', 'suspend', 'tick'),
    index: fc.nat({ max: 30 }),
    isUrgent: fc.boolean(),
    firstTokenDueMs: fc.integer({ min: 100, max: 5_000 }),
  }),
  { size: 'max', maxLength: 120 },
);

test('in any order of events, no slot is assigned twice and every request gets one decision', (t) => {
  fc.assert(
    fc.property(eventsArbitrary, (events) => {
      const pool = makePool();
      const decisionKinds = new Map<string, string>();
      const decodeByRequest = new Map<string, string>();
      let now = 0;
      const recordDecisions = (decisions: readonly PlacementDecision[]): void =>
        decisions.forEach((decision) => {
          t.false(decisionKinds.has(decision.id), 'two decisions for one request');
          decisionKinds.set(decision.id, decision.kind);
          if (decision.kind !== 'assigned') return;
          decodeByRequest.set(decision.id, decision.decode);
          const occupied = [...decodeByRequest.values()].filter(
            (name) => name === decision.decode,
          ).length;
          t.true(occupied <= limits.slots, 'slot assigned twice');
        });
      const enqueued: string[] = [];
      events.forEach((event) => {
        now += event.waitMs;
        const id =
          [...decodeByRequest.keys()][event.index % Math.max(1, decodeByRequest.size)] ?? '';
        if (event.kind === 'enqueue') {
          const req = makeRequest({
            class: event.isUrgent ? 'urgent' : 'patient',
            firstTokenDeadline: now + event.firstTokenDueMs,
            workspace: `w${event.index % 3}`,
          });
          enqueued.push(req.id);
          recordDecisions(pool.enqueue(req, now));
        }
        if (event.kind === 'end-prefill') recordDecisions(pool.endPrefill(id, now));
        if (event.kind === 'release') {
          decodeByRequest.delete(id);
          recordDecisions(pool.release(id, now));
        }
        if (event.kind === 'suspend') pool.suspend('p1', now + 300);
        if (event.kind === 'tick') recordDecisions(pool.tick(now));
      });
      recordDecisions(pool.tick(now + 100_000));
      t.true(enqueued.every((id) => decisionKinds.has(id)));
    }),
    { numRuns: 500, seed: 47 },
  );
});

test('a workspace that sends too many requests delays only its own requests', (t) => {
  const queue = makeFairQueue();
  for (let i = 0; i < 50; i += 1) queue.push(makeRequest({ workspace: 'flood', id: `f${i}` }));
  queue.push(makeRequest({ workspace: 'small', id: 'small' }));
  const order = [queue.dequeue(100), queue.dequeue(100), queue.dequeue(100)].map((r) => r?.id);
  t.true(order.includes('small'));
});

test('workspaces are served in proportion to their weights', (t) => {
  const queue = makeFairQueue();
  for (let i = 0; i < 300; i += 1) {
    queue.push(makeRequest({ workspace: 'a', weight: 1 }));
    queue.push(makeRequest({ workspace: 'b', weight: 3 }));
  }
  const served = Array.from({ length: 200 }, () => queue.dequeue(100)?.workspace);
  t.is(served.filter((w) => w === 'b').length, 150);
});

test('chooseOfTwo chooses the less loaded of two random candidates', (t) => {
  const randomValues = [0.1, 0.9];
  t.is(
    chooseOfTwo(
      ['a', 'b'],
      (n) => (n === 'a' ? 5 : 1),
      () => randomValues.shift() ?? 0,
    ),
    'b',
  );
});
