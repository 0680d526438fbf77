import test from 'ava';
import fc from 'fast-check';
import { makeEventOrder } from '@hemlocksill/routing/event-order.js';
import { makeEventSplitter, maxEventBytes } from './sse-events.js';

test('complete events are returned in order, however the bytes are split into chunks', (t) => {
  const event = fc.record({ data: fc.stringMatching(/^[a-z]{0,8}$/), crlf: fc.boolean() });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 10 }), fc.array(fc.nat(20)), (events, cuts) => {
      const text = events
        .map(({ data, crlf }, n) => {
          const eol = crlf ? '\r\n' : '\n';
          return `id: ${n + 1}${eol}data: ${data}${eol}${eol}`;
        })
        .join('');
      const splitter = makeEventSplitter();
      const run = makeEventOrder().startRun();
      let out = '';
      let remaining = `${text}id: 99\ndata: unfinished`;
      [...cuts, remaining.length].forEach((cut) => {
        const complete = splitter.push(Buffer.from(remaining.slice(0, cut)));
        if (complete && run.accept(complete).bytes !== complete.length)
          throw new Error('events out of order');
        out += complete?.toString() ?? '';
        remaining = remaining.slice(cut);
      });
      const expectedId = events.length > 0 ? String(events.length) : undefined;
      return out === text && run.getLastId() === expectedId && splitter.hasIncompleteEvent();
    }),
  );
  t.pass();
});

test('a version line before the id is forwarded with its event', (t) => {
  const splitter = makeEventSplitter();
  const events = splitter.push(Buffer.from('weight-versions: 2\nid: 4\ndata: x\n\n'));
  t.is(events?.toString(), 'weight-versions: 2\nid: 4\ndata: x\n\n');
  const run = makeEventOrder().startRun();
  t.is(events && run.accept(events).fault, undefined);
  t.is(run.getLastId(), '4');
  t.false(splitter.hasIncompleteEvent());
});

test('an event without an end is reported before it takes more memory than allowed', (t) => {
  const splitter = makeEventSplitter();
  const events = splitter.push(Buffer.from('id: 1\ndata: a\n\n'));
  t.is(events?.length, 15);
  const chunk = Buffer.alloc(1_000, 'x');
  let bytes = 0;
  while (!splitter.hasOversizedEvent() && bytes < 10 * maxEventBytes) {
    t.is(splitter.push(chunk), undefined);
    bytes += chunk.length;
  }
  t.true(bytes > maxEventBytes && bytes <= maxEventBytes + chunk.length);
  t.true(splitter.hasIncompleteEvent());
  t.is(events?.toString(), 'id: 1\ndata: a\n\n');
});

test('an event that was returned does not change when more bytes arrive', (t) => {
  const splitter = makeEventSplitter();
  splitter.push(Buffer.from('id: 1\nda'));
  const events = splitter.push(Buffer.from('ta: a\n\nid: 2\n'));
  splitter.push(Buffer.from('data: b\n\n'));
  t.is(events?.toString(), 'id: 1\ndata: a\n\n');
});

// A caller that does not read would hold fifty times its events.
test('events in small pieces hold not much more than their size', (t) => {
  const splitter = makeEventSplitter();
  const event = 'id: 1\ndata: token\n\n';
  const passed = [...event.repeat(200)].flatMap((byte) => splitter.push(Buffer.from(byte)) ?? []);
  const slab = Buffer.alloc(64 * 1_024);
  const small = slab.subarray(0, slab.write(event));
  passed.push(splitter.push(small) ?? small);
  passed.forEach((events) => t.true(events.buffer.byteLength < 512));
  t.is(Buffer.concat(passed).toString(), event.repeat(201));
});
