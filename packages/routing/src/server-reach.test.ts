import test from 'ava';
import { makeServerReach } from './server-reach.js';

test('a VM is partitioned when two servers in a row accept no connection, until one does', (t) => {
  const reach = makeServerReach();
  t.false(reach.recordFailed('i-1', 4, 0));
  t.false(reach.recordFailed('i-1', 4, 100));
  t.true(reach.recordFailed('i-2', 4, 200));
  t.false(reach.recordFailed('i-3', 4, 300));
  t.true(reach.isPartitioned());
  t.true(reach.recordConnected());
  t.false(reach.isPartitioned());
  t.false(reach.recordConnected());
});

// Guards against servers that are gone and are taken for a partition of the VM.
test('servers that fail with a connection in between, or long after each other, are no partition', (t) => {
  const reach = makeServerReach();
  reach.recordFailed('i-1', 4, 0);
  reach.recordConnected();
  t.false(reach.recordFailed('i-2', 4, 100));
  t.false(reach.recordFailed('i-3', 4, 4_000));
});

test('the only server is enough', (t) => {
  t.true(makeServerReach().recordFailed('i-1', 1, 0));
});
