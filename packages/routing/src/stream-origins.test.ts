import test from 'ava';
import { chooseHolders } from './choose-holders.js';
import { makeServer } from './fixtures.js';
import { makeStreamOrigins } from './stream-origins.js';
import { makeVersionHistory, maxStreamLifeMs } from './version-history.js';

const origin = { service: 'llm', softwareVersion: 'v1' };

test('a stream is remembered until its caller can take it up no longer, as it began', (t) => {
  const origins = makeStreamOrigins();
  origins.record('r1', origin, 1_000);
  origins.record('r1', { ...origin, softwareVersion: 'v2' }, 9_000);
  t.deepEqual(origins.find('r1', 999), origin);
  t.is(origins.find('r1', 1_000), undefined);
  t.is(origins.find('r2', 0), undefined);
  origins.prune(1_000);
  origins.record('r1', { ...origin, softwareVersion: 'v3' }, 9_000);
  t.is(origins.find('r1', 1_000)?.softwareVersion, 'v3');
});

const listServers = (...versions: readonly string[]) =>
  versions.map((softwareVersion, n) =>
    makeServer({ id: `i-${n}`, service: 'llm', softwareVersion }),
  );

test('a service has an only version once no other was listed for the life of a stream', (t) => {
  const history = makeVersionHistory(0);
  history.update(listServers('v1'), 0);
  t.deepEqual(history.getState('llm', maxStreamLifeMs - 1), { kind: 'unknown' });
  t.deepEqual(history.getState('llm', maxStreamLifeMs), { kind: 'only', softwareVersion: 'v1' });
  history.update(listServers('v1', 'v2'), 70_000);
  t.deepEqual(history.getState('llm', 70_000), { kind: 'several' });
  history.update(listServers('v2'), 80_000);
  t.deepEqual(history.getState('llm', 80_000 + maxStreamLifeMs - 1), { kind: 'several' });
  t.deepEqual(history.getState('llm', 80_000 + maxStreamLifeMs), {
    kind: 'only',
    softwareVersion: 'v2',
  });
  t.deepEqual(history.getState('desk', 200_000), { kind: 'unknown' });
});

test('at the first start of the system no earlier version has been', (t) => {
  const history = makeVersionHistory(Number.NEGATIVE_INFINITY);
  history.update(listServers('v1'), 5);
  t.deepEqual(history.getState('llm', 6), { kind: 'only', softwareVersion: 'v1' });
});

const vms = Array.from({ length: 40 }, (_, n) => `vm-${n}`);

test('the holders of a key stay the same as VMs come and go, but for the one that is gone', (t) => {
  const keys = Array.from({ length: 400 }, (_, n) => `request-${n}`);
  keys.forEach((key) => {
    const holders = chooseHolders(key, vms, 3);
    t.is(new Set(holders).size, 3);
    t.deepEqual(chooseHolders(key, [...vms].reverse(), 3), holders);
    const [first = ''] = holders;
    const rest = chooseHolders(
      key,
      vms.filter((vm) => vm !== first),
      3,
    );
    t.deepEqual(rest.slice(0, 2), holders.slice(1));
  });
});

test('keys are spread over all VMs', (t) => {
  const counts = new Map<string, number>();
  for (let n = 0; n < 4_000; n += 1)
    chooseHolders(n.toString(16), vms, 3).forEach((vm) =>
      counts.set(vm, (counts.get(vm) ?? 0) + 1),
    );
  vms.forEach((vm) => {
    const count = counts.get(vm) ?? 0;
    t.true(count > 200 && count < 400, `${vm} holds ${count}`);
  });
});
