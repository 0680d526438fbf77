import test from 'ava';
import { err, ok } from 'neverthrow';
import fc from 'fast-check';
import type { CasAnswer, CasRequest, Store, StoreEntry } from '@hemlocksill/types/ports.js';
import { parseSegment } from './claim-record.js';
import { makeClaimShard, type ClaimShard } from './claim-shard.js';

interface FakeStore {
  readonly store: Store;
  readonly entries: Map<string, StoreEntry>;
  readonly counts: { writes: number };
  /** How the next writes go, in order; afterwards all go well. */
  readonly script: ('ok' | 'lost-after' | 'lost-before')[];
  down: boolean;
}

const makeFakeStore = (): FakeStore => {
  const entries = new Map<string, StoreEntry>();
  let revision = 0;
  const fake: FakeStore = {
    entries,
    counts: { writes: 0 },
    script: [],
    down: false,
    store: {} as Store,
  };
  const cas = (req: CasRequest): CasAnswer => {
    const current = entries.get(req.key);
    if ((current?.revision ?? 0) !== req.expected) return { kind: 'conflict', current };
    revision += 1;
    if (req.value === undefined) entries.delete(req.key);
    else entries.set(req.key, { key: req.key, value: req.value, revision });
    return { kind: 'written', revision };
  };
  const store: Partial<Store> = {
    get: (key) => Promise.resolve(fake.down ? err('timeout') : ok(entries.get(key))),
    list: (prefix) =>
      Promise.resolve(
        fake.down
          ? err('timeout')
          : ok({
              entries: [...entries.values()].filter((e) => e.key.startsWith(prefix)),
              revision,
            }),
      ),
    cas: (req) => {
      fake.counts.writes += 1;
      const how = fake.script.shift() ?? 'ok';
      if (fake.down || how === 'lost-before') return Promise.resolve(err('timeout'));
      const answer = cas(req);
      return Promise.resolve(how === 'lost-after' ? err('timeout') : ok(answer));
    },
  };
  Object.assign(fake.store, store);
  return fake;
};

let writeIds = 0;
const openShard = (fake: FakeStore, clock = { now: 0 }): ClaimShard =>
  makeClaimShard({
    store: fake.store,
    prefix: '/claims/0/',
    wallClock: () => clock.now,
    retentionMs: () => 1_000,
    makeWriteId: () => {
      writeIds += 1;
      return `w${writeIds}`;
    },
  });

const take = (shard: ClaimShard, id: string, writer: string, attempt = '1') =>
  shard.submit({ kind: 'take', req: { id, fingerprint: 'f', writer, attempt } });

test('two writers of one shard grant a claim once', async (t) => {
  const fake = makeFakeStore();
  const [a, b] = [openShard(fake), openShard(fake)];
  const answers = await Promise.all([take(a, 'x', 'vm-a'), take(b, 'x', 'vm-b')]);
  const granted = answers.filter((r) => r.isOk() && r.value.kind === 'granted');
  t.is(granted.length, 1);
});

test('a lost answer is settled by reading back', async (t) => {
  const fake = makeFakeStore();
  fake.script.push('lost-after');
  const shard = openShard(fake);
  t.deepEqual((await take(shard, 'x', 'vm-a'))._unsafeUnwrap(), { kind: 'granted' });
  const other = await take(openShard(fake), 'x', 'vm-b');
  t.is(other._unsafeUnwrap().kind, 'known');
});

test('a write that may still arrive is an error, and the same attempt may ask again', async (t) => {
  const fake = makeFakeStore();
  fake.script.push('lost-before');
  const shard = openShard(fake);
  t.true((await take(shard, 'x', 'vm-a')).isErr());
  t.deepEqual((await take(shard, 'x', 'vm-a'))._unsafeUnwrap(), { kind: 'granted' });
  t.deepEqual((await take(shard, 'x', 'vm-a'))._unsafeUnwrap(), { kind: 'granted' });
  t.is((await take(shard, 'x', 'vm-a', '2'))._unsafeUnwrap().kind, 'known');
});

