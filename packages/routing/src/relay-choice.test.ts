import test from 'ava';
import { makeRelayChoice } from './relay-choice.js';

test('a VM through which no connection could be opened is left out for a second', (t) => {
  const relays = makeRelayChoice(
    () => ['vm-1', 'vm-2'],
    () => 0,
  );
  t.is(relays.choose(0), 'vm-1');
  relays.recordFailed('vm-1', 0);
  t.is(relays.choose(500), 'vm-2');
  relays.recordFailed('vm-2', 500);
  t.is(relays.choose(600), undefined);
  t.is(relays.choose(1_000), 'vm-1');
});
