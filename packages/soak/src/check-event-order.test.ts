import test from 'ava';
import { checkEventOrder, explainVersionChanges } from './check-event-order.js';
import { makeCallRecord } from './drive-callers.js';
import type { CallRecord } from './records.js';

const eventCount = 4;

const makeEvent = (number: number, origin = 'v1@100', id = number): string =>
  `id: ${id}\ndata: a ${origin} e${number}\n\n`;

const makeEvents = (numbers: readonly number[], origin?: string): string =>
  numbers.map((number) => makeEvent(number, origin)).join('');

const makeCall = (body: string, overrides: Partial<CallRecord> = {}): CallRecord => ({
  ...makeCallRecord('a', 'vm-1', 'stream', 'k1', 0),
  body,
  status: 200,
  isComplete: true,
  ...overrides,
});

const explain = (body: string, overrides: Partial<CallRecord> = {}): readonly string[] =>
  checkEventOrder([makeCall(body, overrides)], eventCount);

test('whole streams, streams that show that they broke off, and other calls are in order', (t) => {
  t.deepEqual(explain(makeEvents([1, 2, 3, 4])), []);
  t.deepEqual(explain(`${makeEvents([1, 2])}id: 3\nda`, { isComplete: false }), []);
  t.deepEqual(explain(makeEvents([1, 2]), { isComplete: false }), []);
  t.deepEqual(explain(makeEvents([1, 2]), { disconnectedAt: 5 }), []);
  t.deepEqual(explain('busy', { status: 503 }), []);
  t.deepEqual(explain('ok a', { kind: 'read' }), []);
  const resumed = makeEvents([1, 2]) + makeEvents([3, 4], 'v1@200');
  t.deepEqual(explain(resumed), []);
});

// Guards against engines whose wrong events are passed on: each of these was one that went on too late or too early.
test('a missing, doubled or lower event is reported with its number and the process that wrote it', (t) => {
  const cases: readonly (readonly [readonly number[], string])[] = [
    [[2, 3, 4], 'events 1 to 1 are missing before event 2 of v1 started at 100'],
    [[1, 4], 'events 2 to 3 are missing before event 4 of v1 started at 100'],
    [[1, 2, 2, 3, 4], 'event 2 comes twice, the second of v1 started at 100'],
    [[1, 2, 3, 1, 2, 3, 4], 'event 1 of v1 started at 100 follows event 3'],
  ];
  cases.forEach(([numbers, reason]) => {
    t.deepEqual(explain(makeEvents(numbers)), [`a at vm-1: ${reason}`]);
    t.deepEqual(explain(makeEvents(numbers), { isComplete: false }), [`a at vm-1: ${reason}`]);
  });
});

test('an event whose id is not its number, that can not be read or that is beyond the last one is reported', (t) => {
  t.deepEqual(explain(makeEvents([1]) + makeEvent(2, 'v1@100', 3)), [
    'a at vm-1: event 2 has the id 3',
  ]);
  t.deepEqual(explain(`${makeEvents([1])}id: 2\ndata: par${makeEvents([2, 3, 4])}`), [
    'a at vm-1: what follows event 1 is no event',
  ]);
  t.deepEqual(explain(makeEvents([1, 2, 3, 4, 5])), ['a at vm-1: event 5 of 4']);
});

// Guards against responses without a length that count as complete when the connection of their engine ends.
test('an answer that looks complete before its last event or inside an event is reported', (t) => {
  t.deepEqual(explain(makeEvents([1, 2, 3])), ['a at vm-1: looks complete after event 3 of 4']);
  t.deepEqual(explain(''), ['a at vm-1: looks complete after event 0 of 4']);
  t.deepEqual(explain(`${makeEvents([1, 2, 3, 4])}id: 5`), [
    'a at vm-1: looks complete, but ends inside an event',
  ]);
});

test('a call that takes a stream up has to go on with the event behind the one that it names', (t) => {
  const takesUp = { call: 'a', after: 2 };
  const explainTakeUp = (numbers: readonly number[]): readonly string[] =>
    explain(makeEvents(numbers), { id: 'b', takesUp });
  t.deepEqual(explainTakeUp([3, 4]), []);
  t.deepEqual(explainTakeUp([1, 2, 3, 4]), [
    'b at vm-1: event 1 of v1 started at 100 follows event 2',
  ]);
  t.deepEqual(explainTakeUp([2, 3, 4]), [
    'b at vm-1: event 2 comes twice, the second of v1 started at 100',
  ]);
  t.deepEqual(explainTakeUp([4]), [
    'b at vm-1: events 3 to 3 are missing before event 4 of v1 started at 100',
  ]);
});

test('a stream that can not be resumed has events of one process only', (t) => {
  const body = makeEvents([1, 2]) + makeEvents([3, 4], 'v1@200');
  t.deepEqual(explain(body, { isResumable: true }), []);
  t.deepEqual(explain(body, { isResumable: false }), [
    "a at vm-1: event 3 of v1 started at 200 follows one of v1 started at 100, though the stream can't be resumed",
  ]);
  t.deepEqual(explain(makeEvents([1, 2, 3, 4]), { isResumable: false }), []);
});

test('each change of the version is named, also behind a part of an event and over calls', (t) => {
  const reason = 'event 3 of v2 started at 200 follows one of v1 started at 100';
  const [first, rest] = [makeEvents([1, 2]), makeEvents([3, 4], 'v2@200')];
  t.deepEqual(explainVersionChanges([makeCall(first + rest)]), [reason]);
  t.deepEqual(explainVersionChanges([makeCall(`${first}id: 3\ndata: par${rest}`)]), [reason]);
  t.deepEqual(explainVersionChanges([makeCall(first), makeCall(rest, { id: 'b' })]), [reason]);
  t.deepEqual(explainVersionChanges([makeCall(first + makeEvents([3, 4], 'v1@200'))]), []);
});
