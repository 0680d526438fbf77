import { createServer } from 'node:net';
import { Readable } from 'node:stream';
import test, { type ExecutionContext } from 'ava';
import { makeCallService } from './call-service.js';
import { makeEngineClient } from './engine-client.js';
import type { RequestContext } from './request-context.js';
import { readTokens } from './token-stream.js';

const observationMs = 4_000;

/** Starts a server that sends `filler` after `head` until the client closes. */
const startServer = async (t: ExecutionContext, head: string, filler: string): Promise<string> => {
  const block = filler.repeat(Math.ceil((64 * 1_024) / Math.max(1, filler.length)));
  const listener = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(head);
      const timer = setInterval(() => {
        if (!socket.writableNeedDrain) socket.write(block);
      }, 2);
      const limit = setTimeout(() => socket.destroy(), observationMs + 1_000);
      socket.on('close', () => {
        clearInterval(timer);
        clearTimeout(limit);
      });
    });
  });
  await new Promise<void>((resolve) => {
    listener.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => listener.close());
  const address = listener.address();
  return `http://127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
};

const observe = <T>(result: Promise<T>): Promise<T | 'pending'> =>
  Promise.race([
    result,
    new Promise<'pending'>((resolve) => {
      setTimeout(resolve, observationMs, 'pending');
    }),
  ]);

const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
const chunk = `400\r\n${'x'.repeat(1_024)}\r\n`;

const readLoad = async (t: ExecutionContext, head: string, filler: string): Promise<string> => {
  const engines = makeEngineClient();
  t.teardown(engines.close);
  const load = await observe(engines.readLoad(await startServer(t, head, filler)));
  return load === 'pending'
    ? load
    : load.match(
        () => 'ok',
        (fault) => fault,
      );
};

test('an answer of an engine without an end is a fault', async (t) => {
  t.is(await readLoad(t, `HTTP/1.1 200 OK\r\n${chunked}`, chunk), 'bad-answer');
});

test('an error of an engine without an end is a fault', async (t) => {
  t.is(await readLoad(t, `HTTP/1.1 409 Conflict\r\n${chunked}`, chunk), 'bad-answer');
});

test('an answer of an engine that stops in its body is a fault', async (t) => {
  t.is(await readLoad(t, `HTTP/1.1 200 OK\r\n${chunked}`, ''), 'lost');
});

test('informational responses of an engine without an end are a fault', async (t) => {
  t.is(await readLoad(t, '', 'HTTP/1.1 103 Early Hints\r\n\r\n'), 'lost');
});

test('a token line without an end is a cut stream', async (t) => {
  const chunks = Array.from({ length: 2_000 }, () => 'x'.repeat(1_024));
  const body = Readable.from([`{"i":0,"text":"a"}\n`, ...chunks]);
  let readCount = 0;
  body.on('data', () => {
    readCount += 1;
  });
  const tokens: number[] = [];
  const end = await readTokens(body, 0, 1_000, new AbortController().signal, (index) =>
    tokens.push(index),
  );
  t.deepEqual([end.isErr() && end.error, tokens], ['cut', [0]]);
  t.true(readCount < 1_000);
});

test('a response of a service without an end is a failure', async (t) => {
  const url = await startServer(t, `HTTP/1.1 200 OK\r\n${chunked}`, chunk);
  const { handler, close } = makeCallService({ serverStates: () => ({}), random: Math.random });
  t.teardown(close);
  const ctx = {
    id: 'r1',
    headers: {},
    path: '/orders',
    query: '',
    body: '',
    abort: new AbortController(),
    route: { method: 'POST', service: 'desk', timeoutMs: 10_000, idempotent: false },
    snapshot: {
      document: { backendServers: new Map([['s1', { name: 's1', service: 'desk', url }]]) },
    },
  } as unknown as RequestContext;
  const result = await observe(Promise.resolve(handler(ctx)));
  t.is(result === 'pending' ? result : result._unsafeUnwrapErr().outcome, 'outcome-unknown');
});
