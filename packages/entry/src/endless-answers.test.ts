import test from 'ava';
import { checkEndlessAnswers } from '@hemlocksill/sockets/fixtures/endless-servers.js';
import { makeEngineClient } from './engine-client.js';
import { callRawService, describeResult } from './fixtures/raw-service.js';
import { readTokens } from './token-stream.js';

const toUrl = (port: number): string => `http://127.0.0.1:${port}`;

// Guards against a server whose answer without an end makes the process run out of memory or stand still.
test.serial('an answer of an engine without an end is a fault, in each form', async (t) => {
  const engines = makeEngineClient();
  t.teardown(engines.close);
  await checkEndlessAnswers(t, 4_000, async (port) =>
    (await engines.readLoad(toUrl(port))).match(
      () => 'ok',
      (fault) => fault,
    ),
  );
});

test.serial('a stream of an engine without an end is cut, in each form', async (t) => {
  const engines = makeEngineClient();
  t.teardown(engines.close);
  await checkEndlessAnswers(t, 4_000, async (port) => {
    const { signal } = new AbortController();
    const body = await engines.resume(toUrl(port), 'r1', 0, 'vm-1', signal);
    if (body.isErr()) return body.error;
    return (await readTokens(body.value, 0, 5_000, signal, () => {})).match(
      () => 'ok',
      (fault) => fault,
    );
  });
});

test.serial('a response of a service without an end is a failure, in each form', (t) =>
  checkEndlessAnswers(t, 5_000, async (port) => {
    const result = describeResult(await callRawService(t, toUrl(port), 0));
    return result.startsWith('200') ? 'ok' : result;
  }),
);
