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
