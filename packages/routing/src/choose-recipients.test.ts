import test from 'ava';
import { chooseRecipients, mergeRecipients } from './choose-recipients.js';

test('all VMs of a small fleet hear of every change', (t) => {
  t.is(chooseRecipients({ kind: 'load', dataCentre: 'b' }, 'a', 8), 'fleet');
  t.is(chooseRecipients({ kind: 'view', isWatcher: false }, 'a', 8), 'fleet');
});

test('in a large fleet those hear of a load who use the engine or share the data centre', (t) => {
  t.deepEqual(chooseRecipients({ kind: 'load', dataCentre: 'b' }, 'a', 90), new Set(['a', 'b']));
  t.deepEqual(chooseRecipients({ kind: 'load', dataCentre: 'a' }, 'a', 90), new Set(['a']));
});

test('all VMs of a large fleet hear of a low bucket and of a watched change', (t) => {
  t.is(chooseRecipients({ kind: 'scarce-rate' }, 'a', 90), 'fleet');
  t.is(chooseRecipients({ kind: 'view', isWatcher: true }, 'a', 90), 'fleet');
  t.deepEqual(chooseRecipients({ kind: 'view', isWatcher: false }, 'a', 90), new Set(['a']));
});

test('the reach of changes told together covers each of them', (t) => {
  t.is(mergeRecipients(new Set(['a']), 'fleet'), 'fleet');
  t.deepEqual(mergeRecipients(new Set(['a']), new Set(['b'])), new Set(['a', 'b']));
});
