import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Client } from 'undici';
import { joinPieces } from './join-pieces.js';
import { makeConnector } from './make-connector.js';

/** Gets an answer and returns its body, the sizes of its pieces and how it ended. */
const receive = async (
  t: ExecutionContext,
  answer: string,
): Promise<{ body: string; sizes: number[]; end: string }> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end(answer));
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const { port } = server.address() as AddressInfo;
  const client = new Client(`http://127.0.0.1:${port}`, { connect: makeConnector() });
  t.teardown(() => {
    server.close();
    return client.destroy();
  });
  return new Promise((resolve) => {
    const sizes: number[] = [];
    let body = '';
    client.dispatch(
      { method: 'GET', path: '/' },
      joinPieces({
        onResponseData: (_, piece) => {
          if (piece.toString() === 'throw') throw new Error('thrown by the handler');
          sizes.push(piece.length);
          body += piece.toString();
        },
        onResponseEnd: () => resolve({ body, sizes, end: 'end' }),
        onResponseError: (_, err) => resolve({ body, sizes, end: err.message }),
      }),
    );
  });
};

const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const encode = (chunks: readonly string[]): string =>
  chunks.map((text) => `${text.length.toString(16)}\r\n${text}\r\n`).join('');

const letters = Array.from({ length: 20_000 }, (_, n) => String.fromCharCode(97 + (n % 26)));

// Guards against an object, and the work of a handler, for each chunk of one byte.
test('the chunks of one read are one piece', async (t) => {
  const { body, sizes, end } = await receive(t, `${chunkedHead}${encode(letters)}0\r\n\r\n`);
  t.is(end, 'end');
  t.is(body, letters.join(''));
  t.true(sizes.length < 200, `${sizes.length} pieces`);
});

// Guards against pieces that are lost or out of order beside large ones, and before an error.
test('small and large pieces come in order, also before an error', async (t) => {
  const chunks = ['a', 'b'.repeat(9_000), 'c', 'd', 'e'.repeat(5_000), 'f'];
  const { body, end } = await receive(t, `${chunkedHead}${encode(chunks)}zz\r\n`);
  t.regex(end, /does not match the HTTP\/1.1 protocol/);
  t.is(body, chunks.join(''));
});

// Guards against a process that ends by an exception of one handler.
test('an exception of the handler is a fault of its response', async (t) => {
  const head = 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n';
  t.is((await receive(t, `${head}throw`)).end, 'thrown by the handler');
});
