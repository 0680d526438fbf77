import test, { type ExecutionContext } from 'ava';
import { decodeStreamRows, type StreamRow } from '@hemlocksill/routing/stream-rows.js';
import { makeFakeStore, type FakeStore } from './fake-store.js';
import { makeOriginReader, type OriginReader } from './origin-reader.js';
import { makeOriginRecorder, type OriginRecorder } from './origin-recorder.js';
import { makeRouterMetrics } from './router-metrics.js';
import { sleep } from './sleep.js';

const origin = { service: 'llm', softwareVersion: 'v1' };

const now = (): number => performance.now();

const makeRecorder = ({ store }: FakeStore, unixNow: () => number = () => 10_000): OriginRecorder =>
  makeOriginRecorder({
    store,
    prefix: 'origins/',
    vm: 'vm-1',
    log: () => {},
    metrics: makeRouterMetrics(),
    now,
    unixNow,
  });

const makeReader = ({ store }: FakeStore): OriginReader =>
  makeOriginReader({ store, prefix: 'origins/', metrics: makeRouterMetrics(), now });

const listRequests = ({ entries }: FakeStore): string[] =>
  [...entries.values()]
    .flatMap(({ value }) => decodeStreamRows(value))
    .map(({ request }) => request)
    .sort();

const add = (recorder: OriginRecorder, ...requests: readonly string[]): void =>
  requests.forEach((request) => recorder.add(request, origin, now() + 9_000));

const find = (reader: OriginReader, request: string, waitMs: number) =>
  new Promise<StreamRow | undefined>((resolve) => {
    reader.find(request, now() + waitMs, resolve);
  });

/** Waits for more than a write period of a recorder. */
const settle = (): Promise<void> => sleep(400);

const checkRequests = async (
  t: ExecutionContext,
  fake: FakeStore,
  requests: readonly string[],
): Promise<void> => {
  for (let n = 0; n < 20 && listRequests(fake).length < requests.length; n += 1) await sleep(100);
  t.deepEqual(listRequests(fake), requests);
};

test('streams that begin together are one write, and a slot is one key', async (t) => {
  const fake = makeFakeStore();
  const recorder = makeRecorder(fake);
  add(recorder, 'r1', 'r2', 'r3');
  await checkRequests(t, fake, ['r1', 'r2', 'r3']);
  t.deepEqual(fake.calls, ['grant', 'cas']);
  add(recorder, 'r4');
  await checkRequests(t, fake, ['r1', 'r2', 'r3', 'r4']);
  t.deepEqual([...fake.entries.keys()], ['origins/vm-1/10000']);
  t.deepEqual(fake.calls, ['grant', 'cas', 'cas']);
  await settle();
  t.is(fake.calls.length, 3);
});

test('the first stream after a pause is written at once, as all VMs may be lost any moment', async (t) => {
  const fake = makeFakeStore();
  const recorder = makeRecorder(fake);
  add(recorder, 'r1');
  // The timer of a write that waits would come after this one.
  await sleep(50);
  t.deepEqual(listRequests(fake), ['r1']);
  add(recorder, 'r2');
  await sleep(50);
  t.deepEqual(listRequests(fake), ['r1']);
  await checkRequests(t, fake, ['r1', 'r2']);
});

test('what a failed write had is written later, also in another slot', async (t) => {
  const fake = makeFakeStore();
  let unix = 10_000;
  const recorder = makeRecorder(fake, () => unix);
  add(recorder, 'r1');
  await checkRequests(t, fake, ['r1']);
  fake.state.isDown = true;
  add(recorder, 'r2');
  await settle();
  unix = 12_500;
  await settle();
  fake.state.isDown = false;
  await checkRequests(t, fake, ['r1', 'r2']);
  t.deepEqual([...fake.entries.keys()], ['origins/vm-1/10000', 'origins/vm-1/12000']);
});

test('a write without an answer, a lease that is gone and an older copy lose no row', async (t) => {
  const fake = makeFakeStore();
  const recorder = makeRecorder(fake);
  fake.state.losesAnswers = true;
  add(recorder, 'r1');
  await settle();
  fake.state.losesAnswers = false;
  const restore = fake.takeCopy();
  add(recorder, 'r2');
  await checkRequests(t, fake, ['r1', 'r2']);
  fake.state.areLeasesGone = true;
  add(recorder, 'r3');
  await settle();
  fake.state.areLeasesGone = false;
  await checkRequests(t, fake, ['r1', 'r2', 'r3']);
  restore();
  add(recorder, 'r4');
  await checkRequests(t, fake, ['r1', 'r2', 'r3', 'r4']);
});

test('a VM that comes back within a slot keeps the rows that it wrote before', async (t) => {
  const fake = makeFakeStore();
  add(makeRecorder(fake), 'r1');
  await checkRequests(t, fake, ['r1']);
  add(makeRecorder(fake), 'r2');
  await checkRequests(t, fake, ['r1', 'r2']);
});

test('callers that come together share a listing', async (t) => {
  const fake = makeFakeStore();
  add(makeRecorder(fake), 'r1', 'r2');
  await checkRequests(t, fake, ['r1', 'r2']);
  fake.calls.length = 0;
  const reader = makeReader(fake);
  const found = await Promise.all(
    ['r1', 'r2', 'r1', 'r9'].map((request) => find(reader, request, 2_000)),
  );
  t.deepEqual(
    found.map((row) => row?.request),
    ['r1', 'r2', 'r1', undefined],
  );
  t.deepEqual(found[0]?.origin, origin);
  t.is((await find(reader, 'r2', 0))?.request, 'r2');
  t.deepEqual(fake.calls, ['list']);
});

test('a search goes on while the store refuses calls, until the time of the caller is up', async (t) => {
  const fake = makeFakeStore();
  add(makeRecorder(fake), 'r1');
  await checkRequests(t, fake, ['r1']);
  fake.state.isDown = true;
  fake.calls.length = 0;
  const reader = makeReader(fake);
  const startedAt = now();
  const waiting = find(reader, 'r1', 10_000);
  t.is(await find(reader, 'r1', 600), undefined);
  t.true(now() - startedAt >= 590);
  t.true(fake.calls.length <= 4, `${fake.calls.length} calls`);
  fake.state.isDown = false;
  t.is((await waiting)?.request, 'r1');
});

test('a stream counts as unknown only after a read that began after the question', async (t) => {
  const fake = makeFakeStore();
  const reader = makeReader(fake);
  const first = find(reader, 'r1', 5_000);
  await sleep(1);
  t.is(await first, undefined);
  add(makeRecorder(fake), 'r1');
  await checkRequests(t, fake, ['r1']);
  t.is((await find(reader, 'r1', 5_000))?.request, 'r1');
});
