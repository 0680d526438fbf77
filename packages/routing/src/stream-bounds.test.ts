import test from 'ava';
import { makeStreamBounds } from './stream-bounds.js';

const maxTokens = 80;

// The bound on events must not end what a sound engine may send at its worst.
test('a stream of single tokens, each with heartbeats, and a head and an end is within its bounds', (t) => {
  const bounds = makeStreamBounds(maxTokens);
  const first = bounds.startRun();
  t.is(first({ events: 10, silentBytes: 0 }), undefined);
  for (let n = 0; n < maxTokens; n += 1) {
    for (let beats = 0; beats < 1_000; beats += 1)
      t.is(first({ events: 0, silentBytes: 16 }), undefined);
    t.is(first({ events: 2, silentBytes: 16 }), undefined);
  }
  // Another engine goes on.
  const second = bounds.startRun();
  t.is(second({ events: maxTokens, silentBytes: 0 }), undefined);
});

test('events and comments without an end are more than a stream has, over all its runs', (t) => {
  const bounds = makeStreamBounds(maxTokens);
  t.is(bounds.startRun()({ events: 1_000, silentBytes: 0 }), undefined);
  t.is(bounds.startRun()({ events: 1_000, silentBytes: 0 }), 'too-many-events');
  t.is(makeStreamBounds(0).startRun()({ events: 1_000_000, silentBytes: 0 }), undefined);
  const add = makeStreamBounds(0).startRun();
  const comments = Array.from({ length: 300 }, () => add({ events: 0, silentBytes: 1_024 }));
  t.deepEqual([comments[0], comments.at(-1)], [undefined, 'no-event']);
});
