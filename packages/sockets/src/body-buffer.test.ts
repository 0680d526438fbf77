import test from 'ava';
import fc from 'fast-check';
import { makeBodyBuffer } from './body-buffer.js';

const seed = 47;

// Guards against pieces that are lost, doubled or out of order.
test('a body is what its pieces were', (t) => {
  const piece = fc.oneof(
    fc.uint8Array({ maxLength: 20 }),
    fc.integer({ min: 0, max: 9_000 }).map((size) => new Uint8Array(size).fill(size % 251)),
  );
  fc.assert(
    fc.property(fc.array(piece, { maxLength: 60 }), (pieces) => {
      const buffer = makeBodyBuffer();
      pieces.forEach((bytes) => buffer.append(Buffer.from(bytes)));
      const whole = Buffer.concat(pieces);
      return buffer.getBytes() === whole.length && buffer.take().equals(whole);
    }),
    { seed },
  );
  t.pass();
});

// Guards against a cost for each piece.
test('pieces of one byte hold little more than their bytes', (t) => {
  const buffer = makeBodyBuffer();
  for (let n = 0; n < 200_000; n += 1) buffer.append(Buffer.from([n % 251]));
  t.true(buffer.getHeldBytes() < 270_000, `${buffer.getHeldBytes()}`);
  t.is(buffer.take().length, 200_000);
  t.is(buffer.getHeldBytes(), 0);
});

test('a body in one piece is not copied', (t) => {
  const buffer = makeBodyBuffer();
  const piece = Buffer.from('body');
  buffer.append(piece);
  t.is(buffer.take(), piece);
});

// Guards against a body that keeps in memory all that was read around it.
test('a piece of a much larger read does not keep the read', (t) => {
  const buffer = makeBodyBuffer();
  const read = Buffer.alloc(64 * 1_024);
  [0, 1, 2].forEach((n) => buffer.append(read.subarray(n * 5_000, (n + 1) * 5_000)));
  t.true(buffer.getHeldBytes() < 32 * 1_024, `${buffer.getHeldBytes()}`);
  t.not(buffer.take().buffer, read.buffer);
});
