import test from 'ava';
import { chooseReach, joinReach } from './choose-reach.js';

test('all VMs of a small fleet hear of every change', (t) => {
  t.is(chooseReach({ kind: 'load', dataCentre: 'b' }, 'a', 8), 'fleet');
  t.is(chooseReach({ kind: 'view', isWatcher: false }, 'a', 8), 'fleet');
});

test('in a large fleet those hear of a load who use the engine or share the data centre', (t) => {
  t.deepEqual(chooseReach({ kind: 'load', dataCentre: 'b' }, 'a', 90), new Set(['a', 'b']));
  t.deepEqual(chooseReach({ kind: 'load', dataCentre: 'a' }, 'a', 90), new Set(['a']));
});

test('all VMs of a large fleet hear of a low bucket and of a watched change', (t) => {
  t.is(chooseReach({ kind: 'scarce-rate' }, 'a', 90), 'fleet');
  t.is(chooseReach({ kind: 'view', isWatcher: true }, 'a', 90), 'fleet');
  t.deepEqual(chooseReach({ kind: 'view', isWatcher: false }, 'a', 90), new Set(['a']));
});

test('the reach of changes told together covers each of them', (t) => {
  t.is(joinReach(new Set(['a']), 'fleet'), 'fleet');
  t.deepEqual(joinReach(new Set(['a']), new Set(['b'])), new Set(['a', 'b']));
});
