import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Agent, request } from 'undici';
import { makeConnector } from './make-connector.js';
import { reportResets } from './report-resets.js';

/** More than the buffers of a connection hold, so that writes to a side that does not read are pending. */
const pendingBytes = 32 * 1_024 * 1_024;

/** Starts a server that reads only the begin of what it is sent. */
const startServer = async (
  t: ExecutionContext,
  respond: (socket: Socket) => void,
): Promise<number> => {
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.pause();
      respond(socket);
    });
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  return (server.address() as AddressInfo).port;
};

/** Writes to a server, starts to read after some time, and tells what was read and how it ended. */
const exchange = async (port: number, bytes: number, readDelayMs: number): Promise<string> => {
  const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
  await once(socket, 'connect');
  reportResets(socket);
  let readBytes = 0;
  let ending = 'closed';
  const closed = new Promise<string>((resolve) => {
    socket.on('close', () => resolve(`${readBytes} ${ending}`));
  });
  socket.on('end', () => {
    ending = 'end';
    socket.destroy();
  });
  socket.on('error', ({ message }) => {
    ending = message;
  });
  socket.write(Buffer.alloc(bytes));
  setTimeout(() => {
    socket.on('data', (chunk) => {
      readBytes += chunk.length;
    });
  }, readDelayMs);
  return closed;
};

const partBytes = 100_000;
const part = Buffer.alloc(partBytes);

[1, pendingBytes].forEach((writtenBytes) => {
  [0, 100].forEach((readDelayMs) => {
    const suffix = `${writtenBytes} bytes written, read after ${readDelayMs} ms`;

    // Guards against data before a reset that looks whole, or that is lost because a write gets the reset.
    test(`a reset behind data is an error, once the data is read: ${suffix}`, async (t) => {
      const port = await startServer(t, (socket) => {
        socket.write(part, () => socket.resetAndDestroy());
      });
      const expected = `${partBytes} the connection was reset`;
      t.is(await exchange(port, writtenBytes, readDelayMs), expected);
    });

    // Guards against data that is lost, or taken for a part, because a reset follows its end.
    test(`a reset behind an end is none: ${suffix}`, async (t) => {
      const port = await startServer(t, (socket) => {
        socket.end(part, () => socket.resetAndDestroy());
      });
      t.is(await exchange(port, writtenBytes, readDelayMs), `${partBytes} end`);
    });

    test(`an end without a reset is an end: ${suffix}`, async (t) => {
      const port = await startServer(t, (socket) => socket.end(part));
      t.is(await exchange(port, writtenBytes, readDelayMs), `${partBytes} end`);
    });
  });
});

test('a response without a length that is reset is an error of the HTTP client', async (t) => {
  const port = await startServer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => socket.resetAndDestroy());
  });
  const agent = new Agent({ connect: makeConnector() });
  t.teardown(() => agent.destroy());
  const read = async (): Promise<string> => {
    const { body } = await request(`http://127.0.0.1:${port}/`, { dispatcher: agent });
    return body.text();
  };
  await t.throwsAsync(read, { message: 'the connection was reset' });
});
