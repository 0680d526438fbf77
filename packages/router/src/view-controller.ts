import { err, ok, type Result } from 'neverthrow';
import type { Store, StoreEntry, WatchResponse } from '@hemlocksill/types/ports.js';
import type { EvacuationRow } from '@hemlocksill/routing/evacuations.js';
import type { BackendServer, RoutingConfig } from '@hemlocksill/types/routing.js';
import type { StoreFormat } from '@hemlocksill/types/routing-ports.js';
import { buildRouteTable, type RouteTable } from '@hemlocksill/routing/route-table.js';
import type { ServerDirectory } from '@hemlocksill/routing/server-directory.js';
import type { EvacuationController } from './evacuation-controller.js';
import type { LogRouterEvent } from './events.js';
import { sleep } from './sleep.js';

/** Interval at which a reader checks whether it has become a watcher. */
const roleCheckPeriodMs = 200;

/**
 * Delay before a failed call to the store is retried, doubled at each failure up to the maximum.
 */
const minRetryDelayMs = 150;
const maxRetryDelayMs = 600;

/** Entries as they are in the store, exchanged between VMs, also while it is unavailable. */
export interface RawView {
  readonly config: StoreEntry | undefined;
  readonly servers: readonly StoreEntry[];
  /** Removed keys with the revision of the removal. */
  readonly removed: readonly (readonly [string, number])[];
  /** Absent if no data centre has been evacuated, or in the view of a VM of the release before. */
  readonly evacuations?: readonly EvacuationRow[];
}

/** Newest revisions that a VM has seen. */
export interface SeenRevisions {
  readonly config: number;
  readonly servers: number;
}

/** This VM's view of the configuration and the backend servers. */
export interface ViewController {
  readonly start: () => void;
  readonly stop: () => void;
  readonly getTable: () => RouteTable | undefined;
  readonly isComplete: () => boolean;
  readonly isStoreReachable: () => boolean;
  /** Assumes that the store can be reached again, until a call to it fails. */
  readonly assumeStoreReachable: () => void;
  readonly getSeenRevisions: () => SeenRevisions;
  /** Returns the changes after the given revisions. */
  readonly getChangesSince: (seen: SeenRevisions) => RawView;
  /** Reads the configuration from the store now, whether or not this VM watches it. */
  readonly readConfig: () => Promise<Result<void, string>>;
  /** Reads the backend servers from the store now, whether or not this VM watches them. */
  readonly readServers: () => Promise<Result<void, string>>;
  /** Merges a peer's view; entries that are not newer are ignored. */
  readonly merge: (view: RawView) => void;
}

/** Dependencies of the controller. */
export interface ViewDeps {
  readonly store: Store;
  readonly format: StoreFormat;
  readonly directory: ServerDirectory;
  readonly log: LogRouterEvent;
  readonly now: () => number;
  /** Whether this VM watches the store itself. */
  readonly isWatcher: () => boolean;
  /** Maximum duration of one watch call, in milliseconds. */
  readonly getWatchWaitMs: () => number;
  /** Keeps the evacuated data centres; without it, their keys are ignored. */
  readonly evacuations?: Pick<EvacuationController, 'applyRows' | 'applyListing' | 'listRows'>;
  /** Called with each new entry of a server, before the server can be chosen. */
  readonly onServer?: (server: BackendServer) => void;
  /** Called after a change of the configuration, or of anything else. */
  readonly onChange: (kind: 'config' | 'view') => void;
}

/** Maximum number of removed keys that are kept for peers; the oldest are dropped first. */
const maxRememberedRemovals = 500;

/**
 * Makes the controller that keeps the view current through watches on the store.
 *
 * Changes are ordered by the revisions of the store: a change that is not newer than the known
 * state is ignored, whether it comes from a watch, a listing or a peer.
 *
 * @example
 * const view = makeViewController(deps);
 * view.start();
 */
