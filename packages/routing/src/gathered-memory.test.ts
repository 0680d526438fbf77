import test from 'ava';
import { makeGatheredMemory, type GatheredBytes, type GatheredMemory } from './gathered-memory.js';

const limitBytes = 300;

/** Opens responses that hold these bytes, and lists by number those that have given way. */
const openAll = (
  memory: GatheredMemory,
  heldBytes: readonly number[],
): { responses: GatheredBytes[]; gone: number[] } => {
  const gone: number[] = [];
  const responses = heldBytes.map((bytes, index) => {
    const response = memory.open(() => gone.push(index));
    response.update(bytes);
    return response;
  });
  return { responses, gone };
};

const list = (responses: readonly GatheredBytes[]): boolean[] =>
  responses.map(({ isFull }) => isFull());

// Guards against responses that are gathered whole at the same time and have no bound together.
test('over the bound only small and the largest response go on, and only small ones while too much is unread', (t) => {
  let unreadBytes = 0;
  const memory = makeGatheredMemory({ limitBytes, getUnreadBytes: () => unreadBytes });
  const { responses } = openAll(memory, [110, 180, 0]);
  t.deepEqual(list(responses), [false, false, false]);
  responses[2]?.update(20);
  t.deepEqual(list(responses), [true, false, false]);
  responses[1]?.close();
  t.is(memory.getBytes(), 130);
  t.deepEqual(list(responses.slice(0, 1)), [false]);
  responses[0]?.update(160);
  unreadBytes = 301;
  t.deepEqual(
    [responses[0], responses[2]].map((response) => response?.isFull()),
    [true, false],
  );
});

// Guards against an answer without an end that makes sound ones wait until their deadlines.
test('the largest response gives way if it has not ended a second after others had to wait', (t) => {
  const memory = makeGatheredMemory({ limitBytes, getUnreadBytes: () => 0 });
  const { responses, gone } = openAll(memory, [150, 140]);
  // There is room, however long they take.
  [0, 60_000].forEach(memory.check);
  responses[1]?.update(250);
  t.deepEqual(list(responses), [true, false]);
  memory.check(70_000);
  responses[1]?.update(260);
  memory.check(70_999);
  t.deepEqual(gone, []);
  memory.check(71_000);
  t.deepEqual(gone, [1]);
  t.is(memory.getBytes(), 150);
  t.deepEqual(list(responses.slice(0, 1)), [false]);
  // What is still told of it counts no more.
  responses[1]?.update(270);
  responses[1]?.close();
  t.is(memory.getBytes(), 150);
});

test('a response that ends in time lets the next one lead for its own time', (t) => {
  const memory = makeGatheredMemory({ limitBytes, getUnreadBytes: () => 0 });
  const { responses, gone } = openAll(memory, [260, 150, 151]);
  memory.check(0);
  responses[0]?.close();
  memory.check(1_000);
  t.deepEqual(list(responses.slice(1)), [true, false]);
  memory.check(1_999);
  t.deepEqual(gone, []);
  memory.check(2_000);
  t.deepEqual(gone, [2]);
});

// Guards against answers that grow while the process is short of memory.
test('while the process is short of memory small responses go on, and the largest give way first', (t) => {
  const memory = makeGatheredMemory({ limitBytes, getUnreadBytes: () => 0 });
  const { responses, gone } = openAll(memory, [20, 110, 160]);
  memory.hold();
  t.deepEqual(list(responses), [false, true, true]);
  // No response is to blame for the time in which none is read.
  [0, 5_000].forEach(memory.check);
  t.deepEqual(gone, []);
  memory.halve();
  t.deepEqual(gone, [2]);
  memory.halve();
  t.deepEqual(gone, [2, 1]);
  // The rest would not relieve it.
  memory.halve();
  t.deepEqual(gone, [2, 1]);
  memory.release();
  t.false(responses[0]?.isFull());
});

// Guards against answers without an end that begin one after another, each as a small one.
test('however many responses begin, they hold at most twice the bound and the largest one', (t) => {
  const memory = makeGatheredMemory({ limitBytes, getUnreadBytes: () => 0 });
  const { responses, gone } = openAll(memory, [250]);
  for (let n = 0; n < 200; n += 1) {
    const [response] = openAll(memory, [0]).responses;
    for (let bytes = 1; response && !response.isFull() && bytes < 100; bytes += 1)
      response.update(bytes);
    t.true(memory.getBytes() <= limitBytes * 2 + 250, `${memory.getBytes()} bytes`);
  }
  t.deepEqual(gone, []);
  t.deepEqual(list(responses), [false]);
});
