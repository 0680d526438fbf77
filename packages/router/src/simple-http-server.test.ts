import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { measureLoad } from '@hemlocksill/sockets/fixtures/endless-servers.js';
import { serveSimpleHttp, textResponse } from './simple-http-server.js';

test.serial('a request whose body has no end is refused and its connection closed', async (t) => {
  let handled = 0;
  const server = serveSimpleHttp({ host: '127.0.0.1', port: 0 }, () => {
    handled += 1;
    return Promise.resolve(textResponse(200, 'ok'));
  });
  t.teardown(() => server.close());
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  let received = '';
  let isClosed = false;
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    isClosed = true;
  });
  socket.write('POST /rpc HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
  const deadline = Date.now() + 3_000;
  while (!isClosed && Date.now() < deadline) {
    socket.write(`400\r\n${'x'.repeat(1_024)}\r\n`);
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
  socket.destroy();
  t.true(isClosed);
  t.regex(received, /^HTTP\/1\.1 413 /);
  t.is(handled, 0);
});

// Guards against requests that take a hundred times the memory of their content.
test.serial('requests in chunks of one byte are held by their content', async (t) => {
  const requests = 40;
  const bodyBytes = 60_000;
  const server = serveSimpleHttp({ host: '127.0.0.1', port: 0 }, () =>
    Promise.resolve(textResponse(200, 'ok')),
  );
  t.teardown(() => server.close());
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const bytes = `POST /rpc HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(bodyBytes)}`;
  const stop = measureLoad();
  await Promise.all(
    Array.from({ length: requests }, async () => {
      const socket = connect(port, '127.0.0.1');
      t.teardown(() => socket.destroy());
      await new Promise<void>((resolve) => {
        socket.write(bytes, () => resolve());
      });
    }),
  );
  await sleep(500);
  const { heldBytes } = stop();
  t.true(heldBytes < 16 * requests * bodyBytes, `${heldBytes} bytes`);
});
