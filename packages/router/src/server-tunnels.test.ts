import { createServer } from 'node:http';
import {
  createServer as createTcpServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import { once } from 'node:events';
import test, { type ExecutionContext } from 'ava';
import { openTunnel, type TunnelFault } from './open-tunnel.js';
import { isResetPending } from './reset-pending.js';
import { serveServerTunnels } from './server-tunnels.js';

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
    socket.on('data', (chunk) => {
      received += chunk.toString('utf8');
    });
    socket.on('end', () => {
      isReset ||= isResetPending(socket);
    });
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
