import test, { type ExecutionContext } from 'ava';
import { err, ok } from 'neverthrow';
import type { Store, StoreEntry } from '@hemlocksill/types/ports.js';
import { makeConfig, makeRoute, makeServer } from '@hemlocksill/routing/fixtures.js';
import { makeServerDirectory } from '@hemlocksill/routing/server-directory.js';
import { makeViewController } from './view-controller.js';

const entry = (key: string, value: string, revision: number): StoreEntry => ({
  key,
  value,
  revision,
});

/** A controller whose store holds nothing and never answers a watch. */
const makeView = (t: ExecutionContext, entries: readonly StoreEntry[] = [], down = false) => {
  const events: number[] = [];
  const unused = () => Promise.resolve(err('unreachable' as const));
  const store: Store = {
    get: unused,
    list: (prefix) =>
      Promise.resolve(
        down
          ? err('unreachable' as const)
          : ok({ entries: entries.filter((e) => e.key.startsWith(prefix)), revision: 50 }),
      ),
    cas: unused,
    grantLease: unused,
    renewLease: unused,
    revokeLease: unused,
    watch: () => new Promise(() => {}),
  };
  const view = makeViewController({
    store,
    format: {
      serverPrefix: 's/',
      configKey: 'config',
      vmPrefix: 'vms/',
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
    watchWaitMs: () => 4_000,
    onChange: () => {},
  });
  t.teardown(view.stop);
  return { view, events };
};

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, 20);
  });

test('a view is complete with a configuration and a list of servers', async (t) => {
  const { view } = makeView(t, [entry('config', '3', 10), entry('s/a', 'x', 11)]);
  t.false(view.isComplete());
  view.start();
  await settle();
  t.true(view.isComplete());
  t.deepEqual(view.getSeenRevisions(), { config: 10, servers: 11 });
});

test('a configuration never goes back, by revision or by version', (t) => {
  const { view } = makeView(t);
  const take = (value: string, revision: number) =>
    view.merge({ config: entry('config', value, revision), servers: [], removed: [] });
  take('5', 10);
  take('7', 9);
  t.is(view.table()?.config.version, 5);
  take('4', 12);
  t.is(view.table()?.config.version, 5);
  take('6', 13);
  t.is(view.table()?.config.version, 6);
});

test('a configuration that cannot be read leaves the one in force', (t) => {
  const { view, events } = makeView(t);
  view.merge({ config: entry('config', '5', 10), servers: [], removed: [] });
  view.merge({ config: entry('config', 'garbage', 11), servers: [], removed: [] });
  t.is(view.table()?.config.version, 5);
  t.true(events.includes(2104));
});

test('a peer gets what it lacks, removals included', (t) => {
  const { view } = makeView(t);
  view.merge({
    config: entry('config', '5', 10),
    servers: [entry('s/a', 'x', 11), entry('s/b', 'garbage', 12)],
    removed: [['s/c', 13]],
  });
  const since = view.getChangesSince({ config: 10, servers: 11 });
  t.is(since.config, undefined);
  t.deepEqual(
    since.servers.map(({ key }) => key),
    ['s/b'],
  );
  t.deepEqual(since.removed, [['s/c', 13]]);
  const { view: other } = makeView(t);
  other.merge(view.getChangesSince({ config: 0, servers: 0 }));
  t.deepEqual(other.getSeenRevisions(), view.getSeenRevisions());
  t.true(other.isComplete());
});

test('a lost store is told once, and once when it is back', async (t) => {
  const { view, events } = makeView(t, [], true);
  view.start();
  await settle();
  t.false(view.isStoreReachable());
  t.is(events.filter((id) => id === 2101).length, 1);
});
