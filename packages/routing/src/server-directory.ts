import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { ListedServer } from '@hemlocksill/types/routing-ports.js';

/** Time after an outage of the store within which backend servers renew their expired entries. */
const expiryGraceMs = 1_500;

interface Entry {
  readonly key: string;
  revision: number;
  server: BackendServer | undefined;
  /** Set if the entry disappeared in or soon after an outage; it is usable until this time. */
  removedAt: number | undefined;
}

/** The backend servers that the platform lists; an older revision never replaces a newer one. */
export interface ServerDirectory {
  /** Applies a listing; entries that are missing from it are removed unless they are newer. */
  readonly applyListing: (revision: number, listed: readonly ListedServer[], now: number) => void;
  /** Applies an entry; returns false if it is not newer than the known one. */
  readonly applyEntry: (listed: ListedServer) => boolean;
  /** Applies a removal; returns false if it is not newer than the known entry. */
  readonly applyRemoval: (key: string, revision: number, now: number) => boolean;
  /** Records whether the store is reachable; removals soon after an outage take effect late. */
  readonly recordStoreState: (isReachable: boolean, now: number) => void;
  /** Backend servers of a service that accept new requests. */
  readonly listReady: (service: string, now: number) => readonly BackendServer[];
  readonly find: (id: string) => BackendServer | undefined;
  readonly list: () => readonly ListedServer[];
  readonly getRevision: () => number;
}

/**
 * Creates an empty directory.
 *
 * Changes arrive from a watch, a listing or a peer, in any order. Each entry keeps the revision
 * of its last change, and a change that is not newer is ignored.
 *
 * @example
 * const directory = makeServerDirectory();
 * directory.applyListing(12, listed, now);
 * directory.listReady('order-desk', now);
 */
export const makeServerDirectory = (): ServerDirectory => {
  const entries = new Map<string, Entry>();
  let latestRevision = 0;
  let isStoreReachable = true;
  /** Until this time, entries that expired in an outage may be renewed. */
  let expiryGraceUntil = 0;
  let readyByService = new Map<string, BackendServer[]>();
  let needsRebuild = true;

  const rebuild = (now: number): void => {
    readyByService = new Map();
    needsRebuild = false;
    entries.forEach((entry) => {
      if (entry.removedAt !== undefined && entry.removedAt <= now) return;
      // An entry in its grace period must be checked again when the period ends.
      if (entry.removedAt !== undefined) needsRebuild = true;
      const { server } = entry;
      if (server?.state !== 'ready') return;
      const readyServers = readyByService.get(server.service);
      if (readyServers) readyServers.push(server);
      else readyByService.set(server.service, [server]);
    });
  };

  const remove = (entry: Entry, revision: number, now: number): void => {
    needsRebuild = true;
    entry.revision = revision;
    if (!isStoreReachable || now < expiryGraceUntil)
      entry.removedAt = Math.max(now, expiryGraceUntil);
    else entry.server = undefined;
  };

  const applyEntry = (listed: ListedServer): boolean => {
    latestRevision = Math.max(latestRevision, listed.revision);
    const current = entries.get(listed.key);
    if (current && current.revision >= listed.revision) return false;
    entries.set(listed.key, { ...listed, removedAt: undefined });
    needsRebuild = true;
    return true;
  };

  return {
    applyListing: (revision, listed, now) => {
      latestRevision = Math.max(latestRevision, revision);
      const keys = new Set(listed.map((entry) => entry.key));
      listed.forEach(applyEntry);
      entries.forEach((entry) => {
        if (keys.has(entry.key) || entry.revision > revision) return;
        if (entry.server && entry.removedAt === undefined) remove(entry, revision, now);
      });
    },
    applyEntry,
    applyRemoval: (key, revision, now) => {
      latestRevision = Math.max(latestRevision, revision);
      const entry = entries.get(key);
      if (!entry) {
        entries.set(key, { key, revision, server: undefined, removedAt: undefined });
        return true;
      }
      if (entry.revision >= revision) return false;
      remove(entry, revision, now);
      return true;
    },
    recordStoreState: (isReachable, now) => {
      if (!isStoreReachable && isReachable) expiryGraceUntil = now + expiryGraceMs;
      isStoreReachable = isReachable;
    },
    listReady: (service, now) => {
      if (needsRebuild) rebuild(now);
      return readyByService.get(service) ?? [];
    },
    find: (id) => entries.get(id)?.server,
    list: () =>
      [...entries.values()].map(({ key, revision, server, removedAt }) => ({
        key,
        revision,
        server: removedAt === undefined ? server : undefined,
      })),
    getRevision: () => latestRevision,
  };
};
