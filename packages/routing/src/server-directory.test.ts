import test from 'ava';
import fc from 'fast-check';
import type { ListedServer } from '@hemlocksill/types/routing-ports.js';
import { makeStoreRevision } from '@hemlocksill/types/store-revision.js';
import { makeServer } from './fixtures.js';
import { makeServerDirectory } from './server-directory.js';

const makeListed = (key: string, revision: number, overrides = {}): ListedServer => ({
  key,
  revision,
  server: makeServer({ id: key, ...overrides }),
});

const listReadyIds = (directory: ReturnType<typeof makeServerDirectory>, now = 0): string[] =>
  directory.listReady('desk', now).map((server) => server.id);

test('an older entry or listing never replaces a newer entry', (t) => {
  const directory = makeServerDirectory();
  directory.applyEntry(makeListed('a', 9, { state: 'draining' }));
  t.false(directory.applyEntry(makeListed('a', 5)));
  directory.applyListing(7, [makeListed('a', 5)], 0);
  t.deepEqual(listReadyIds(directory), []);
});

test('a removal takes effect immediately while the store is reachable', (t) => {
  const directory = makeServerDirectory();
  directory.applyListing(3, [makeListed('a', 1), makeListed('b', 2)], 0);
  t.true(directory.applyRemoval('a', 4, 100));
  t.deepEqual(listReadyIds(directory, 100), ['b']);
  t.false(directory.applyEntry(makeListed('a', 1)));
});

test('a listing removes entries that are missing from it, except newer ones', (t) => {
  const directory = makeServerDirectory();
  directory.applyEntry(makeListed('a', 1));
  directory.applyEntry(makeListed('b', 8));
  directory.applyListing(5, [], 0);
  t.deepEqual(listReadyIds(directory), ['b']);
});

test('entries that expired in an outage of the store stay usable for a grace period', (t) => {
  const directory = makeServerDirectory();
  directory.applyListing(3, [makeListed('a', 1), makeListed('b', 2)], 0);
  directory.recordStoreState(false, 1_000);
  directory.recordStoreState(true, 5_000);
  directory.applyListing(9, [], 5_000);
  t.deepEqual(listReadyIds(directory, 6_000), ['a', 'b']);
  directory.applyEntry(makeListed('a', 11));
  t.deepEqual(listReadyIds(directory, 6_600), ['a']);
});

test('an entry that cannot be decoded is ignored, and the others stay usable', (t) => {
  const directory = makeServerDirectory();
  directory.applyListing(3, [{ key: 'x', revision: 2, server: undefined }, makeListed('a', 1)], 0);
  t.deepEqual(listReadyIds(directory), ['a']);
});

test('changes in any order and duplicated result in the newest state of each entry', (t) => {
  const change = fc.record({
    key: fc.constantFrom('a', 'b', 'c'),
    state: fc.constantFrom('ready' as const, 'draining' as const, 'removed' as const),
  });
  fc.assert(
    fc.property(
      fc.array(change, { maxLength: 12 }).chain((changes) => {
        const numbered = changes.map((item, index) => ({ ...item, revision: index + 1 }));
        const duplicated = [...numbered, ...numbered];
        const shuffled = fc.shuffledSubarray(duplicated, {
          minLength: duplicated.length,
          maxLength: duplicated.length,
        });
        return fc.tuple(fc.constant(numbered), shuffled);
      }),
      ([numbered, shuffled]) => {
        const directory = makeServerDirectory();
        shuffled.forEach(({ key, state, revision }) => {
          if (state === 'removed') directory.applyRemoval(key, revision, 0);
          else directory.applyEntry(makeListed(key, revision, { state }));
        });
        const newest = new Map(numbered.map((item) => [item.key, item.state]));
        const expected = [...newest].filter(([, state]) => state === 'ready').map(([key]) => key);
        return listReadyIds(directory).sort().join() === expected.sort().join();
      },
    ),
  );
  t.pass();
});

test('an instance that announced its leaving or drained before a restore is not used again', (t) => {
  const directory = makeServerDirectory();
  directory.applyEntry(makeListed('a', 2, { state: 'draining' }));
  directory.applyEntry(makeListed('a', makeStoreRevision(1, 1)));
  directory.applyEntry(makeListed('b', 3));
  t.true(directory.recordLeaving(makeServer({ id: 'b' })));
  t.false(directory.recordLeaving(makeServer({ id: 'b' })));
  t.deepEqual(listReadyIds(directory), []);
  directory.applyEntry(makeListed('b', 4, { startedAt: 2 }));
  t.deepEqual(listReadyIds(directory), ['b']);
});

test('after a restore, an entry that the copy lacks stays usable until servers have written again', (t) => {
  const directory = makeServerDirectory();
  directory.applyListing(90, [makeListed('a', 10), makeListed('b', 80)], 0);
  const restoredAt = makeStoreRevision(1, 20);
  directory.recordListing(restoredAt);
  directory.applyListing(restoredAt, [makeListed('a', makeStoreRevision(1, 10))], 1_000);
  t.deepEqual(listReadyIds(directory, 1_000), ['a', 'b']);
  t.deepEqual(listReadyIds(directory, 3_000), ['a']);
});

