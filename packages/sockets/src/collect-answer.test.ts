import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { makeAnswerClient } from './answer-client.js';
import { collectAnswer, type Answer, type AnswerFault } from './collect-answer.js';

/** Sends a request to a server that responds as given, and counts the parts in which its body came. */
const call = async (
  t: ExecutionContext,
  respond: (socket: Socket) => unknown,
  { maxBytes = 4 * 1_024 * 1_024, method = 'GET' } = {},
): Promise<{ answer: Answer | AnswerFault; parts: number; socket: Socket }> => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => {});
    socket.once('data', () => respond(socket));
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const { port } = server.address() as AddressInfo;
  const client = makeAnswerClient(`http://127.0.0.1:${port}`, {});
  t.teardown(() => {
    client.destroy().catch(() => {});
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  let parts = 0;
  const sent = client.request({ method, path: '/' });
  const answer = await collectAnswer(sent, maxBytes, () => {
    parts += 1;
  });
  const [socket] = sockets;
  if (!socket) throw new Error('no connection was opened');
  return { answer: answer.match<Answer | AnswerFault>(Object, Object), parts, socket };
};

const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const encode = (piece: string): string => `${piece.length.toString(16)}\r\n${piece}\r\n`;

// Guards against a sound answer that is broken off, or costs an object for each chunk, since its chunks are small.
[
  { chunkBytes: 1, chunks: 200_000 },
  { chunkBytes: 100, chunks: 10_000 },
  { chunkBytes: 100_000, chunks: 20 },
].forEach(({ chunkBytes, chunks }) => {
  test(`an answer of ${chunks} chunks of ${chunkBytes} bytes is read whole`, async (t) => {
    const { answer, parts } = await call(t, (socket) =>
      socket.write(
        `${chunkedHead}${Array.from({ length: chunks }, (_, n) =>
          encode(String(n).padStart(chunkBytes, ' ').slice(-chunkBytes)),
        ).join('')}0\r\n\r\n`,
      ),
    );
    const body = 'body' in answer ? answer.body.toString('latin1') : answer.error.message;
    t.is(body.length, chunkBytes * chunks);
    t.is(body.slice(-1), String(chunks - 1).slice(-1));
    t.true(chunkBytes > 1_000 || parts < chunks / 10, `${parts} parts`);
  });
});

test('an answer that comes slowly is read whole', async (t) => {
  const { answer } = await call(t, async (socket) => {
    socket.write(chunkedHead);
    for (const piece of ['a', 'b', 'c']) {
      await sleep(150);
      socket.write(encode(piece));
    }
    socket.write('0\r\n\r\n');
  });
  t.is('body' in answer && answer.body.toString(), 'abc');
});

test('the answer to HEAD has no body, whatever its length', async (t) => {
  const respond = (socket: Socket) =>
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n');
  const { answer } = await call(t, respond, { method: 'HEAD' });
  t.is('body' in answer && answer.body.length, 0);
});

// Guards against a connection that is kept to read an answer that nobody waits for.
[
  ['a body that is too large', chunkedHead + encode('x'.repeat(2_000))],
  ['a stated length that is too large', 'HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\nx'],
  ['a chunk extension', `${chunkedHead}1;${'e'.repeat(400_000)}`],
].forEach(([name = '', bytes = '']) => {
  test(`the connection of ${name} is closed`, async (t) => {
    const { answer, socket } = await call(t, (other) => other.write(bytes), { maxBytes: 1_000 });
    t.is('kind' in answer && answer.kind, 'too-large');
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    if (!socket.destroyed) await closed;
  });
});

test('an answer that is broken off is a fault', async (t) => {
  const { answer } = await call(t, (socket) => socket.end(`${chunkedHead}5\r\nab`));
  t.is('kind' in answer && answer.kind, 'broken');
});
