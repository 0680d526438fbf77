import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { makeReadSlices, type SlicedReads } from './read-slices.js';

interface Connection {
  readonly name: string;
  readonly stream: Readable;
  readonly reads: SlicedReads;
  readonly getBytes: () => Buffer;
  readonly isEnded: () => boolean;
  /** Number of times that it was asked to read more. */
  readonly countReads: () => number;
}

/** Makes reads on a clock that only the handling of bytes moves. */
const makeSetup = () => {
  let clockMs = 0;
  const slices = makeReadSlices({ now: () => clockMs });
  /** Names and sizes of what was handled, in order. */
  const handled: [string, number][] = [];
  const open = (name: string, msPerByte: number): Connection => {
    let reads = 0;
    let isEnded = false;
    const received: Buffer[] = [];
    const stream = new Readable({
      read: () => {
        reads += 1;
      },
    });
    const sliced = slices.add(stream as Socket);
    stream.on('readable', () => {
      const bytes = stream.read() as Buffer | null;
      if (!bytes) return;
      clockMs += bytes.length * msPerByte;
      handled.push([name, bytes.length]);
      received.push(bytes);
    });
    stream.on('end', () => {
      isEnded = true;
    });
    return {
      name,
      stream,
      reads: sliced,
      getBytes: () => Buffer.concat(received),
      isEnded: () => isEnded,
      countReads: () => reads,
    };
  };
  return {
    slices,
    handled,
    open,
    wait: (ms: number) => {
      clockMs += ms;
    },
  };
};

const block = Buffer.from(Array.from({ length: 64 * 1_024 }, (_, n) => n % 251));

// Guards against an event loop that handles all of a read at once, however long that takes.
test('a read that is slow to handle is handled in slices, and others come first', async (t) => {
  const { handled, open } = makeSetup();
  const heavy = open('heavy', 0.001);
  const light = open('light', 0);
  heavy.stream.push(block);
  await nextTurn();
  const before = handled.length;
  t.true(before > 0);
  t.true(handled.every(([, bytes]) => bytes <= 4_096));
  t.true(handled.reduce((sum, [, bytes]) => sum + bytes, 0) < 16_384);
  light.stream.push(Buffer.from('light'));
  await nextTurn();
  t.deepEqual(
    handled.slice(before).filter(([name]) => name === 'light'),
    [['light', 5]],
  );
  t.true(heavy.reads.getWaitingBytes() > 32 * 1_024);
});

// Guards against bytes that are lost, doubled or out of order, and an end that overtakes them.
test('what waits comes whole, in order and before the end', async (t) => {
  const { slices, open, wait } = makeSetup();
  const connection = open('a', 0.001);
  connection.stream.push(block);
  connection.stream.push(block.subarray(0, 1_000));
  connection.stream.push(null);
  // The first slice is handled at once.
  t.is(slices.getWaitingBytes(), block.length + 1_000 - 4_096);
  while (!connection.isEnded()) {
    wait(1_000);
    await sleep(1);
  }
  t.deepEqual(connection.getBytes(), Buffer.concat([block, block.subarray(0, 1_000)]));
  t.is(slices.getWaitingBytes(), 0);
});

// Guards against a server that goes on sending into memory while its bytes wait.
test('a connection is not read while its bytes wait', async (t) => {
  const { open } = makeSetup();
  const { stream, reads, countReads } = open('a', 0.001);
  t.false(stream.push(block));
  const before = countReads();
  await nextTurn();
  t.true(reads.getWaitingBytes() > 0);
  stream.read(0);
  t.is(countReads(), before);
});

// Guards against a large sound answer that is slowed down by its slices.
test('slices that take no time grow to whole reads', async (t) => {
  const { handled, open } = makeSetup();
  const { stream } = open('a', 0);
  for (let n = 0; n < 8; n += 1) {
    stream.push(block);
    await nextTurn();
    await nextTurn();
  }
  t.deepEqual(handled.at(-1), ['a', block.length]);
});

// Guards against connections whose time is not bounded together.
test('heavy connections together leave most of the time to others', async (t) => {
  const { handled, open, wait } = makeSetup();
  const connections = ['a', 'b', 'c', 'd'].map((name) => open(name, 0.001));
  connections.forEach(({ stream }) => stream.push(block));
  // They are heavy once some time was spent on them.
  for (let turn = 0; turn < 100; turn += 1) await nextTurn();
  const before = handled.length;
  // Nothing of them is handled before they have rested.
  await sleep(5);
  t.is(handled.length, before);
  wait(1_000);
  await sleep(30);
  t.true(handled.length > before);
});

// Guards against a sound server whose many small answers are slowed down though nothing else needs the time.
test('reads of one slice are handled at once, however many there were', async (t) => {
  const { handled, open } = makeSetup();
  const { stream } = open('a', 0.001);
  for (let n = 0; n < 200; n += 1) {
    stream.push(Buffer.alloc(500));
    await nextTurn();
  }
  t.is(handled.length, 200);
});

// Guards against a connection that is used again though its server has closed it.
test('an end that waits shows', async (t) => {
  const { open } = makeSetup();
  const { stream, reads } = open('a', 0.004);
  stream.push(block.subarray(0, 5_000));
  stream.push(null);
  t.true(reads.isWaiting());
});

// Guards against timeouts that take what a late process has read, but not handled, for what did not come.
test('what waits of light connections shows', async (t) => {
  const { slices, open } = makeSetup();
  const heavy = open('heavy', 0.004);
  t.false(slices.hasLightWaiting());
  heavy.stream.push(block);
  t.true(slices.hasLightWaiting());
  for (let turn = 0; turn < 100; turn += 1) await nextTurn();
  t.true(heavy.reads.isWaiting());
  t.false(slices.hasLightWaiting());
});

// Guards against bytes of a closed connection that stay in the account.
test('what waits of a connection that is closed is dropped', async (t) => {
  const { slices, handled, open } = makeSetup();
  const { stream } = open('a', 0.001);
  stream.push(block);
  stream.destroy();
  await nextTurn();
  t.is(slices.getWaitingBytes(), 0);
  t.deepEqual(handled, []);
});

// Guards against answers that grow while the process is short of memory, and sound ones that wait for it.
test('while the reads are held, only light connections are handled', async (t) => {
  const { slices, handled, open, wait } = makeSetup();
  const heavy = open('heavy', 0.004);
  const light = open('light', 0);
  heavy.stream.push(block);
  for (let turn = 0; turn < 100; turn += 1) await nextTurn();
  slices.hold();
  wait(20);
  const before = handled.length;
  light.stream.push(Buffer.from('light'));
  await sleep(20);
  t.deepEqual(handled.slice(before), [['light', 5]]);
  slices.release();
  await nextTurn();
  await nextTurn();
  t.is(handled.at(-1)?.[0], 'heavy');
});
