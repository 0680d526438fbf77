import { err, ok, type Result } from 'neverthrow';
import type { Store, StoreEntry, WatchResponse } from '@hemlocksill/types/ports.js';
import type { RoutingConfig } from '@hemlocksill/types/routing.js';
import type { StoreFormat } from '@hemlocksill/types/routing-ports.js';
import { buildRouteTable, type RouteTable } from '@hemlocksill/routing/route-table.js';
import type { ServerDirectory } from '@hemlocksill/routing/server-directory.js';
import type { LogRouterEvent } from './events.js';
import { pause } from './sleep.js';

/** Pause between two looks at whether this VM is to follow the store. */
const idleMs = 200;

/** Pause before a call to the store that failed is made again, doubled at each failure. */
const firstRetryMs = 150;
const longestRetryMs = 600;

/** Entries as the store holds them, passed between VMs while the store is away. */
export interface RawView {
  readonly config: StoreEntry | undefined;
  readonly servers: readonly StoreEntry[];
  /** Keys that were removed, with the revision of the removal. */
  readonly removed: readonly (readonly [string, number])[];
}

/** Newest revisions that a VM has seen. */
export interface SeenRevisions {
  readonly config: number;
  readonly servers: number;
}

/** What a VM knows of the configuration and the backend servers. */
export interface ViewController {
  readonly start: () => void;
  readonly stop: () => void;
  readonly table: () => RouteTable | undefined;
  readonly isComplete: () => boolean;
  readonly isStoreReachable: () => boolean;
  readonly seen: () => SeenRevisions;
  /** What is known beyond some revisions. */
  readonly rawSince: (seen: SeenRevisions) => RawView;
  /** Takes what a peer knows into account, as far as it is newer. */
  readonly merge: (view: RawView) => void;
}

/** Ports of the controller. */
export interface ViewDeps {
  readonly store: Store;
  readonly format: StoreFormat;
  readonly directory: ServerDirectory;
  readonly log: LogRouterEvent;
  readonly now: () => number;
  /** Whether this VM follows the store itself. */
  readonly isWatcher: () => boolean;
  /** Longest wait of a watch, in milliseconds. */
  readonly watchWaitMs: () => number;
  readonly onChange: () => void;
}

/** Removed keys that are remembered for peers. */
const mostRemoved = 500;

/**
 * Makes the controller that follows the store by watches.
 *
 * The store's revisions order all that is learnt: a change that is not newer than what is
 * known is ignored, whether it comes from a watch, a listing or a peer.
 *
 * @example
 * const view = makeViewController(deps);
 * view.start();
 */