export const makeViewController = (deps: ViewDeps): ViewController => {
  const { store, format, directory, log } = deps;
  const rawServers = new Map<string, StoreEntry>();
  const removed = new Map<string, number>();
  /** Newest revision of a backend server's entry, including removals. */
  let newestServerRevision = 0;
  let rawConfig: StoreEntry | undefined;
  let config: RoutingConfig | undefined;
  let table: RouteTable | undefined;
  let hasServerList = false;
  let isStopped = false;
  let isReachable = true;

  const recordStoreResult = (isOk: boolean, reason: string): void => {
    directory.recordStoreState(isOk, deps.now());
    if (isReachable === isOk) return;
    isReachable = isOk;
    log(isOk ? 2102 : 2101, { reason });
    // Peers use this VM's store reachability to decide which VMs watch the store.
    deps.onChange('view');
  };

  const applyConfig = (entry: StoreEntry, source: string): void => {
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
    deps.onChange('config');
  };

  const applyServer = (entry: StoreEntry, source: string): void => {
    const listed = format.decodeServer(entry);
    if (directory.isLeftOver(listed)) {
      applyRemoval(entry.key, entry.revision, source);
      return;
    }
    if (!directory.applyEntry(listed)) return;
    rawServers.set(entry.key, entry);
    removed.delete(entry.key);
    newestServerRevision = Math.max(newestServerRevision, entry.revision);
    const { server } = listed;
    if (server) deps.onServer?.(server);
    if (server)
      log(2105, {
        server: server.id,
        state: server.state,
        stage: server.stage,
        revision: entry.revision,
        source,
      });
    else log(2106, { key: entry.key, revision: entry.revision });
    deps.onChange('view');
  };

  const applyRemoval = (key: string, revision: number, source: string): void => {
    if (!directory.applyRemoval(key, revision, deps.now())) return;
    rawServers.delete(key);
    removed.set(key, revision);
    newestServerRevision = Math.max(newestServerRevision, revision);
    const oldest = removed.keys().next().value;
    if (removed.size > maxRememberedRemovals && oldest !== undefined) removed.delete(oldest);
    log(2105, { server: key, state: 'removed', revision, source });
    deps.onChange('view');
  };

  const listServers = async (): Promise<Result<number, string>> => {
    const listing = await store.list(format.serverPrefix);
    if (listing.isErr()) return err(listing.error);
    const { entries, revision } = listing.value;
    directory.recordListing(revision);
    entries.forEach((entry) => applyServer(entry, 'listing'));
    const keys = new Set(entries.map((entry) => entry.key));
    directory.applyListing(revision, entries.map(format.decodeServer), deps.now());
    [...rawServers.values()]
      .filter((entry) => !keys.has(entry.key) && entry.revision <= revision)
      .forEach((entry) => {
        rawServers.delete(entry.key);
        removed.set(entry.key, revision);
        newestServerRevision = Math.max(newestServerRevision, revision);
        log(2105, { server: entry.key, state: 'removed', revision, source: 'listing' });
      });
    hasServerList = true;
    deps.onChange('view');
    return ok(revision);
  };

  const makeEvacuationRow = (
    key: string,
    revision: number,
    isEvacuated: boolean,
  ): EvacuationRow | undefined =>
    key.startsWith(format.evacuationPrefix)
      ? [key.slice(format.evacuationPrefix.length), revision, isEvacuated]
      : undefined;

  const readOperatorKeys = async (): Promise<Result<number, string>> => {
    const listing = await store.list(format.operatorPrefix);
    if (listing.isErr()) return err(listing.error);
    const { entries, revision } = listing.value;
    // Before the configuration, with which the VM may become ready.
    deps.evacuations?.applyListing(
      revision,
      entries.flatMap((entry) => {
        const row = makeEvacuationRow(entry.key, entry.revision, true);
        return row ? [row] : [];
      }),
    );
    const entry = entries.find((candidate) => candidate.key === format.configKey);
    if (entry) applyConfig(entry, 'listing');
    return ok(revision);
  };

  /** Follows a prefix until `stop`: lists it, then watches from the revision of the listing. */
  const followPrefix = async (
    prefix: string,
    list: () => Promise<Result<number, string>>,
    applyEvents: (response: WatchResponse & { kind: 'events' }) => void,
  ): Promise<void> => {
    let after: number | undefined;
    let retryDelayMs = minRetryDelayMs;
    const waitBeforeRetry = async (): Promise<void> => {
      await sleep(retryDelayMs);
      retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
    };
    while (!isStopped) {
      const isNeeded = table === undefined || !hasServerList || deps.isWatcher();
      if (after === undefined && isNeeded) {
        const listed = await list();
        recordStoreResult(listed.isOk(), listed.isErr() ? listed.error : '');
        if (listed.isOk()) after = listed.value;
        else await waitBeforeRetry();
        continue;
      }
      if (after === undefined || !deps.isWatcher()) {
        await sleep(roleCheckPeriodMs);
        continue;
      }
      const response = await store.watch(prefix, after, deps.getWatchWaitMs());
      if (response.isErr()) {
        recordStoreResult(false, response.error);
        // The store may have compacted its history by the time it is reachable again.
        after = undefined;
        // The connection may have gone silent while the store serves others; a listing opens a new one.
        if (response.error !== 'timeout') await waitBeforeRetry();
      } else if (response.value.kind === 'compacted') {
        log(2107, { prefix, after });
        after = undefined;
      } else {
        recordStoreResult(true, '');
        retryDelayMs = minRetryDelayMs;
        applyEvents(response.value);
        after = Math.max(after, response.value.revision);
      }
    }
  };

  const listEvacuations = (): Pick<RawView, 'evacuations'> => {
    const rows = deps.evacuations?.listRows() ?? [];
    return rows.length > 0 ? { evacuations: rows } : {};
  };

  return {
    start: () => {
      void followPrefix(format.serverPrefix, listServers, ({ events }) =>
        events.forEach(({ key, value, revision }) =>
          value === undefined
            ? applyRemoval(key, revision, 'watch')
            : applyServer({ key, value, revision }, 'watch'),
        ),
      );
      void followPrefix(format.operatorPrefix, readOperatorKeys, ({ events }) =>
        events.forEach(({ key, value, revision }) => {
          const row = makeEvacuationRow(key, revision, value !== undefined);
          if (row) deps.evacuations?.applyRows([row], 'watch');
          if (key === format.configKey && value !== undefined)
            applyConfig({ key, value, revision }, 'watch');
        }),
      );
    },
    stop: () => {
      isStopped = true;
    },
    getTable: () => table,
    isComplete: () => table !== undefined && hasServerList,
    isStoreReachable: () => isReachable,
    assumeStoreReachable: () => {
      if (!isReachable) recordStoreResult(true, 'assumed');
    },
    getSeenRevisions: () => ({ config: rawConfig?.revision ?? 0, servers: newestServerRevision }),
    getChangesSince: (seen) => ({
      config: rawConfig && rawConfig.revision > seen.config ? rawConfig : undefined,
      servers: [...rawServers.values()].filter((entry) => entry.revision > seen.servers),
      removed: [...removed].filter(([, revision]) => revision > seen.servers),
      ...listEvacuations(),
    }),
    readConfig: async () => (await readOperatorKeys()).map(() => undefined),
    readServers: async () => (await listServers()).map(() => undefined),
    merge: (view) => {
      deps.evacuations?.applyRows(view.evacuations ?? [], 'peer');
      if (view.config) applyConfig(view.config, 'peer');
      view.servers.forEach((entry) => applyServer(entry, 'peer'));
      view.removed.forEach(([key, revision]) => applyRemoval(key, revision, 'peer'));
      if (view.servers.length > 0) hasServerList = true;
    },
  };
};
