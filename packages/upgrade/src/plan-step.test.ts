import test from 'ava';
import fc from 'fast-check';
import { leavingPropagationMs, planUpgradeStep, type ObservedServer } from './plan-step.js';

const slots = 4;
const makeServer = (name: string, changes: Partial<ObservedServer> = {}): ObservedServer => ({
  name,
  role: 'decode',
  model: 'm',
  version: 'v1',
  state: 'serving',
  heldRequests: 0,
  leavingSince: undefined,
  ...changes,
});

const makeView = (servers: ObservedServer[], now = 100_000) => ({
  model: 'm',
  targetVersion: 'v2',
  slots,
  servers,
  now,
  drainMs: 60_000,
});

test('no step is planned when all servers run the target version', (t) => {
  t.deepEqual(planUpgradeStep(makeView([makeServer('a', { version: 'v2' })])), { kind: 'none' });
});

test('the least busy server is drained while the others have capacity', (t) => {
  const servers = [
    makeServer('a', { heldRequests: 3 }),
    makeServer('b', { heldRequests: 1 }),
    makeServer('c', { heldRequests: 2 }),
  ];
  t.deepEqual(planUpgradeStep(makeView(servers)), { kind: 'drain', server: 'b' });
  const fullServers = servers.map((s) => ({ ...s, heldRequests: slots }));
  t.deepEqual(planUpgradeStep(makeView(fullServers)), { kind: 'wait', reason: 'capacity' });
});

test('the only server of a role is never drained', (t) => {
  t.deepEqual(planUpgradeStep(makeView([makeServer('a')])), { kind: 'wait', reason: 'capacity' });
});

test('a leaving server loads the target version when it is drained or the drain times out', (t) => {
  const makeLeavingView = (heldRequests: number, sinceMs: number) =>
    makeView([makeServer('a', { heldRequests, leavingSince: 100_000 - sinceMs }), makeServer('b')]);
  t.deepEqual(planUpgradeStep(makeLeavingView(0, 100)), { kind: 'wait', reason: 'draining' });
  t.deepEqual(planUpgradeStep(makeLeavingView(1, 10_000)), { kind: 'wait', reason: 'draining' });
  const loadStep = { kind: 'load', server: 'a', version: 'v2' };
  t.deepEqual(planUpgradeStep(makeLeavingView(0, leavingPropagationMs)), loadStep);
  t.deepEqual(planUpgradeStep(makeLeavingView(1, 60_000)), loadStep);
});

test('an upgraded server is reopened before the next one is drained', (t) => {
  const servers = [makeServer('a', { version: 'v2', leavingSince: 1 }), makeServer('b')];
  t.deepEqual(planUpgradeStep(makeView(servers)), { kind: 'reopen', server: 'a' });
  const loading = [makeServer('a', { state: 'loading', leavingSince: 1 }), makeServer('b')];
  t.deepEqual(planUpgradeStep(makeView(loading)), { kind: 'wait', reason: 'loading' });
});

test('a document change during an upgrade only changes the target version', (t) => {
  const servers = [makeServer('a', { version: 'v2', leavingSince: 1 }), makeServer('b')];
  const changed = { ...makeView(servers), targetVersion: 'v3' };
  t.deepEqual(planUpgradeStep(changed), { kind: 'load', server: 'a', version: 'v3' });
});

test('at most one server is drained at a time, and all are upgraded even if load orders are lost', (t) => {
  const setupArbitrary = fc.record({
    decodeCount: fc.integer({ min: 2, max: 5 }),
    prefillCount: fc.integer({ min: 2, max: 4 }),
    heldCounts: fc.array(fc.integer({ min: 0, max: 1 }), { minLength: 9, maxLength: 9 }),
    lostOrderCount: fc.integer({ min: 0, max: 3 }),
  });
  fc.assert(
    fc.property(setupArbitrary, ({ decodeCount, prefillCount, heldCounts, lostOrderCount }) => {
      let servers = [
        ...Array.from({ length: decodeCount }, (_, i) =>
          makeServer(`d${i}`, { heldRequests: heldCounts[i] ?? 0 }),
        ),
        ...Array.from({ length: prefillCount }, (_, i) =>
          makeServer(`p${i}`, { role: 'prefill' as const }),
        ),
      ];
      let remainingLosses = lostOrderCount;
      const updateServer = (name: string, changes: Partial<ObservedServer>): void => {
        servers = servers.map((s) => (s.name === name ? { ...s, ...changes } : s));
      };
      for (let now = 0; now < 2_000_000; now += 1_000) {
        const step = planUpgradeStep(makeView(servers, now));
        if (step.kind === 'drain') updateServer(step.server, { leavingSince: now });
        if (step.kind === 'reopen') updateServer(step.server, { leavingSince: undefined });
        if (step.kind === 'load') {
          t.is(servers.find((s) => s.name === step.server)?.heldRequests, 0);
          if (remainingLosses > 0) remainingLosses -= 1;
          else updateServer(step.server, { version: step.version });
        }
        servers
          .filter((s) => s.leavingSince !== undefined)
          .forEach((s) => updateServer(s.name, { heldRequests: Math.max(0, s.heldRequests - 1) }));
        t.true(servers.filter((s) => s.leavingSince !== undefined).length <= 1);
      }
      t.true(servers.every((s) => s.version === 'v2' && s.leavingSince === undefined));
    }),
    { numRuns: 30, seed: 48 },
  );
});
