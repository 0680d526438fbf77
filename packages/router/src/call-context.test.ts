import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { makeRoute } from '@hemlocksill/routing/fixtures.js';
import { makeResponder, type CallContext, type Responder } from './call-context.js';
import { makeCallerFlows } from './caller-flows.js';
import { makeRouterMetrics } from './router-metrics.js';

const head = { status: 200, headers: [], hasBody: true, isFramed: true } as const;

/** Opens a stream to a caller; `writes` holds the writes of its response. */
const openStream = async (t: ExecutionContext) => {
  const metrics = makeRouterMetrics();
  const limits = { callerBytes: 0, allCallersBytes: 0, stallMs: 0 };
  const flows = makeCallerFlows(limits, { log: () => {}, metrics, now: () => 0 });
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  t.teardown(() => {
    socket.destroy();
    server.close();
  });
  socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
  const [, res] = await once(server, 'request');
  const writes: number[] = [];
  const { write } = res;
  res.write = (bytes: Buffer, ...others: unknown[]) => {
    writes.push(bytes.length);
    return write.call(res, bytes, ...others);
  };
  const call = { metadata: { id: 'r1' } };
  const ctx = { res, arrivedAt: 0, route: makeRoute({}), call, table: { config: {} } };
  const responder: Responder = makeResponder(ctx as unknown as CallContext, {
    log: () => {},
    metrics,
    random: () => 0,
    now: () => 0,
    isShuttingDown: () => false,
    isLast: () => false,
    abandonAtStop: new Set(),
    flows,
  });
  responder.sendHead(head);
  return { socket, res, responder, writes };
};

const readBody = async (socket: Awaited<ReturnType<typeof openStream>>['socket']) => {
  let received = '';
  socket.on('data', (data) => {
    received += data.toString();
  });
  socket.resume();
  await once(socket, 'close').catch(() => {});
  const [, chunked = ''] = received.split(/\r\n\r\n(.*)/s);
  return chunked.replace(/[0-9a-f]+\r\n(.*?)\r\n/gs, '$1');
};

// Each write costs several hundred bytes until the caller has read: 40 times a small event.
test('what a caller that does not read is sent in small pieces is held in few writes', async (t) => {
  const { socket, res, responder, writes } = await openStream(t);
  socket.pause();
  const large = Buffer.alloc(1_024 * 1_024, 'x');
  let filled = 0;
  while (res.writableLength < large.length) {
    responder.write(large);
    filled += 1;
    await nextTurn();
  }
  const events = 20_000;
  for (let n = 0; n < events; n += 1) {
    responder.write(Buffer.from(`id: ${n}\n\n`));
    if (n % 2 === 0) await nextTurn();
  }
  t.true(writes.length - filled < events / 500, `${writes.length - filled} writes`);
  responder.end();
  const body = await readBody(socket);
  const sent = Array.from({ length: events }, (_, n) => `id: ${n}\n\n`).join('');
  t.is(body.length, filled * large.length + sent.length);
  t.true(body.endsWith(sent));
});

// Joined pieces that wait for a turn would add to the time to the first event.
test('a piece is written at once, those of the same turn after it together', async (t) => {
  const { socket, responder, writes } = await openStream(t);
  responder.write(Buffer.from('id: 1\n\n'));
  t.deepEqual(writes, [7]);
  for (let n = 0; n < 1_000; n += 1) responder.write(Buffer.from('x'));
  await sleep(20);
  t.deepEqual(writes, [7, 1_000]);
  responder.write(Buffer.from('id: 2\n\n'));
  responder.write(Buffer.from('id: 3\n\n'));
  // An end or a fault in the turn of the last events must not take them from the caller.
  responder.fail(502, 'broken');
  t.is(await readBody(socket), `id: 1\n\n${'x'.repeat(1_000)}id: 2\n\nid: 3\n\n`);
});