export const makeViewController = (deps: ViewDeps): ViewController => {
  const { store, format, directory, log } = deps;
  const rawServers = new Map<string, StoreEntry>();
  const removed = new Map<string, number>();
  /** Newest revision among the backend servers, removals included. */
  let newestServer = 0;
  let rawConfig: StoreEntry | undefined;
  let config: RoutingConfig | undefined;
  let table: RouteTable | undefined;
  let hasServers = false;
  let stopped = false;
  let reachable = true;

  const noteStore = (ok_: boolean, reason: string): void => {
    directory.recordStoreState(ok_, deps.now());
    if (reachable === ok_) return;
    reachable = ok_;
    log(ok_ ? 2102 : 2101, { reason });
    // The others rely on this VM's account of the store.
    deps.onChange();
  };

  const takeConfig = (entry: StoreEntry, source: string): void => {
    if (rawConfig && rawConfig.revision >= entry.revision) return;
    const decoded = format.decodeConfig(entry.value);
    if (decoded.isErr()) {
      log(2104, { revision: entry.revision, reason: decoded.error });
      return;
    }
    if (config && decoded.value.version < config.version) return;
    rawConfig = entry;
    config = decoded.value;
    table = buildRouteTable(config);
    log(2103, { version: config.version, revision: entry.revision, source });
    deps.onChange();
  };

  const takeServer = (entry: StoreEntry, source: string): void => {
    const listed = format.decodeServer(entry);
    if (!directory.applyEntry(listed)) return;
    rawServers.set(entry.key, entry);
    removed.delete(entry.key);
    newestServer = Math.max(newestServer, entry.revision);
    const { server } = listed;
    if (server)
      log(2105, {
        server: server.id,
        state: server.state,
        stage: server.stage,
        revision: entry.revision,
        source,
      });
    else log(2106, { key: entry.key, revision: entry.revision });
    deps.onChange();
  };

  const takeRemoval = (key: string, revision: number, source: string): void => {
    if (!directory.applyRemoval(key, revision, deps.now())) return;
    rawServers.delete(key);
    removed.set(key, revision);
    newestServer = Math.max(newestServer, revision);
    const oldest = removed.keys().next().value;
    if (removed.size > mostRemoved && oldest !== undefined) removed.delete(oldest);
    log(2105, { server: key, state: 'removed', revision, source });
    deps.onChange();
  };

  const listServers = async (): Promise<Result<number, string>> => {
    const listing = await store.list(format.serverPrefix);
    if (listing.isErr()) return err(listing.error);
    const { entries, revision } = listing.value;
    entries.forEach((entry) => takeServer(entry, 'listing'));
    const keys = new Set(entries.map((entry) => entry.key));
    directory.applyListing(revision, entries.map(format.decodeServer), deps.now());
    [...rawServers.values()]
      .filter((entry) => !keys.has(entry.key) && entry.revision <= revision)
      .forEach((entry) => {
        rawServers.delete(entry.key);
        removed.set(entry.key, revision);
        newestServer = Math.max(newestServer, revision);
        log(2105, { server: entry.key, state: 'removed', revision, source: 'listing' });
      });
    hasServers = true;
    deps.onChange();
    return ok(revision);
  };

  const readConfig = async (): Promise<Result<number, string>> => {
    const listing = await store.list(format.configKey);
    if (listing.isErr()) return err(listing.error);
    const entry = listing.value.entries.find((one) => one.key === format.configKey);
    if (entry) takeConfig(entry, 'listing');
    return ok(listing.value.revision);
  };

  /** Follows a prefix for ever: lists, then watches from the listing's revision. */
  const follow = async (
    prefix: string,
    list: () => Promise<Result<number, string>>,
    take: (answer: WatchResponse & { kind: 'events' }) => void,
  ): Promise<void> => {
    let after: number | undefined;
    let retryMs = firstRetryMs;
    const backOff = async (): Promise<void> => {
      await pause(retryMs);
      retryMs = Math.min(longestRetryMs, retryMs * 2);
    };
    while (!stopped) {
      if (after === undefined) {
        const listed = await list();
        noteStore(listed.isOk(), listed.isErr() ? listed.error : '');
        if (listed.isOk()) after = listed.value;
        else await backOff();
        continue;
      }
      if (!deps.isWatcher()) {
        await pause(idleMs);
        continue;
      }
      const answer = await store.watch(prefix, after, deps.watchWaitMs());
      if (answer.isErr()) {
        noteStore(false, answer.error);
        // The history may be gone by the time that the store is back.
        after = undefined;
        await backOff();
      } else if (answer.value.kind === 'compacted') {
        log(2107, { prefix, after });
        after = undefined;
      } else {
        noteStore(true, '');
        retryMs = firstRetryMs;
        take(answer.value);
        after = Math.max(after, answer.value.revision);
      }
    }
  };

  return {
    start: () => {
      void follow(format.serverPrefix, listServers, ({ events }) =>
        events.forEach(({ key, value, revision }) =>
          value === undefined
            ? takeRemoval(key, revision, 'watch')
            : takeServer({ key, value, revision }, 'watch'),
        ),
      );
      void follow(format.configKey, readConfig, ({ events }) =>
        events.forEach(({ key, value, revision }) => {
          if (key === format.configKey && value !== undefined)
            takeConfig({ key, value, revision }, 'watch');
        }),
      );
    },
    stop: () => {
      stopped = true;
    },
    table: () => table,
    isComplete: () => table !== undefined && hasServers,
    isStoreReachable: () => reachable,
    seen: () => ({ config: rawConfig?.revision ?? 0, servers: newestServer }),
    rawSince: (seen) => ({
      config: rawConfig && rawConfig.revision > seen.config ? rawConfig : undefined,
      servers: [...rawServers.values()].filter((entry) => entry.revision > seen.servers),
      removed: [...removed].filter(([, revision]) => revision > seen.servers),
    }),
    merge: (view) => {
      if (view.config) takeConfig(view.config, 'peer');
      view.servers.forEach((entry) => takeServer(entry, 'peer'));
      view.removed.forEach(([key, revision]) => takeRemoval(key, revision, 'peer'));
      if (view.servers.length > 0) hasServers = true;
    },
  };
};
