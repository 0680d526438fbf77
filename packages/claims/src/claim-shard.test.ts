import test from 'ava';
import { err, ok } from 'neverthrow';
import fc from 'fast-check';
import type { CasResponse, CasRequest, Store, StoreEntry } from '@hemlocksill/types/ports.js';
import { parseSegment } from './claim-record.js';
import { makeClaimShard, type ClaimShard } from './claim-shard.js';

interface FakeStore {
  readonly store: Store;
  readonly entries: Map<string, StoreEntry>;
  readonly counts: { writes: number };
  /** Results of the next writes, in order; later writes succeed. */
  readonly writeResults: ('ok' | 'lost-after' | 'lost-before')[];
  isUnavailable: boolean;
}

const makeFakeStore = (): FakeStore => {
  const entries = new Map<string, StoreEntry>();
  let revision = 0;
  const fake: FakeStore = {
    entries,
    counts: { writes: 0 },
    writeResults: [],
    isUnavailable: false,
    store: {} as Store,
  };
  const cas = (req: CasRequest): CasResponse => {
    const current = entries.get(req.key);
    if ((current?.revision ?? 0) !== req.expected) return { kind: 'conflict', current };
    revision += 1;
    if (req.value === undefined) entries.delete(req.key);
    else entries.set(req.key, { key: req.key, value: req.value, revision });
    return { kind: 'written', revision };
  };
  const store: Partial<Store> = {
    get: (key) => Promise.resolve(fake.isUnavailable ? err('timeout') : ok(entries.get(key))),
    list: (prefix) =>
      Promise.resolve(
        fake.isUnavailable
          ? err('timeout')
          : ok({
              entries: [...entries.values()].filter((e) => e.key.startsWith(prefix)),
              revision,
            }),
      ),
    cas: (req) => {
      fake.counts.writes += 1;
      const result = fake.writeResults.shift() ?? 'ok';
      if (fake.isUnavailable || result === 'lost-before') return Promise.resolve(err('timeout'));
      const response = cas(req);
      return Promise.resolve(result === 'lost-after' ? err('timeout') : ok(response));
    },
  };
  Object.assign(fake.store, store);
  return fake;
};

let lastWriteId = 0;
const openShard = (fake: FakeStore, clock = { now: 0 }): ClaimShard =>
  makeClaimShard({
    store: fake.store,
    prefix: '/claims/0/',
    wallClock: () => clock.now,
    retentionMs: () => 1_000,
    makeWriteId: () => {
      lastWriteId += 1;
      return `w${lastWriteId}`;
    },
  });

const take = (shard: ClaimShard, id: string, writer: string, attempt = '1') =>
  shard.submit({ kind: 'take', req: { id, fingerprint: 'f', writer, attempt } });

test('two concurrent writers of a shard grant a claim only once', async (t) => {
  const fake = makeFakeStore();
  const [a, b] = [openShard(fake), openShard(fake)];
  const replies = await Promise.all([take(a, 'x', 'vm-a'), take(b, 'x', 'vm-b')]);
  const granted = replies.filter((r) => r.isOk() && r.value.kind === 'granted');
  t.is(granted.length, 1);
});

test('a write whose response is lost is resolved by reading it back', async (t) => {
  const fake = makeFakeStore();
  fake.writeResults.push('lost-after');
  const shard = openShard(fake);
  t.deepEqual((await take(shard, 'x', 'vm-a'))._unsafeUnwrap(), { kind: 'granted' });
  const secondWriter = await take(openShard(fake), 'x', 'vm-b');
  t.is(secondWriter._unsafeUnwrap().kind, 'known');
});

test('a write that may still take effect is an error, and the same attempt can retry', async (t) => {
  const fake = makeFakeStore();
  fake.writeResults.push('lost-before');
  const shard = openShard(fake);
  t.true((await take(shard, 'x', 'vm-a')).isErr());
  t.deepEqual((await take(shard, 'x', 'vm-a'))._unsafeUnwrap(), { kind: 'granted' });
  t.deepEqual((await take(shard, 'x', 'vm-a'))._unsafeUnwrap(), { kind: 'granted' });
  t.is((await take(shard, 'x', 'vm-a', '2'))._unsafeUnwrap().kind, 'known');
});

