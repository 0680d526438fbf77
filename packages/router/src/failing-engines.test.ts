import test from 'ava';
import { makeFailingEngines } from './failing-engines.js';

test('a failure is told once, and again after it has expired', (t) => {
  const engines = makeFailingEngines();
  t.true(engines.record('p1', 0));
  t.false(engines.record('p1', 100));
  t.true(engines.record('p2', 100));
  t.deepEqual(engines.list(500), ['p1', 'p2']);
  t.deepEqual(engines.list(1_000), []);
  t.true(engines.record('p1', 1_000));
});
