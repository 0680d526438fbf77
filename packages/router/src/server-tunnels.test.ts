import { createServer } from 'node:http';
import {
  connect,
  createServer as createTcpServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { reportResets } from '@hemlocksill/sockets/report-resets.js';
import { openTunnel, type TunnelFault } from './open-tunnel.js';
import { serveServerTunnels } from './server-tunnels.js';
import { framing, framingField } from './tunnel-frames.js';

const listen = async (t: ExecutionContext, server: Server): Promise<string> => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  server.on('connection', (socket: Socket) => t.teardown(() => socket.destroy()));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Starts a VM that forwards to a server, which handles each connection as given. */
const startRelay = async (t: ExecutionContext, onConnection: (socket: Socket) => void) => {
  const target = await listen(t, createTcpServer({ allowHalfOpen: true }, onConnection));
  const state = { accepts: true };
  const server = createServer();
  const tunnels = serveServerTunnels(server, {
    isServer: (address) => address === target,
    acceptsTunnels: () => state.accepts,
    maxTunnels: 2,
  });
  const relay = await listen(t, server);
  return { relay, target, tunnels, state };
};

const open = (t: ExecutionContext, relay: string, address: string): Promise<Socket | TunnelFault> =>
  new Promise((resolve) => {
    openTunnel(relay, address, (result) => {
      if (result.isOk()) t.teardown(() => result.value.destroy());
      resolve(result.isOk() ? result.value : result.error);
    });
  });

/** Reads a connection to its end, and tells how it ended. */
const readAll = (socket: Socket): Promise<string> =>
  new Promise((resolve) => {
    let received = '';
    let isReset = false;
    reportResets(socket);
    socket.on('data', (chunk) => {
      received += chunk.toString('utf8');
    });
    socket.on('end', () => socket.destroy());
    socket.on('error', () => {
      isReset = true;
    });
    socket.on('close', () => resolve(`${received} ${isReset ? 'reset' : 'end'}`));
  });

test('bytes are forwarded in both directions, and the end', async (t) => {
  const { relay, target, tunnels } = await startRelay(t, (socket) => socket.pipe(socket));
  const socket = await open(t, relay, target);
  if (typeof socket === 'string') return t.fail(socket);
  t.is(tunnels.count(), 1);
  const received = readAll(socket);
  socket.end('hello');
  t.is(await received, 'hello end');
  return undefined;
});

// Guards against an upgrade during which VMs of two versions can't forward for each other.
test('bytes are forwarded unframed to a VM that does not ask for frames', async (t) => {
  const { relay, target } = await startRelay(t, (socket) => socket.pipe(socket));
  const [host = '', port] = relay.split(':');
  const socket = connect(Number(port), host);
  t.teardown(() => socket.destroy());
  const received = readAll(socket);
  socket.write(`CONNECT ${target} HTTP/1.1\r\nHost: ${relay}\r\n\r\n`);
  await once(socket, 'data');
  socket.end('hello');
  t.is(await received, 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nhello end');
});

// Guards against responses without a length that are broken off and look complete.
test('a reset is forwarded as a reset', async (t) => {
  const { relay, target } = await startRelay(t, (socket) => {
    socket.once('data', () => {
      socket.write('part', () => setTimeout(() => socket.resetAndDestroy(), 50));
    });
  });
  const socket = await open(t, relay, target);
  if (typeof socket === 'string') return t.fail(socket);
  const received = readAll(socket);
  socket.write('request');
  t.is(await received, 'part reset');
  return undefined;
});

/** Sends bytes to a server that reads none of them through another VM, and tells what is received. */
const sendUpload = async (
  t: ExecutionContext,
  bytes: number,
  respond: (socket: Socket) => void,
): Promise<string> => {
  const { relay, target, tunnels } = await startRelay(t, (socket) => {
    socket.once('data', () => {
      socket.pause();
      respond(socket);
    });
  });
  const socket = await open(t, relay, target);
  if (typeof socket === 'string') return socket;
  const received = readAll(socket);
  socket.write(Buffer.alloc(bytes));
  const result = await received;
  const deadline = Date.now() + 2_000;
  while (tunnels.count() > 0 && Date.now() < deadline) await sleep(10);
  return tunnels.count() === 0 ? result : `${result}, tunnel open`;
};

[10, 4_000_000, 32 * 1_024 * 1_024].forEach((bytes) => {
  // Guards against responses without a length that are broken off beside an upload and look complete.
  [0, 5, 100].forEach((delayMs) => {
    test(`a reset is forwarded as a reset after ${delayMs} ms, beside an upload of ${bytes} bytes`, async (t) => {
      for (let n = 0; n < 5; n += 1) {
        const result = await sendUpload(t, bytes, (socket) => {
          socket.write('part');
          if (delayMs === 0) socket.resetAndDestroy();
          else setTimeout(() => socket.resetAndDestroy(), delayMs);
        });
        t.regex(result, / reset$/);
      }
    });
  });

  // Guards against early responses that are lost because a reset follows their end, and tunnels that stay open.
  test(`an end before a reset is forwarded as an end, beside an upload of ${bytes} bytes`, async (t) => {
    const result = await sendUpload(t, bytes, (socket) => {
      socket.end('all', () => socket.resetAndDestroy());
    });
    t.is(result, 'all end');
  });
});

// Guards against runs that go on after their caller has left.
test('a connection that the other VM closes is closed at the server', async (t) => {
  let closed: Promise<unknown> = Promise.resolve();
  const { relay, target, tunnels } = await startRelay(t, (socket) => {
    socket.resume();
    closed = once(socket, 'end');
  });
  const socket = await open(t, relay, target);
  if (typeof socket === 'string') return t.fail(socket);
  socket.destroy();
  await closed;
  t.true(tunnels.count() <= 1);
  return undefined;
});

test('a connection that the other VM resets is closed at a server that does not read its upload', async (t) => {
  let closed: Promise<unknown> = Promise.resolve();
  const { relay, target, tunnels } = await startRelay(t, (socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.pause();
      closed = new Promise((resolve) => {
        socket.on('close', resolve);
      });
      const timer = setInterval(() => socket.write('event'), 20);
      socket.on('close', () => clearInterval(timer));
    });
  });
  const socket = await open(t, relay, target);
  if (typeof socket === 'string') return t.fail(socket);
  socket.write(Buffer.alloc(32 * 1_024 * 1_024));
  await once(socket, 'data');
  socket.resetAndDestroy();
  await closed;
  t.is(tunnels.count(), 0);
  return undefined;
});

