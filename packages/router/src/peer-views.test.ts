import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import { fetchPeerView } from './peer-views.js';

test('a view without an end is a fault before its time limit', async (t) => {
  const block = Buffer.alloc(64 * 1_024, ' ');
  const listener = createServer((socket) => {
    const send = (): void => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on('error', () => {});
    socket.on('drain', send);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n');
      send();
    });
  });
  await new Promise<void>((resolve) => {
    listener.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => listener.close());
  const address = listener.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  const { signal } = new AbortController();
  const seen = { config: 0, servers: 0 };
  const view = await fetchPeerView(`127.0.0.1:${port}`, seen, '127.0.0.1:9', signal);
  const fault = view._unsafeUnwrapErr();
  t.regex(fault.kind === 'failed' ? fault.reason : '', /max size/);
});

// Guards against the part of a view that arrived before a reset, or a head that is none, being read as a view.
[
  'HTTP/1.1 200 OK\r\n\r\n{"jsonrpc":"2.0","id":1,"result":{',
  'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}',
  'HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 2\r\n\r\n{}',
  'HTTP/1.1 200 OK\r\nX\x01: v\r\nContent-Length: 2\r\n\r\n{}',
].forEach((bytes) => {
  test(`the answer ${JSON.stringify(bytes)} of a peer is no view`, async (t) => {
    const listener = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => socket.write(bytes, 'latin1', () => socket.resetAndDestroy()));
    });
    t.teardown(() => listener.close());
    await once(listener.listen(0, '127.0.0.1'), 'listening');
    const { port } = listener.address() as AddressInfo;
    const { signal } = new AbortController();
    const seen = { config: 0, servers: 0 };
    const view = await fetchPeerView(`127.0.0.1:${port}`, seen, '127.0.0.1:9', signal);
    t.is(view._unsafeUnwrapErr().kind, 'failed');
  });
});
