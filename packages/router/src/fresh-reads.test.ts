import test from 'ava';
import { makeFreshReads } from './fresh-reads.js';
import { sleep } from './sleep.js';

const now = (): number => performance.now();

test('callers that come together share a read, and one that comes during it has the next one', async (t) => {
  let reads = 0;
  const fresh = makeFreshReads({
    read: async () => {
      reads += 1;
      await sleep(50);
      return true;
    },
    now,
  });
  const wait = (): Promise<boolean> =>
    new Promise((resolve) => {
      fresh.await(now() + 5_000, resolve);
    });
  const first = [wait(), wait(), wait()];
  await sleep(20);
  t.is(reads, 1);
  const second = wait();
  t.deepEqual(await Promise.all(first), [true, true, true]);
  t.is(reads, 1);
  t.true(await second);
  t.is(reads, 2);
});

test('a read that fails or has no answer in time is not fresh, and the next caller has another one', async (t) => {
  let reads = 0;
  const fresh = makeFreshReads({
    read: async () => {
      reads += 1;
      if (reads === 2) await sleep(400);
      return reads > 1;
    },
    now,
  });
  const wait = (waitMs: number): Promise<boolean> =>
    new Promise((resolve) => {
      fresh.await(now() + waitMs, resolve);
    });
  t.false(await wait(5_000));
  t.is(reads, 1);
  t.false(await wait(400));
  t.true(await wait(5_000));
  t.is(reads, 3);
});
