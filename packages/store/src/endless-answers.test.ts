import test from 'ava';
import { checkEndlessAnswers } from '@hemlocksill/sockets/fixtures/endless-servers.js';
import { makeHttpStore } from './http-store.js';

// Guards against a store whose answer without an end makes the process run out of memory or stand still.
test('an answer of the store without an end is a fault', (t) =>
  checkEndlessAnswers(t, 4_000, async (port) =>
    (await makeHttpStore([`http://127.0.0.1:${port}`], () => {}).list('a')).match(
      () => 'ok',
      (fault) => fault,
    ),
  ));
