import test from 'ava';
import fc from 'fast-check';
import type { ListedServer } from '@hemlocksill/types/routing-ports.js';
import { makeServer } from './fixtures.js';
import { makeServerDirectory } from './server-directory.js';

const listed = (key: string, revision: number, part = {}): ListedServer => ({
  key,
  revision,
  server: makeServer({ id: key, ...part }),
});

const readyIds = (directory: ReturnType<typeof makeServerDirectory>, now = 0): string[] =>
  directory.listReady('desk', now).map((server) => server.id);

test('an older change never replaces a newer one, whichever way it comes', (t) => {
  const directory = makeServerDirectory();
  directory.applyEntry(listed('a', 9, { state: 'draining' }));
  t.false(directory.applyEntry(listed('a', 5)));
  directory.applyListing(7, [listed('a', 5)], 0);
  t.deepEqual(readyIds(directory), []);
});

test('a removal binds at once while the store is there', (t) => {
  const directory = makeServerDirectory();
  directory.applyListing(3, [listed('a', 1), listed('b', 2)], 0);
  t.true(directory.applyRemoval('a', 4, 100));
  t.deepEqual(readyIds(directory, 100), ['b']);
  t.false(directory.applyEntry(listed('a', 1)));
});

test('a listing removes what it lacks, but not what is newer', (t) => {
  const directory = makeServerDirectory();
  directory.applyEntry(listed('a', 1));
  directory.applyEntry(listed('b', 8));
  directory.applyListing(5, [], 0);
  t.deepEqual(readyIds(directory), ['b']);
});

test('entries that lapsed during an outage stay usable until they must be back', (t) => {
  const directory = makeServerDirectory();
  directory.applyListing(3, [listed('a', 1), listed('b', 2)], 0);
  directory.recordStoreState(false, 1_000);
  directory.recordStoreState(true, 5_000);
  directory.applyListing(9, [], 5_000);
  t.deepEqual(readyIds(directory, 6_000), ['a', 'b']);
  directory.applyEntry(listed('a', 11));
  t.deepEqual(readyIds(directory, 6_600), ['a']);
});

test('an entry that cannot be read names no server, and the others hold', (t) => {
  const directory = makeServerDirectory();
  directory.applyListing(3, [{ key: 'x', revision: 2, server: undefined }, listed('a', 1)], 0);
  t.deepEqual(readyIds(directory), ['a']);
});

test('any order of changes ends at the newest of each entry', (t) => {
  const change = fc.record({
    key: fc.constantFrom('a', 'b', 'c'),
    state: fc.constantFrom('ready' as const, 'draining' as const, 'removed' as const),
  });
  fc.assert(
    fc.property(
      fc.array(change, { maxLength: 12 }).chain((changes) => {
        const numbered = changes.map((one, at) => ({ ...one, revision: at + 1 }));
        const doubled = [...numbered, ...numbered];
        const shuffled = fc.shuffledSubarray(doubled, {
          minLength: doubled.length,
          maxLength: doubled.length,
        });
        return fc.tuple(fc.constant(numbered), shuffled);
      }),
      ([numbered, shuffled]) => {
        const directory = makeServerDirectory();
        shuffled.forEach(({ key, state, revision }) => {
          if (state === 'removed') directory.applyRemoval(key, revision, 0);
          else directory.applyEntry(listed(key, revision, { state }));
        });
        const newest = new Map(numbered.map((one) => [one.key, one.state]));
        const expected = [...newest].filter(([, state]) => state === 'ready').map(([key]) => key);
        return readyIds(directory).sort().join() === expected.sort().join();
      },
    ),
  );
  t.pass();
});
