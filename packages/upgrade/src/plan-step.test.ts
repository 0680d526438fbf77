import test from 'ava';
import fc from 'fast-check';
import { leavingPropagationMs, planUpgradeStep, type ObservedServer } from './plan-step.js';

const slots = 4;
const server = (name: string, changes: Partial<ObservedServer> = {}): ObservedServer => ({
  name,
  role: 'decode',
  model: 'm',
  version: 'v1',
  state: 'serving',
  heldRequests: 0,
  leavingSince: undefined,
  ...changes,
});

const view = (servers: ObservedServer[], now = 100_000) => ({
  model: 'm',
  targetVersion: 'v2',
  slots,
  servers,
  now,
  drainMs: 60_000,
});

test('no step is planned when all servers run the target version', (t) => {
  t.deepEqual(planUpgradeStep(view([server('a', { version: 'v2' })])), { kind: 'none' });
});

test('the least busy server is drained while the others have capacity', (t) => {
  const servers = [
    server('a', { heldRequests: 3 }),
    server('b', { heldRequests: 1 }),
    server('c', { heldRequests: 2 }),
  ];
  t.deepEqual(planUpgradeStep(view(servers)), { kind: 'drain', server: 'b' });
  const full = servers.map((s) => ({ ...s, heldRequests: slots }));
  t.deepEqual(planUpgradeStep(view(full)), { kind: 'wait', reason: 'capacity' });
});

test('the only server of a role is never drained', (t) => {
  t.deepEqual(planUpgradeStep(view([server('a')])), { kind: 'wait', reason: 'capacity' });
});

test('a leaving server loads the target version when it is drained or the drain times out', (t) => {
  const leaving = (held: number, sinceMs: number) =>
    view([server('a', { heldRequests: held, leavingSince: 100_000 - sinceMs }), server('b')]);
  t.deepEqual(planUpgradeStep(leaving(0, 100)), { kind: 'wait', reason: 'draining' });
  t.deepEqual(planUpgradeStep(leaving(1, 10_000)), { kind: 'wait', reason: 'draining' });
  const load = { kind: 'load', server: 'a', version: 'v2' };
  t.deepEqual(planUpgradeStep(leaving(0, leavingPropagationMs)), load);
  t.deepEqual(planUpgradeStep(leaving(1, 60_000)), load);
});

test('an upgraded server is reopened before the next one is drained', (t) => {
  const servers = [server('a', { version: 'v2', leavingSince: 1 }), server('b')];
  t.deepEqual(planUpgradeStep(view(servers)), { kind: 'reopen', server: 'a' });
  const loading = [server('a', { state: 'loading', leavingSince: 1 }), server('b')];
  t.deepEqual(planUpgradeStep(view(loading)), { kind: 'wait', reason: 'loading' });
});

test('a document change during an upgrade only changes the target version', (t) => {
  const servers = [server('a', { version: 'v2', leavingSince: 1 }), server('b')];
  const changed = { ...view(servers), targetVersion: 'v3' };
  t.deepEqual(planUpgradeStep(changed), { kind: 'load', server: 'a', version: 'v3' });
});

test('one server at a time is drained, and all are upgraded although orders are lost', (t) => {
  const setup = fc.record({
    decodes: fc.integer({ min: 2, max: 5 }),
    prefills: fc.integer({ min: 2, max: 4 }),
    held: fc.array(fc.integer({ min: 0, max: 1 }), { minLength: 9, maxLength: 9 }),
    lostOrders: fc.integer({ min: 0, max: 3 }),
  });
  fc.assert(
    fc.property(setup, ({ decodes, prefills, held, lostOrders }) => {
      let servers = [
        ...Array.from({ length: decodes }, (_, i) =>
          server(`d${i}`, { heldRequests: held[i] ?? 0 }),
        ),
        ...Array.from({ length: prefills }, (_, i) =>
          server(`p${i}`, { role: 'prefill' as const }),
        ),
      ];
      let remainingLosses = lostOrders;
      const change = (name: string, changes: Partial<ObservedServer>): void => {
        servers = servers.map((s) => (s.name === name ? { ...s, ...changes } : s));
      };
      for (let now = 0; now < 2_000_000; now += 1_000) {
        const step = planUpgradeStep(view(servers, now));
        if (step.kind === 'drain') change(step.server, { leavingSince: now });
        if (step.kind === 'reopen') change(step.server, { leavingSince: undefined });
        if (step.kind === 'load') {
          t.is(servers.find((s) => s.name === step.server)?.heldRequests, 0);
          if (remainingLosses > 0) remainingLosses -= 1;
          else change(step.server, { version: step.version });
        }
        servers
          .filter((s) => s.leavingSince !== undefined)
          .forEach((s) => change(s.name, { heldRequests: Math.max(0, s.heldRequests - 1) }));
        t.true(servers.filter((s) => s.leavingSince !== undefined).length <= 1);
      }
      t.true(servers.every((s) => s.version === 'v2' && s.leavingSince === undefined));
    }),
    { numRuns: 30, seed: 48 },
  );
});