test('concurrent claims share one write', async (t) => {
  const fake = makeFakeStore();
  const shard = openShard(fake);
  await take(shard, 'first', 'vm-a');
  fake.counts.writes = 0;
  await Promise.all(Array.from({ length: 50 }, (_, i) => take(shard, `c${i}`, 'vm-a')));
  t.true(fake.counts.writes <= 2, `${fake.counts.writes} writes`);
});

test('an abandoned claim can be taken by another attempt, a completed one cannot', async (t) => {
  const shard = openShard(makeFakeStore());
  await take(shard, 'x', 'vm-a');
  const abandoned = { id: 'x', writer: 'vm-a', attempt: '1', state: 'abandoned' as const };
  await shard.submit({ kind: 'note', note: abandoned });
  t.is((await take(shard, 'x', 'vm-b'))._unsafeUnwrap().kind, 'granted');
  const done = { id: 'x', writer: 'vm-b', attempt: '1', state: 'done' as const };
  await shard.submit({ kind: 'note', note: done });
  t.is((await take(shard, 'x', 'vm-c'))._unsafeUnwrap().kind, 'known');
});

test('the outcome of an attempt that does not hold the claim is ignored', async (t) => {
  const shard = openShard(makeFakeStore());
  await take(shard, 'x', 'vm-a');
  const stale = { id: 'x', writer: 'vm-b', attempt: '9', state: 'abandoned' as const };
  await shard.submit({ kind: 'note', note: stale });
  t.is((await take(shard, 'x', 'vm-c'))._unsafeUnwrap().kind, 'known');
});

test('claims in closed segments apply until the retention time, then the segments are deleted', async (t) => {
  const fake = makeFakeStore();
  const clock = { now: 0 };
  const shard = openShard(fake, clock);
  for (let i = 0; i < 900; i += 1) await take(shard, `claim-number-${i}`, 'vm-a');
  t.true(fake.entries.size >= 2);
  t.is(
    (await take(openShard(fake, clock), 'claim-number-0', 'vm-b'))._unsafeUnwrap().kind,
    'known',
  );
  const segmentsBefore = fake.entries.size;
  clock.now = 10_000;
  for (let i = 900; i < 1_800; i += 1) await take(shard, `claim-number-${i}`, 'vm-a');
  t.true(fake.entries.size <= segmentsBefore + 1);
  const maxValueChars = Math.max(...[...fake.entries.values()].map((e) => e.value.length));
  t.true(maxValueChars < 1_048_576);
});

test('a slow writer cannot add to a closed segment', async (t) => {
  const fake = makeFakeStore();
  const slow = openShard(fake);
  await take(slow, 'seed', 'vm-a');
  const fast = openShard(fake);
  for (let i = 0; i < 600; i += 1) await take(fast, `claim-number-${i}`, 'vm-b');
  t.is((await take(slow, 'claim-number-3', 'vm-a'))._unsafeUnwrap().kind, 'known');
  const segments = [...fake.entries.values()].map((e) => parseSegment(e.value)._unsafeUnwrap());
  t.is(segments.filter((s) => !s.closed).length, 1);
});

test('a claim is granted to one attempt despite lost writes, restarts and concurrent writers', async (t) => {
  const takeEvent = fc.record({
    writer: fc.integer({ min: 0, max: 2 }),
    id: fc.constantFrom('x', 'y'),
    result: fc.constantFrom('ok' as const, 'lost-after' as const, 'lost-before' as const),
    restart: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(takeEvent, { maxLength: 40, size: 'max' }), async (events) => {
      const fake = makeFakeStore();
      const shards = [openShard(fake), openShard(fake), openShard(fake)];
      const granted = new Map<string, Set<string>>();
      await Promise.all(
        events.map(async ({ writer, id, result, restart }, i) => {
          fake.writeResults.push(result);
          if (restart) shards[writer] = openShard(fake);
          const shard = shards[writer];
          const reply = shard && (await take(shard, id, `vm-${writer}`, String(i)));
          if (reply?.isOk() && reply.value.kind === 'granted')
            granted.set(id, (granted.get(id) ?? new Set()).add(`${writer}/${i}`));
        }),
      );
      granted.forEach((attempts) => t.is(attempts.size, 1));
    }),
    { numRuns: 300, seed: 44 },
  );
});