test('tunnels are refused to what is no server, over the limit, and by a VM that takes none', async (t) => {
  const { relay, target, state } = await startRelay(t, () => {});
  t.is(await open(t, relay, '127.0.0.1:1'), 'relay-unavailable');
  await Promise.all([open(t, relay, target), open(t, relay, target)]);
  t.is(await open(t, relay, target), 'relay-unavailable');
  state.accepts = false;
  t.is(await open(t, relay, target), 'relay-unavailable');
  t.is(await open(t, '127.0.0.1:1', target), 'relay-unavailable');
});

test('a server that the other VM does not reach either is told apart', async (t) => {
  const server = createServer();
  const address = await listen(t, createTcpServer());
  const relay = await listen(t, server);
  serveServerTunnels(server, { isServer: () => true, acceptsTunnels: () => true, maxTunnels: 2 });
  t.is(await open(t, relay, '127.0.0.1:1'), 'server-unreachable');
  t.not(await open(t, relay, address), 'server-unreachable');
});

// Guards against the memory of a VM that forwards what a server sends to a VM that does not read it.
[true, false].forEach((isFramed) => {
  test(`a server is held back by a VM that does not read ${isFramed ? 'frames' : 'bytes'}`, async (t) => {
    const block = Buffer.alloc(64 * 1_024);
    let sentBytes = 0;
    const { relay, target } = await startRelay(t, (server) => {
      const send = (): void => {
        while (!server.destroyed && server.write(block)) sentBytes += block.length;
      };
      server.on('error', () => {});
      server.on('drain', send);
      send();
    });
    const [host = '', port] = relay.split(':');
    const socket = connect(Number(port), host);
    t.teardown(() => socket.destroy());
    socket.pause();
    const fields = isFramed ? `${framingField}: ${framing}\r\n` : '';
    socket.write(`CONNECT ${target} HTTP/1.1\r\nHost: ${relay}\r\n${fields}\r\n`);
    const deadline = performance.now() + 20_000;
    let before = -1;
    while (sentBytes !== before && performance.now() < deadline) {
      before = sentBytes;
      await sleep(500);
    }
    t.true(before > 0);
    t.is(sentBytes, before);
  });
});
