import test from 'ava';
import { makeServerReach } from './server-reach.js';

test('a VM is partitioned if no server is reached after two failed in a row, until one is', (t) => {
  const reach = makeServerReach();
  t.false(reach.recordFailed('i-1', 4, 0));
  t.false(reach.recordFailed('i-1', 4, 100));
  t.true(reach.recordFailed('i-2', 4, 200));
  t.false(reach.recordFailed('i-3', 4, 300));
  t.false(reach.isPartitioned());
  t.true(reach.confirm());
  t.true(reach.isPartitioned());
  t.true(reach.recordConnected());
  t.false(reach.isPartitioned());
  t.false(reach.recordConnected());
});

// Guards against several servers that are gone and are taken for a partition of the VM.
test('a VM that reaches another server is not partitioned', (t) => {
  const reach = makeServerReach();
  reach.recordFailed('i-1', 4, 0);
  t.true(reach.recordFailed('i-2', 4, 100));
  t.false(reach.recordConnected());
  t.false(reach.confirm());
  t.false(reach.isPartitioned());
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
