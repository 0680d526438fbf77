import test from 'ava';
import { countBoundTokens, listBoundRows } from './bound-streams.js';
import type { WaitingStream } from './stream-queue.js';

const makeStream = (overrides: Partial<WaitingStream>): WaitingStream => ({
  id: 's',
  service: 'llm',
  softwareVersion: 'v1',
  workspace: 'forge',
  priority: 1,
  neededTokens: 1_000,
  arrivedAt: 0,
  waitUntil: 1_000,
  tryPlace: () => false,
  refuse: () => {},
  ...overrides,
});

test('new streams leave memory to streams of their priority that have begun, not to less urgent ones', (t) => {
  const rows = listBoundRows([
    makeStream({}),
    makeStream({ neededTokens: 2_000 }),
    makeStream({ softwareVersion: 'v2', priority: 2.1 }),
    makeStream({ softwareVersion: undefined }),
    makeStream({ service: 'other' }),
  ]);
  const count = (priority: number) => [...countBoundTokens([rows, rows], 'llm', priority)];
  t.deepEqual(count(0), []);
  t.deepEqual(count(1), [['v1', 6_000]]);
  t.deepEqual(count(2.1), [
    ['v1', 6_000],
    ['v2', 2_000],
  ]);
});

test('rows of other kinds are not taken for streams that have begun', (t) => {
  const rows = { llm: 5_000, 'llm\t1\tforge': 5_000, 'llm\t\tforge': 5_000 };
  t.is(countBoundTokens([rows], 'llm', 9).size, 0);
});
