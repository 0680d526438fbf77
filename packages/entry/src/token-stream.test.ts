import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { readTokens } from './token-stream.js';

const { signal } = new AbortController();

/** Creates a stream of tokens without an end, and counts those that were taken from it. */
const makeEndlessTokens = (text: string) => {
  const taken = { count: 0 };
  function* generate(): Generator<string> {
    for (;;) {
      yield `${JSON.stringify({ i: taken.count, text })}\n`;
      taken.count += 1;
    }
  }
  return { body: Readable.from(generate()), taken };
};

// Guards against an engine that sends more tokens than were asked for, without an end.
test('a stream of more tokens than were asked for is a fault', async (t) => {
  const { body } = makeEndlessTokens('a');
  let tokens = 0;
  const onToken = (): void => {
    tokens += 1;
  };
  const end = await readTokens(body, 0, 1_000, signal, onToken, { maxTokens: 100 });
  t.deepEqual([end._unsafeUnwrapErr(), tokens], ['too-long', 100]);
});

// Guards against tokens whose text fills the memory before their number is reached.
test('a stream of huge tokens is a fault', async (t) => {
  const { body, taken } = makeEndlessTokens('x'.repeat(100_000));
  const end = await readTokens(body, 0, 1_000, signal, () => {}, { maxTokens: 1_000 });
  t.is(end._unsafeUnwrapErr(), 'too-long');
  t.true(taken.count < 50);
});

// Guards against the memory that a stream takes whose caller does not read it.
test('a stream is not read, nor taken for stalled, while its receiver is full', async (t) => {
  const { body, taken } = makeEndlessTokens('a');
  let giveRoom = (): void => {};
  let isFull = true;
  const flow = {
    isFull: () => isFull,
    onRoom: (callback: () => void) => {
      giveRoom = callback;
    },
  };
  const reading = readTokens(body, 0, 40, signal, () => {}, { maxTokens: 1_000, flow });
  await sleep(200);
  t.true(taken.count < 100);
  isFull = false;
  giveRoom();
  t.is((await reading)._unsafeUnwrapErr(), 'too-long');
});
