import test from 'ava';
import fc from 'fast-check';
import { describeOrderFault, makeEventOrder, type RunOrder } from './event-order.js';

const formatEvents = (ids: readonly (number | string)[], eol = '\n'): string =>
  ids.map((id) => `id: ${id}${eol}data: e${eol}${eol}`).join('');

/** Passes events on; returns the ids of those that were, or how the first other one broke the order. */
const accept = (run: RunOrder, ids: readonly (number | string)[]): string => {
  const text = formatEvents(ids);
  const { bytes, fault } = run.accept(Buffer.from(text));
  const passed = [...text.slice(0, bytes).matchAll(/id: (.*)\n/g)].map((match) => match[1]);
  return [...passed, ...(fault ? [describeOrderFault(fault)] : [])].join(', ');
};

test('an event that comes twice or steps back is not passed on, nor what follows it', (t) => {
  t.is(accept(makeEventOrder().startRun(), [1, 2, 2, 3]), '1, 2, event 2 came twice');
  t.is(accept(makeEventOrder().startRun(), [1, 5, 4, 6]), '1, 5, event 4 came after event 5');
  const run = makeEventOrder().startRun();
  t.is(accept(run, [3, 4]), '3, 4');
  t.is(accept(run, [1]), 'event 1 came after event 4');
});

test('a run that goes on begins after the last event that was passed on', (t) => {
  [
    { ids: [4, 5], expected: '4, 5' },
    { ids: [3, 4], expected: 'event 3 came twice' },
    { ids: [1, 2, 3, 4], expected: 'event 1 came after event 3' },
    { ids: [5, 6], expected: 'events are missing between 3 and 5' },
  ].forEach(({ ids, expected }) => {
    const order = makeEventOrder();
    accept(order.startRun(), [1, 2, 3]);
    t.is(accept(order.startRun(), ids), expected);
  });
});

test('a stream that is taken up goes on after the event that its caller names', (t) => {
  t.is(accept(makeEventOrder('3').startRun(), [4, 5]), '4, 5');
  t.is(accept(makeEventOrder('3').startRun(), [3, 4]), 'event 3 came twice');
  t.is(accept(makeEventOrder('3').startRun(), [1]), 'event 1 came after event 3');
});

// Guards against sound streams that break off: the ids need only rise.
test('where ids do not rise by one each, an event may be any number above the one before', (t) => {
  const order = makeEventOrder();
  t.is(accept(order.startRun(), [18, 36, 37]), '18, 36, 37');
  t.is(accept(order.startRun(), [55, 99]), '55, 99');
  t.is(accept(makeEventOrder('36').startRun(), [54]), '54');
  t.is(accept(makeEventOrder().startRun(), [1, 2, 9]), '1, 2, 9');
});

test('events whose ids are no whole numbers, or that have none, are in order anywhere', (t) => {
  const run = makeEventOrder().startRun();
  t.is(
    accept(run, [2, 'a', '', '-1', '1.5', '9'.repeat(16), 3]),
    `2, a, , -1, 1.5, ${'9'.repeat(16)}, 3`,
  );
  const text = ': ping\n\ndata: a\n\ndata: id: 1\n\nevent: id:1\n\n\n\n';
  // The three with a field count, not the comment, nor the empty line behind them.
  const counts = { events: 3, silentBytes: 2 };
  t.deepEqual(run.accept(Buffer.from(text)), { bytes: text.length, fault: undefined, ...counts });
  t.is(run.getLastId(), '3');
});

test('a rejected event changes neither the last id nor the order', (t) => {
  const order = makeEventOrder();
  const run = order.startRun();
  t.is(run.getLastId(), undefined);
  accept(run, [1, 2, 1, 9]);
  t.deepEqual([run.getFirstId(), run.getLastId()], ['1', '2']);
  const next = order.startRun();
  t.is(next.getFirstId(), undefined);
  t.is(accept(next, [3]), '3');
  t.deepEqual([next.getFirstId(), next.getLastId()], ['3', '3']);
});

test('the last id field of an event counts, also before its data and with other line ends', (t) => {
  const order = makeEventOrder();
  const run = order.startRun();
  t.is(run.accept(Buffer.from('id: 7\nid:1\ndata: a\n\n')).fault, undefined);
  t.is(run.accept(Buffer.from('weight-versions: 2\r\nid: 2 \r\ndata: a\r\n\r\n')).fault, undefined);
  t.is(run.getLastId(), '2');
  t.deepEqual(run.accept(Buffer.from('data: a\r\nid: 2\r\n\r\n')).fault, {
    kind: 'repeated',
    id: 2,
    after: 2,
  });
});

const eol = fc.constantFrom('\n', '\r\n');

test('rising ids are passed on whole, however they are divided into batches and runs', (t) => {
  const steps = fc.array(
    fc.record({ step: fc.integer({ min: 2, max: 9 }), isNewRun: fc.boolean() }),
  );
  fc.assert(
    fc.property(steps, eol, (list, lineEnd) => {
      const order = makeEventOrder();
      let run = order.startRun();
      let id = 0;
      return list.every(({ step, isNewRun }) => {
        if (isNewRun) run = order.startRun();
        id += step;
        const events = Buffer.from(formatEvents([id], lineEnd));
        const { bytes, fault } = run.accept(events);
        return bytes === events.length && !fault && run.getLastId() === String(id);
      });
    }),
  );
  t.pass();
});

test('what is passed on rises, whatever the ids and runs are', (t) => {
  const batch = fc.record({ ids: fc.array(fc.nat(12), { maxLength: 5 }), isNewRun: fc.boolean() });
  fc.assert(
    fc.property(fc.array(batch), eol, (batches, lineEnd) => {
      const order = makeEventOrder();
      let run = order.startRun();
      const passed: number[] = [];
      batches.forEach(({ ids, isNewRun }) => {
        if (isNewRun) run = order.startRun();
        const text = formatEvents(ids, lineEnd);
        const { bytes, fault } = run.accept(Buffer.from(text));
        const accepted = [...text.slice(0, bytes).matchAll(/id: (\d+)/g)].map(([, id]) =>
          Number(id),
        );
        passed.push(...accepted);
        // Exactly the events before the first one that breaks the order are passed on.
        if (fault ? fault.id !== ids[accepted.length] : accepted.length !== ids.length)
          throw new Error('not the events before the fault');
      });
      return passed.every((id, index) => index === 0 || id > (passed[index - 1] ?? 0));
    }),
  );
  t.pass();
});
