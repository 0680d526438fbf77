import { connect, type Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import test from 'ava';
import fc from 'fast-check';
import { makeFrameReader, makeFrameWriter, maxFrameBytes } from './frames.js';
import { makePeerClient } from './peer-client.js';
import { startPeerServer, throwInvalidParams, type PeerServer } from './peer-server.js';
import { rankByRendezvous } from './rendezvous.js';

const secret = 'a-secret-of-tests';
const self = { vm: 'vm-1', incarnation: 'one' };
const countBytes = (): void => {};

const startServer = async (secrets: string[], rejected: string[] = []): Promise<PeerServer> =>
  startPeerServer({
    host: '127.0.0.1',
    port: 0,
    self: { vm: 'vm-2', incarnation: 'two' },
    secrets: () => secrets,
    countBytes,
    onRejected: (reason) => rejected.push(reason),
    methods: {
      echo: (params, from) => Promise.resolve({ params, from: from.incarnation }),
      bad: () => throwInvalidParams('parameters expected'),
      slow: () =>
        new Promise((resolve) => {
          setTimeout(resolve, 5_000);
        }),
    },
  });

const makeClient = (secrets: string[]) =>
  makePeerClient({ self, secrets: () => secrets, countBytes });

test('a call returns the reply and its sender, or the fault that prevented a reply', async (t) => {
  const server = await startServer([secret]);
  const client = makeClient([secret]);
  const to = { host: '127.0.0.1', port: server.port };
  const reply = await client.call(to, 'echo', { a: 1 }, 1_000);
  t.deepEqual(reply._unsafeUnwrap(), {
    from: { vm: 'vm-2', incarnation: 'two' },
    value: { params: { a: 1 }, from: 'one' },
  });
  t.is((await client.call(to, 'bad', {}, 1_000))._unsafeUnwrapErr(), 'rejected');
  t.is((await client.call(to, 'none', {}, 1_000))._unsafeUnwrapErr(), 'rejected');
  t.is((await client.call(to, 'slow', {}, 50))._unsafeUnwrapErr(), 'lost');
  const interrupted = client.call(to, 'slow', {}, 2_000);
  setTimeout(() => void server.close(), 50);
  t.is((await interrupted)._unsafeUnwrapErr(), 'lost');
  t.is((await client.call(to, 'echo', {}, 500))._unsafeUnwrapErr(), 'refused');
  client.close();
});

test('only peers that know a secret are accepted, and secrets can be rotated', async (t) => {
  const rejected: string[] = [];
  const server = await startServer(['the-new-secret-00', secret], rejected);
  const to = { host: '127.0.0.1', port: server.port };
  const [clientWithOldSecret, clientWithNewSecret, clientWithWrongSecret] = [
    [secret],
    ['the-new-secret-00'],
    ['not-the-secret-000'],
  ].map(makeClient);
  t.true((await clientWithOldSecret?.call(to, 'echo', {}, 500))?.isOk());
  t.true((await clientWithNewSecret?.call(to, 'echo', {}, 500))?.isOk());
  t.is((await clientWithWrongSecret?.call(to, 'echo', {}, 500))?._unsafeUnwrapErr(), 'unreachable');
  t.deepEqual(rejected, ['peer does not know the secret']);
  await server.close();
});

const sendRaw = (port: number, bytes: Buffer): Promise<void> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
    socket.on('close', () => resolve());
    socket.on('error', () => resolve());
    socket.resume();
  });

test('random bytes close only the connection that they were sent on', async (t) => {
  const server = await startServer([secret]);
  const inputs = fc.sample(fc.uint8Array({ minLength: 3_000, maxLength: 4_000 }), {
    numRuns: 20,
    seed: 50,
  });
  await Promise.all(inputs.map((bytes) => sendRaw(server.port, Buffer.from(bytes))));
  const client = makeClient([secret]);
  const to = { host: '127.0.0.1', port: server.port };
  t.true((await client.call(to, 'echo', {}, 500)).isOk());
  client.close();
  await server.close();
});

const key = Buffer.alloc(32, 7);

const writeFrames = (texts: string[]): Buffer => {
  const stream = new PassThrough();
  const write = makeFrameWriter(stream as unknown as Socket, key, 'to-server');
  texts.forEach((text) => write(text));
  return stream.read() as Buffer;
};

const readFrames = (bytes: Buffer, chunkBytes: number, direction: 'to-server' | 'to-client') => {
  const texts: string[] = [];
  const invalid: string[] = [];
  const read = makeFrameReader(key, direction, {
    onPayload: (text) => texts.push(text),
    onInvalid: (reason) => invalid.push(reason),
  });
  for (let offset = 0; offset < bytes.length; offset += chunkBytes)
    read(bytes.subarray(offset, offset + chunkBytes));
  return { texts, invalid };
};

test('frames are decoded unchanged for any chunk size', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.string(), { minLength: 1, maxLength: 10 }),
      fc.integer({ min: 1, max: 50 }),
      (texts, chunkBytes) => {
        t.deepEqual(readFrames(writeFrames(texts), chunkBytes, 'to-server').texts, texts);
      },
    ),
    { numRuns: 200, seed: 51 },
  );
});

// Guards against an event loop that is blocked by copying a frame again for each piece of it.
test('a large frame that comes in small pieces is read at once', (t) => {
  const text = 'x'.repeat(maxFrameBytes);
  const bytes = writeFrames([text]);
  const startedAt = performance.now();
  t.deepEqual(readFrames(bytes, 200, 'to-server'), { texts: [text], invalid: [] });
  t.true(performance.now() - startedAt < 1_000);
});

test('a replayed, reflected, modified or oversized frame is rejected', (t) => {
  const frame = writeFrames(['pay']);
  t.deepEqual(readFrames(Buffer.concat([frame, frame]), 7, 'to-server'), {
    texts: ['pay'],
    invalid: ['bad-mac'],
  });
  t.deepEqual(readFrames(frame, 7, 'to-client').invalid, ['bad-mac']);
  const modified = Buffer.from(frame);
  modified[modified.length - 1] = 0;
  t.deepEqual(readFrames(modified, 7, 'to-server').invalid, ['bad-mac']);
  const oversized = Buffer.alloc(64);
  oversized.writeUInt32BE(maxFrameBytes + 1);
  t.deepEqual(readFrames(oversized, 64, 'to-server').invalid, ['too-large']);
});

test('removing a VM reassigns only the keys that it was responsible for', (t) => {
  const vms = ['a', 'b', 'c', 'd'];
  const keys = Array.from({ length: 400 }, (_, i) => `key-${i}`);
  keys.forEach((k) => {
    const before = rankByRendezvous(vms, k)[0];
    const after = rankByRendezvous(['a', 'b', 'c'], k)[0];
    if (before !== 'd') t.is(after, before);
  });
  const keysOfA = keys.filter((k) => rankByRendezvous(vms, k)[0] === 'a').length;
  t.true(keysOfA > 60 && keysOfA < 140, `${keysOfA} of 400`);
});
