import test from 'ava';
import { chooseRecipients, mergeRecipients } from './choose-recipients.js';

test('in a small fleet all VMs receive every change', (t) => {
  t.is(chooseRecipients({ kind: 'load', dataCentre: 'b' }, 'a', 8), 'fleet');
  t.is(chooseRecipients({ kind: 'view', isWatcher: false }, 'a', 8), 'fleet');
});

test('in a large fleet a load change goes to the data centres of the engine and of the sender', (t) => {
  t.deepEqual(chooseRecipients({ kind: 'load', dataCentre: 'b' }, 'a', 90), new Set(['a', 'b']));
  t.deepEqual(chooseRecipients({ kind: 'load', dataCentre: 'a' }, 'a', 90), new Set(['a']));
});

test('in a large fleet all VMs receive a charge to a low bucket and a view change of a watcher', (t) => {
  t.is(chooseRecipients({ kind: 'low-rate' }, 'a', 90), 'fleet');
  t.is(chooseRecipients({ kind: 'view', isWatcher: true }, 'a', 90), 'fleet');
  t.deepEqual(chooseRecipients({ kind: 'view', isWatcher: false }, 'a', 90), 'few');
  t.deepEqual(chooseRecipients({ kind: 'config', isWatcher: false }, 'a', 90), new Set(['a']));
  t.is(chooseRecipients({ kind: 'stage' }, 'a', 90), 'fleet');
  t.is(chooseRecipients({ kind: 'crash' }, 'a', 90), 'fleet');
});

test('merged recipients include the recipients of each change', (t) => {
  t.is(mergeRecipients(new Set(['a']), 'fleet'), 'fleet');
  t.deepEqual(mergeRecipients(new Set(['a']), new Set(['b'])), new Set(['a', 'b']));
  t.deepEqual(mergeRecipients('few', new Set(['b'])), new Set(['b']));
  t.is(mergeRecipients(new Set(), 'few'), 'few');
});
