import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { makeHttpStore } from './http-store.js';

/** Starts a store that writes the same bytes to each request, then closes the connection in some way. */
const startRawStore = async (
  t: ExecutionContext,
  bytes: string,
  close: (socket: Socket) => void,
) => {
  const listener = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write(bytes, () => close(socket)));
  });
  t.teardown(() => listener.close());
  await once(listener.listen(0, '127.0.0.1'), 'listening');
  const { port } = listener.address() as AddressInfo;
  return makeHttpStore([`http://127.0.0.1:${port}`], () => {});
};

const reset = (socket: Socket): void => {
  socket.resetAndDestroy();
};
const end = (socket: Socket): void => {
  socket.end();
};

const head = 'HTTP/1.1 200 OK\r\n\r\n';

// Guards against an answer that is broken off and read as if it were whole.
test('an answer without a length that is reset is a fault', async (t) => {
  const entry = '{"entry":{"key":"a","value":"x","revision":7}}';
  const whole = await startRawStore(t, head + entry, end);
  t.is((await whole.get('a'))._unsafeUnwrap()?.value, 'x');
  const broken = await startRawStore(t, head + entry, reset);
  t.is((await broken.get('a'))._unsafeUnwrapErr(), 'unreachable');
  t.is((await broken.renewLease('4'))._unsafeUnwrapErr(), 'unreachable');
});

// Guards against an exception in place of a fault, and against a value that is none.
['', 'null', '[]', '{}', '{"entry":{"key":"a"}}', '{"entry":7}', '{"entry":{"key":"a"'].forEach(
  (body) => {
    test(`an answer that is no result is a fault: '${body}'`, async (t) => {
      const store = await startRawStore(t, head + body, end);
      const entry = await store.get('a');
      // The stand-in leaves out an entry that does not exist.
      if (body === '{}') t.is(entry._unsafeUnwrap(), undefined);
      else t.is(entry._unsafeUnwrapErr(), 'bad-answer');
      t.is((await store.list('a'))._unsafeUnwrapErr(), 'bad-answer');
      const write = { key: 'a', expected: 3, value: 'x' };
      t.is((await store.cas(write))._unsafeUnwrapErr(), 'bad-answer');
      t.is((await store.grantLease(1_000))._unsafeUnwrapErr(), 'bad-answer');
      t.is((await store.watch('a', 1, 10))._unsafeUnwrapErr(), 'bad-answer');
    });
  },
);
