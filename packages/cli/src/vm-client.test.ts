import test from 'ava';
import { checkEndlessAnswers } from '@hemlocksill/sockets/fixtures/endless-servers.js';
import { makeCallVm } from './vm-client.js';

// Guards against a VM whose answer without an end makes the command run out of memory or stand still.
test('an answer of a VM without an end is an error', (t) => {
  const callVm = makeCallVm({
    tlsCaFile: undefined,
    operatorSecrets: ['secret'],
  } as unknown as Parameters<typeof makeCallVm>[0]);
  return checkEndlessAnswers(t, 4_000, async (port) => {
    const vm = {
      vm: 'vm-1',
      incarnation: 'i',
      dataCentre: 'north-a',
      state: 'serving',
      operators: { host: '127.0.0.1', port },
    };
    return (await callVm(vm, 'GET', '/state', '')).match(
      () => 'ok',
      (reason) => reason,
    );
  });
});
