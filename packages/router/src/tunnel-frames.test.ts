import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { readAnswers } from '@hemlocksill/sockets/read-answers.js';
import { openTunnel } from './open-tunnel.js';
import { framing, framingField, readFrames } from './tunnel-frames.js';

/** Connects to a server that handles the connection as given. */
const connectTo = async (
  t: ExecutionContext,
  onConnection: (socket: Socket) => void,
): Promise<{ readonly socket: Socket; readonly address: string }> => {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => {});
    t.teardown(() => socket.destroy());
    onConnection(socket);
  });
  t.teardown(() => server.close());
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  t.teardown(() => socket.destroy());
  return { socket, address: `127.0.0.1:${port}` };
};

/** Reads a connection to its end, and tells how it ended. */
const readAll = (socket: Socket): Promise<string> =>
  new Promise((resolve) => {
    let received = '';
    let ending = 'closed';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('end', () => {
      ending = 'end';
      socket.destroy();
    });
    socket.on('error', () => {
      ending = 'fault';
    });
    socket.on('close', () => resolve(`${received} ${ending}`));
  });

const encode = (text: string): Buffer => {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(text.length);
  return Buffer.concat([length, Buffer.from(text)]);
};

const frames = Buffer.concat([encode('ab'), encode('c'), encode('x'.repeat(300)), encode('')]);
const framed = `abc${'x'.repeat(300)}`;

test('frames that are cut at any byte are read whole', async (t) => {
  for (let at = 1; at < frames.length; at += 1) {
    const { socket } = await connectTo(t, (other) => {
      other.setNoDelay(true);
      other.write(frames.subarray(0, at), () =>
        setTimeout(() => other.end(frames.subarray(at)), 1),
      );
    });
    readFrames(socket);
    t.is(await readAll(socket), `${framed} end`);
    t.is(socket.bytesRead, framed.length);
  }
});

// Guards against the part that a VM forwarded before it was killed being taken for the whole.
test('an end before the end frame is a fault, wherever it comes', async (t) => {
  for (let at = 0; at < frames.length; at += 1) {
    const { socket } = await connectTo(t, (other) => other.end(frames.subarray(0, at)));
    readFrames(socket);
    t.regex(await readAll(socket), /^a?b?c?x* fault$/);
  }
});

test('bytes behind the end frame are a fault', async (t) => {
  const { socket } = await connectTo(t, (other) => other.end(Buffer.concat([frames, frames])));
  readFrames(socket);
  t.regex(await readAll(socket), / fault$/);
});

// Guards against a response with a length that is lost since its VM was killed after it had forwarded all of it.
[1_000, 100_000].forEach((bytes) => {
  test(`what came before an end without a frame is read, also by a late reader, ${bytes} bytes`, async (t) => {
    const text = 'y'.repeat(bytes);
    const { socket } = await connectTo(t, (other) => other.end(encode(text)));
    readFrames(socket);
    socket.on('error', () => {});
    socket.once('readable', () => {});
    await sleep(100);
    socket.removeAllListeners('readable');
    if (socket.destroyed) return t.fail('closed before it was read');
    const received = readAll(socket);
    socket.resume();
    t.is(await received, `${text} fault`);
    return undefined;
  });
});

// Guards against an object for each byte that a server sends in a segment of its own.
test('small frames that arrive together are returned together', async (t) => {
  const count = 50_000;
  const { socket } = await connectTo(t, (other) =>
    other.end(Buffer.concat([...Array.from({ length: count }, () => encode('x')), encode('')])),
  );
  readFrames(socket);
  let pieces = 0;
  socket.on('data', () => {
    pieces += 1;
  });
  t.is(await readAll(socket), `${'x'.repeat(count)} end`);
  t.true(pieces < count / 100, `${pieces} pieces`);
});

const openThrough = (t: ExecutionContext, relay: string): Promise<Socket | string> =>
  new Promise((resolve) => {
    openTunnel(relay, '127.0.0.1:1', (result) => {
      if (result.isOk()) t.teardown(() => result.value.destroy());
      resolve(result.isOk() ? result.value : result.error);
    });
  });

// Guards against an upgrade during which VMs of two versions can't forward for each other.
test('a VM that does not frame forwards bytes as they are', async (t) => {
  const { address } = await connectTo(t, (other) =>
    other.once('data', () => {
      other.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
      setTimeout(() => other.end('all'), 20);
    }),
  );
  const socket = await openThrough(t, address);
  if (typeof socket === 'string') return t.fail(socket);
  t.is(await readAll(socket), 'all end');
  return undefined;
});

test('frames that arrive with the answer are read', async (t) => {
  const { address } = await connectTo(t, (other) =>
    other.once('data', () => {
      other.write(`HTTP/1.1 200 OK\r\n${framingField}: ${framing}\r\n\r\n`);
      other.end(frames);
    }),
  );
  const socket = await openThrough(t, address);
  if (typeof socket === 'string') return t.fail(socket);
  t.is(await readAll(socket), `${framed} end`);
  return undefined;
});

// Guards against a connection that stops for ever after a slice that holds no bytes of the other side.
test('frames whose length or end is a slice of its own are read whole', async (t) => {
  // One slice; the length of the next frame is another one.
  const text = 'x'.repeat(4_092);
  for (const [first, second] of [
    [
      Buffer.concat([encode(text), encode('y').subarray(0, 4)]),
      Buffer.concat([Buffer.from('y'), encode('')]),
    ],
    [Buffer.concat([encode(text), encode('')]), Buffer.alloc(0)],
  ] as const) {
    const { socket } = await connectTo(t, (other) => {
      other.write(first, () => setTimeout(() => other.end(second), 20));
    });
    readFrames(socket);
    readAnswers(socket);
    t.is(await readAll(socket), `${text}${second.length > 0 ? 'y' : ''} end`);
  }
});
