import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import { openTunnel } from './open-tunnel.js';

// Guards against a connection to a VM being taken for one to a server.
[
  'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 200 OK\r\nX Bad: v\r\n\r\n',
  'HTTP/1.1 200 OK\r\nX-Bad : v\r\n\r\n',
  'HTTP/1.1 200 OK\r\nX\x01: v\r\n\r\n',
  'HTTP/1.1 200 OK\r\n',
].forEach((answer) => {
  test(`no tunnel is opened by the answer ${JSON.stringify(answer)}`, async (t) => {
    const relay = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => socket.end(answer, 'latin1'));
    });
    t.teardown(() => relay.close());
    await once(relay.listen(0, '127.0.0.1'), 'listening');
    const { port } = relay.address() as AddressInfo;
    const fault = await new Promise((resolve) => {
      openTunnel(`127.0.0.1:${port}`, '127.0.0.1:1', (result) =>
        resolve(result.isErr() ? result.error : 'open'),
      );
    });
    t.is(fault, 'relay-unavailable');
  });
});