test('after a restore, an entry of a removed instance names no server until it is written again', (t) => {
  const directory = makeServerDirectory();
  directory.applyListing(10, [makeListed('a', 10)], 0);
  directory.applyRemoval('a', 40, 100);
  const restoredAt = makeStoreRevision(1, 20);
  directory.recordListing(restoredAt);
  t.true(directory.isLeftOver(makeListed('a', makeStoreRevision(1, 10))));
  t.false(directory.isLeftOver(makeListed('a', makeStoreRevision(1, 10), { startedAt: 2 })));
  t.false(directory.isLeftOver(makeListed('a', makeStoreRevision(1, 21))));
});

// Guards against streams that are bound to the version of a process that has ended.
test('after a restore, an instance stays known though the copy shows the one before it', (t) => {
  const directory = makeServerDirectory();
  directory.applyEntry(makeListed('a', 10, { startedAt: 1 }));
  directory.applyEntry(makeListed('a', 40, { startedAt: 2, softwareVersion: 'v2' }));
  const restoredAt = makeStoreRevision(1, 20);
  const copied = makeListed('a', makeStoreRevision(1, 10), { startedAt: 1 });
  directory.recordListing(restoredAt);
  t.false(directory.applyEntry(copied));
  directory.applyListing(restoredAt, [copied], 1_000);
  const listVersions = () =>
    directory.listReady('desk', 9_000).map(({ softwareVersion }) => softwareVersion);
  t.deepEqual(listVersions(), ['v2']);
  const written = { startedAt: 2, softwareVersion: 'v2', state: 'draining' as const };
  t.true(directory.applyEntry(makeListed('a', makeStoreRevision(1, 21), written)));
  t.deepEqual(listVersions(), []);
});

test('after a restore, an entry of an instance before the removed one names no server', (t) => {
  const directory = makeServerDirectory();
  directory.applyEntry(makeListed('a', 10, { startedAt: 1 }));
  directory.applyEntry(makeListed('a', 30, { startedAt: 2 }));
  directory.applyRemoval('a', 40, 100);
  directory.recordListing(makeStoreRevision(1, 20));
  t.true(directory.isLeftOver(makeListed('a', makeStoreRevision(1, 10), { startedAt: 1 })));
});

// Guards against streams that are bound to the version of a process that has ended.
test('an instance that its entry does not show yet is used only while no other is, with a version of its own', (t) => {
  const directory = makeServerDirectory();
  const listVersions = () => directory.listReady('desk', 0).map((server) => server.softwareVersion);
  const first = makeServer({ id: 'a', startedAt: 1, softwareVersion: 'v1' });
  directory.applyEntry({ key: 'a', revision: 1, server: first });
  directory.applyEntry(makeListed('b', 2, { startedAt: 1, softwareVersion: 'v1' }));
  t.false(directory.recordLaterInstance(first, 1));
  t.true(directory.recordLaterInstance(first, 2));
  t.false(directory.recordLaterInstance(first, 2));
  t.deepEqual(listReadyIds(directory), ['b']);
  directory.applyEntry(makeListed('b', 3, { startedAt: 1, state: 'draining' }));
  const [found] = directory.listReady('desk', 0);
  t.deepEqual([found?.id, found?.startedAt], ['a', 2]);
  t.not(found?.softwareVersion, 'v1');
  t.true(found !== undefined && directory.recordLaterInstance(found, 3));
  t.deepEqual(
    directory.listReady('desk', 0).map(({ startedAt }) => startedAt),
    [3],
  );
  directory.applyEntry(makeListed('a', 4, { startedAt: 3, softwareVersion: 'v2' }));
  t.deepEqual(listVersions(), ['v2']);
});

test('a server that states a later start each time it is asked does not exhaust the stack', (t) => {
  const directory = makeServerDirectory();
  directory.applyEntry(makeListed('a', 1, { startedAt: 1 }));
  const startCount = 100_000;
  let [found] = directory.listReady('desk', 0);
  for (let n = 0; n < startCount && found; n += 1) {
    directory.recordLaterInstance(found, found.startedAt + 1);
    if (n % 5_000 === 0 || n === startCount - 1) [found] = directory.listReady('desk', 0);
    else found = { ...found, startedAt: found.startedAt + 1 };
  }
  t.is(found?.startedAt, startCount + 1);
  directory.applyEntry(makeListed('a', 2, { startedAt: startCount + 2 }));
  t.deepEqual(listReadyIds(directory), ['a']);
});

test('an instance that answers for an entry which was replaced meanwhile is not recorded', (t) => {
  const directory = makeServerDirectory();
  const first = makeServer({ id: 'a', startedAt: 1 });
  directory.applyEntry({ key: 'a', revision: 1, server: first });
  directory.applyEntry(makeListed('a', 2, { startedAt: 2, softwareVersion: 'v2' }));
  t.false(directory.recordLaterInstance(first, 2));
  directory.applyRemoval('a', 3, 0);
  t.false(directory.recordLaterInstance(first, 2));
});
