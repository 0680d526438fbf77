import test, { type ExecutionContext } from 'ava';
import { err, ok } from 'neverthrow';
import type { Store, StoreEntry } from '@hemlocksill/types/ports.js';
import { makeConfig, makeRoute, makeServer } from '@hemlocksill/routing/fixtures.js';
import { makeServerDirectory } from '@hemlocksill/routing/server-directory.js';
import { makeViewController } from './view-controller.js';

const makeEntry = (key: string, value: string, revision: number): StoreEntry => ({
  key,
  value,
  revision,
});

const watchForever: Store['watch'] = () => new Promise(() => {});

/**
 * Makes a controller whose store holds `entries`, or is unreachable, and whose watches never
 * return by default.
 */
const makeView = (
  t: ExecutionContext,
  entries: readonly StoreEntry[] = [],
  isDown = false,
  watch = watchForever,
) => {
  const events: number[] = [];
  const listedPrefixes: string[] = [];
  const failUnreachable = () => Promise.resolve(err('unreachable' as const));
  const store: Store = {
    get: failUnreachable,
    list: (prefix) => {
      listedPrefixes.push(prefix);
      return Promise.resolve(
        isDown
          ? err('unreachable' as const)
          : ok({ entries: entries.filter((entry) => entry.key.startsWith(prefix)), revision: 50 }),
      );
    },
    cas: failUnreachable,
    grantLease: failUnreachable,
    renewLease: failUnreachable,
    revokeLease: failUnreachable,
    watch,
  };
  const view = makeViewController({
    store,
    format: {
      serverPrefix: 's/',
      operatorPrefix: 'config',
      configKey: 'config',
      evacuationPrefix: 'config/evacuated/',
      vmPrefix: 'vms/',
      stageLockKey: 'lock',
      versionRecordKey: 'versions',
      originPrefix: 'origins/',
      decodeServer: ({ key, revision, value }) => ({
        key,
        revision,
        server: value === 'garbage' ? undefined : makeServer({ id: key }),
      }),
      decodeConfig: (value) =>
        value === 'garbage' ? err('not readable') : ok(makeConfig([makeRoute({})], Number(value))),
    },
    directory: makeServerDirectory(),
    log: (id) => events.push(id),
    now: () => performance.now(),
    isWatcher: () => true,
    getWatchWaitMs: () => 4_000,
    onChange: () => {},
  });
  t.teardown(view.stop);
  return { view, events, listedPrefixes };
};

const waitForStore = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, 20);
  });

test('a view is complete once it has a configuration and a list of servers', async (t) => {
  const { view } = makeView(t, [makeEntry('config', '3', 10), makeEntry('s/a', 'x', 11)]);
  t.false(view.isComplete());
  view.start();
  await waitForStore();
  t.true(view.isComplete());
  t.deepEqual(view.getSeenRevisions(), { config: 10, servers: 11 });
});

test('a configuration with an older revision or version is ignored', (t) => {
  const { view } = makeView(t);
  const mergeConfig = (value: string, revision: number) =>
    view.merge({ config: makeEntry('config', value, revision), servers: [], removed: [] });
  mergeConfig('5', 10);
  mergeConfig('7', 9);
  t.is(view.getTable()?.config.version, 5);
  mergeConfig('4', 12);
  t.is(view.getTable()?.config.version, 5);
  mergeConfig('6', 13);
  t.is(view.getTable()?.config.version, 6);
});

test('an unreadable configuration leaves the current one in force', (t) => {
  const { view, events } = makeView(t);
  view.merge({ config: makeEntry('config', '5', 10), servers: [], removed: [] });
  view.merge({ config: makeEntry('config', 'garbage', 11), servers: [], removed: [] });
  t.is(view.getTable()?.config.version, 5);
  t.true(events.includes(2104));
});

test('a peer gets the changes after its revisions, including removals', (t) => {
  const { view } = makeView(t);
  view.merge({
    config: makeEntry('config', '5', 10),
    servers: [makeEntry('s/a', 'x', 11), makeEntry('s/b', 'garbage', 12)],
    removed: [['s/c', 13]],
  });
  const receivedChanges = view.getChangesSince({ config: 10, servers: 11 });
  t.is(receivedChanges.config, undefined);
  t.deepEqual(
    receivedChanges.servers.map(({ key }) => key),
    ['s/b'],
  );
  t.deepEqual(receivedChanges.removed, [['s/c', 13]]);
  const { view: other } = makeView(t);
  other.merge(view.getChangesSince({ config: 0, servers: 0 }));
  t.deepEqual(other.getSeenRevisions(), view.getSeenRevisions());
  t.true(other.isComplete());
});

test('an unreachable store is logged once', async (t) => {
  const { view, events } = makeView(t, [], true);
  view.start();
  await waitForStore();
  t.false(view.isStoreReachable());
  t.is(events.filter((id) => id === 2101).length, 1);
});

test('a watch that timed out is followed by a listing without a delay', async (t) => {
  let watchCount = 0;
  const watch: Store['watch'] = (prefix, after, waitMs) => {
    watchCount += 1;
    const isFirstOfPrefix = watchCount <= 2;
    return isFirstOfPrefix
      ? Promise.resolve(err('timeout' as const))
      : watchForever(prefix, after, waitMs);
  };
  const { view, listedPrefixes } = makeView(t, [], false, watch);
  view.start();
  await waitForStore();
  t.deepEqual([...listedPrefixes].sort(), ['config', 'config', 's/', 's/']);
});
