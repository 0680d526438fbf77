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

// Guards against a VM that never gets to its answer.
test('a tunnel is given up when the other VM sends informational responses', async (t) => {
  let closed: Promise<unknown> = Promise.resolve();
  const relay = createServer((socket) => {
    socket.on('error', () => {});
    const send = (): void => {
      while (!socket.destroyed && socket.write('HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'));
    };
    socket.on('drain', send);
    closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.once('data', send);
  });
  t.teardown(() => relay.close());
  await once(relay.listen(0, '127.0.0.1'), 'listening');
  const { port } = relay.address() as AddressInfo;
  const fault = await new Promise((resolve) => {
    const cancel = openTunnel(`127.0.0.1:${port}`, '127.0.0.1:1', (result) =>
      resolve(result.isErr() ? result.error : 'open'),
    );
    setTimeout(() => {
      cancel();
      resolve('pending');
    }, 2_000);
  });
  t.is(fault, 'relay-unavailable');
  await closed;
});
