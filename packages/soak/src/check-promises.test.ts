import test from 'ava';
import { checkPromises } from './check-promises.js';
import type { CallRecord, RunRecord, SoakRecord } from './records.js';

const makeCall = (part: Partial<CallRecord>): CallRecord => ({
  id: 'a',
  vm: 'vm-1',
  kind: 'confirm',
  key: 'k1',
  startedAt: 10_000,
  endedAt: 10_050,
  status: 200,
  body: 'ok a',
  isWhole: true,
  leftAt: undefined,
  ...part,
});

const makeRun = (part: Partial<RunRecord>): RunRecord => ({
  id: 'a',
  server: 's1',
  isPrefill: false,
  workspace: 'forge',
  hasKey: false,
  at: 10_010,
  endedAt: 10_040,
  ...part,
});

const makeRecord = (part: Partial<SoakRecord>): SoakRecord => ({
  calls: [makeCall({})],
  runs: [makeRun({})],
  changes: [],
  storeOutages: [],
  vmTroubles: new Map(),
  serverTroubles: [],
  stops: [],
  endedAt: 60_000,
  calmFrom: 20_000,
  ...part,
});

const find = (part: Partial<SoakRecord>): string[] =>
  checkPromises(makeRecord(part), 2).map(({ promise }) => promise);

const stream = (body: string, part: Partial<CallRecord> = {}): CallRecord =>
  makeCall({ kind: 'stream', body, ...part });

const wholeStream = 'id: 1\ndata: a e1\n\nid: 2\ndata: a e2\n\n';

test('a sound record breaks no promise', (t) => {
  t.deepEqual(find({}), []);
  t.deepEqual(find({ calls: [stream(wholeStream)] }), []);
});

test('a second run of what may run once is found', (t) => {
  t.deepEqual(find({ runs: [makeRun({}), makeRun({ server: 's2' })] }), ['runs-once']);
});

test('a refusal of what has run is found', (t) => {
  t.deepEqual(find({ calls: [makeCall({ status: 503 })] }), ['true-refusal']);
});

test('answers of others, doubled, missing and short streams are found', (t) => {
  t.deepEqual(find({ calls: [makeCall({ body: 'ok b' })] }), ['own-answer']);
  const bodies = [
    'id: 1\ndata: b e1\n\nid: 2\ndata: b e2\n\n',
    'id: 1\ndata: a e1\n\nid: 1\ndata: a e1\n\nid: 2\ndata: a e2\n\n',
    'id: 2\ndata: a e2\n\n',
    'id: 1\ndata: a e1\n\n',
  ];
  bodies.forEach((body) => t.true(find({ calls: [stream(body)] }).includes('own-answer'), body));
  const broken = stream('id: 1\ndata: a e1\n\nid: 2\nda', { isWhole: false });
  t.deepEqual(find({ calls: [broken] }), []);
});

test('a key that is passed on and a run for another workspace are found', (t) => {
  t.deepEqual(find({ runs: [makeRun({ hasKey: true })] }), ['workspace-only']);
  t.deepEqual(find({ runs: [makeRun({ workspace: 'small' })] }), ['workspace-only']);
});

test('a withdrawn key and a leaving server that are used late are found', (t) => {
  const key = { kind: 'key-withdrawn' as const, key: 'k1', at: 6_000 };
  t.deepEqual(find({ changes: [key] }), ['change-in-force']);
  t.deepEqual(find({ changes: [{ ...key, at: 9_000 }] }), []);
  t.deepEqual(find({ changes: [key], storeOutages: [{ from: 7_000, to: 8_000 }] }), []);
  const leaving = { kind: 'server-leaving' as const, server: 's1', at: 6_000 };
  t.deepEqual(find({ changes: [leaving] }), ['change-in-force']);
  t.deepEqual(find({ changes: [{ ...leaving, server: 's2' }] }), []);
});

test('work for a caller that has left is found', (t) => {
  const calls = [stream('', { leftAt: 10_100, status: undefined, isWhole: false })];
  t.deepEqual(find({ calls, runs: [makeRun({ endedAt: 12_000 })] }), ['ends-with-caller']);
  t.deepEqual(find({ calls, runs: [makeRun({ endedAt: 10_300 })] }), []);
});

test('a request without a final answer is found, unless its VM was in trouble', (t) => {
  const calls = [makeCall({ endedAt: undefined, status: undefined })];
  t.deepEqual(find({ calls }), ['final-answer']);
  t.deepEqual(find({ calls, vmTroubles: new Map([['vm-1', [{ from: 9_000, to: 11_000 }]]]) }), []);
});

test('a request that is cut by a stop is found', (t) => {
  const calls = [makeCall({ status: undefined, isWhole: false })];
  const stops = [{ vm: 'vm-1', from: 10_020, to: 12_000 }];
  const vmTroubles = new Map([['vm-1', [{ from: 10_020, to: 14_000 }]]]);
  t.deepEqual(find({ calls, stops, vmTroubles }), ['graceful-stop']);
  t.deepEqual(find({ calls, stops: [{ ...stops[0], vm: 'vm-2', from: 0, to: 1 }] }), []);
});

test('a fleet that does not serve again is found', (t) => {
  const calls = Array.from({ length: 20 }, (_, n) =>
    makeCall({ id: `c${n}`, status: 503, startedAt: 40_000, endedAt: 40_010 }),
  );
  t.deepEqual(find({ calls, runs: [] }), ['recovers']);
});
