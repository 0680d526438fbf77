import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { ListedServer } from '@hemlocksill/types/routing-ports.js';

/** Time after an outage of the store within which lapsed entries come back. */
const lapseGraceMs = 1_500;

interface Entry {
  readonly key: string;
  revision: number;
  server: BackendServer | undefined;
  /** Set when the entry vanished around an outage; it is gone at this time. */
  goneAt: number | undefined;
}

/** The backend servers that the platform lists, never older than what was seen before. */
export interface ServerDirectory {
  /** Takes a listing into account; entries that it lacks and that are older are gone. */
  readonly applyListing: (revision: number, listed: readonly ListedServer[], now: number) => void;
  readonly applyEntry: (listed: ListedServer) => boolean;
  readonly applyRemoval: (key: string, revision: number, now: number) => boolean;
  /** Notes whether the store answers; removals around an outage are believed late. */
  readonly recordStoreState: (reachable: boolean, now: number) => void;
  /** Backend servers of a service that may get new work. */
  readonly listReady: (service: string, now: number) => readonly BackendServer[];
  readonly find: (id: string) => BackendServer | undefined;
  readonly list: () => readonly ListedServer[];
  readonly revision: () => number;
}

/**
 * Makes an empty directory.
 *
 * Changes may come by a watch, a listing or a peer, in any order: each entry keeps the
 * revision of its last change, and a change that is not newer is ignored.
 *
 * @example
 * const directory = makeServerDirectory();
 * directory.applyListing(12, listed, now);
 * directory.listReady('order-desk', now);
 */
export const makeServerDirectory = (): ServerDirectory => {
  const entries = new Map<string, Entry>();
  let seen = 0;
  let storeReachable = true;
  /** Until this time a missing entry may still come back. */
  let lapseUntil = 0;
  let ready = new Map<string, BackendServer[]>();
  let dirty = true;

  const rebuild = (now: number): void => {
    ready = new Map();
    dirty = false;
    entries.forEach((entry) => {
      if (entry.goneAt !== undefined && entry.goneAt <= now) return;
      // A lapsed entry must be looked at again when its time is up.
      if (entry.goneAt !== undefined) dirty = true;
      const { server } = entry;
      if (server?.state !== 'ready') return;
      const list = ready.get(server.service);
      if (list) list.push(server);
      else ready.set(server.service, [server]);
    });
  };

  const remove = (entry: Entry, revision: number, now: number): void => {
    dirty = true;
    entry.revision = revision;
    if (!storeReachable || now < lapseUntil) entry.goneAt = Math.max(now, lapseUntil);
    else entry.server = undefined;
  };

  const applyEntry = (listed: ListedServer): boolean => {
    seen = Math.max(seen, listed.revision);
    const known = entries.get(listed.key);
    if (known && known.revision >= listed.revision) return false;
    entries.set(listed.key, { ...listed, goneAt: undefined });
    dirty = true;
    return true;
  };

  return {
    applyListing: (revision, listed, now) => {
      seen = Math.max(seen, revision);
      const keys = new Set(listed.map((one) => one.key));
      listed.forEach(applyEntry);
      entries.forEach((entry) => {
        if (keys.has(entry.key) || entry.revision > revision) return;
        if (entry.server && entry.goneAt === undefined) remove(entry, revision, now);
      });
    },
    applyEntry,
    applyRemoval: (key, revision, now) => {
      seen = Math.max(seen, revision);
      const entry = entries.get(key);
      if (!entry) {
        entries.set(key, { key, revision, server: undefined, goneAt: undefined });
        return true;
      }
      if (entry.revision >= revision) return false;
      remove(entry, revision, now);
      return true;
    },
    recordStoreState: (reachable, now) => {
      if (!storeReachable && reachable) lapseUntil = now + lapseGraceMs;
      storeReachable = reachable;
    },
    listReady: (service, now) => {
      if (dirty) rebuild(now);
      return ready.get(service) ?? [];
    },
    find: (id) => entries.get(id)?.server,
    list: () =>
      [...entries.values()].map(({ key, revision, server, goneAt }) => ({
        key,
        revision,
        server: goneAt === undefined ? server : undefined,
      })),
    revision: () => seen,
  };
};
