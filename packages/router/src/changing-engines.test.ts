import test from 'ava';
import { makeChangingEngines } from './changing-engines.js';

test('an announcement counts until it is withdrawn', (t) => {
  const engines = makeChangingEngines();
  engines.recordPeer('a', ['e1', 'e2'], 0);
  engines.recordPeer('b', ['e3'], 0);
  t.deepEqual([...engines.list(100)], ['e1', 'e2', 'e3']);
  engines.recordPeer('a', [], 200);
  t.deepEqual([...engines.list(300)], ['e3']);
});

test('the announcement of a VM that left counts while the engine may still be changing', (t) => {
  const engines = makeChangingEngines();
  engines.recordPeer('a', ['e1'], 0);
  t.deepEqual([...engines.list(7_000)], ['e1']);
  t.deepEqual([...engines.list(10_000)], []);
});
