import test from 'ava';
import { makeServePace } from './service-rate.js';

test('a workspace that is served ever more rarely is predicted to wait longer', (t) => {
  const pace = makeServePace();
  pace.noteServed('flood', 4_000, true, 0);
  pace.noteServed('flood', 4_000, true, 1_000);
  t.is(pace.predictMs('flood', 4_000, 4_000, 1_000), 2_000);
  // Nothing was served for six seconds, while others went first.
  t.is(pace.predictMs('flood', 4_000, 4_000, 7_000), 12_000);
});

test('an old pace says nothing of a workspace without a backlog', (t) => {
  const pace = makeServePace();
  pace.noteServed('forge', 4_000, true, 0);
  pace.noteServed('forge', 4_000, true, 1_000);
  t.is(pace.predictMs('forge', 0, 4_000, 7_000), 0);
  pace.noteServed('forge', 4_000, false, 7_500);
  t.is(pace.predictMs('forge', 4_000, 4_000, 7_600), 0);
});