test('claims that come together share one write', async (t) => {
  const fake = makeFakeStore();
  const shard = openShard(fake);
  await take(shard, 'first', 'vm-a');
  fake.counts.writes = 0;
  await Promise.all(Array.from({ length: 50 }, (_, i) => take(shard, `c${i}`, 'vm-a')));
  t.true(fake.counts.writes <= 2, `${fake.counts.writes} writes`);
});

test('an abandoned claim can be taken by another attempt, a finished one cannot', async (t) => {
  const shard = openShard(makeFakeStore());
  await take(shard, 'x', 'vm-a');
  const note = { id: 'x', writer: 'vm-a', attempt: '1', state: 'abandoned' as const };
  await shard.submit({ kind: 'note', note });
  t.is((await take(shard, 'x', 'vm-b'))._unsafeUnwrap().kind, 'granted');
  const done = { id: 'x', writer: 'vm-b', attempt: '1', state: 'done' as const };
  await shard.submit({ kind: 'note', note: done });
  t.is((await take(shard, 'x', 'vm-c'))._unsafeUnwrap().kind, 'known');
});

test('a note of an attempt that lost its claim changes nothing', async (t) => {
  const shard = openShard(makeFakeStore());
  await take(shard, 'x', 'vm-a');
  const stale = { id: 'x', writer: 'vm-b', attempt: '9', state: 'abandoned' as const };
  await shard.submit({ kind: 'note', note: stale });
  t.is((await take(shard, 'x', 'vm-c'))._unsafeUnwrap().kind, 'known');
});

test('closed segments are remembered until their deadline and then deleted', async (t) => {
  const fake = makeFakeStore();
  const clock = { now: 0 };
  const shard = openShard(fake, clock);
  for (let i = 0; i < 900; i += 1) await take(shard, `claim-number-${i}`, 'vm-a');
  t.true(fake.entries.size >= 2);
  t.is(
    (await take(openShard(fake, clock), 'claim-number-0', 'vm-b'))._unsafeUnwrap().kind,
    'known',
  );
  const before = fake.entries.size;
  clock.now = 10_000;
  for (let i = 900; i < 1_800; i += 1) await take(shard, `claim-number-${i}`, 'vm-a');
  t.true(fake.entries.size <= before + 1);
  const largest = Math.max(...[...fake.entries.values()].map((e) => e.value.length));
  t.true(largest < 1_048_576);
});

test('a slow writer cannot add to a segment that was closed', async (t) => {
  const fake = makeFakeStore();
  const slow = openShard(fake);
  await take(slow, 'seed', 'vm-a');
  const fast = openShard(fake);
  for (let i = 0; i < 600; i += 1) await take(fast, `claim-number-${i}`, 'vm-b');
  t.is((await take(slow, 'claim-number-3', 'vm-a'))._unsafeUnwrap().kind, 'known');
  const segments = [...fake.entries.values()].map((e) => parseSegment(e.value)._unsafeUnwrap());
  t.is(segments.filter((s) => !s.closed).length, 1);
});

test('whatever is lost, and whoever writes, a claim is granted to one attempt', async (t) => {
  const event = fc.record({
    writer: fc.integer({ min: 0, max: 2 }),
    id: fc.constantFrom('x', 'y'),
    how: fc.constantFrom('ok' as const, 'lost-after' as const, 'lost-before' as const),
    restart: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(event, { maxLength: 40, size: 'max' }), async (events) => {
      const fake = makeFakeStore();
      const shards = [openShard(fake), openShard(fake), openShard(fake)];
      const granted = new Map<string, Set<string>>();
      await Promise.all(
        events.map(async ({ writer, id, how, restart }, i) => {
          fake.script.push(how);
          if (restart) shards[writer] = openShard(fake);
          const shard = shards[writer];
          const answer = shard && (await take(shard, id, `vm-${writer}`, String(i)));
          if (answer?.isOk() && answer.value.kind === 'granted')
            granted.set(id, (granted.get(id) ?? new Set()).add(`${writer}/${i}`));
        }),
      );
      granted.forEach((attempts) => t.is(attempts.size, 1));
    }),
    { numRuns: 300, seed: 44 },
  );
});
