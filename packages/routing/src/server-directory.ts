import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { ListedServer } from '@hemlocksill/types/routing-ports.js';
import { getStoreEra } from '@hemlocksill/types/store-revision.js';

/**
 * Time after an outage or a restore of the store within which backend servers renew their entries.
 */
const expiryGraceMs = 1_500;

interface Entry {
  readonly key: string;
  revision: number;
  server: BackendServer | undefined;
  /** Set if the entry disappeared in or soon after an outage; it is usable until this time. */
  removedAt: number | undefined;
  /** Start time of the instance that was removed last, if there was one. */
  goneStartedAt?: number;
}

/**
 * Identifies one incarnation of a backend server.
 *
 * @example
 * getInstanceKey(server); // 'i-1 1700000000000'
 */
export const getInstanceKey = (server: Pick<BackendServer, 'id' | 'startedAt'>): string =>
  `${server.id} ${server.startedAt}`;

/** The backend servers that the platform lists; an older revision never replaces a newer one. */
export interface ServerDirectory {
  /**
   * Records the revision of a listing, before its entries are applied. The first listing of an era
   * shows what the store was restored with.
   */
  readonly recordListing: (revision: number) => void;
  /**
   * Whether an entry is left over in a restored store although its instance, or a later one, was removed before;
   * the instance has not written it since.
   */
  readonly isLeftOver: (listed: ListedServer) => boolean;
  /** Applies a listing; entries that are missing from it are removed unless they are newer. */
  readonly applyListing: (revision: number, listed: readonly ListedServer[], now: number) => void;
  /** Applies an entry; returns false if it is not newer than the known one. */
  readonly applyEntry: (listed: ListedServer) => boolean;
  /** Applies a removal; returns false if it is not newer than the known entry. */
  readonly applyRemoval: (key: string, revision: number, now: number) => boolean;
  /** Records whether the store is reachable; removals soon after an outage take effect late. */
  readonly recordStoreState: (isReachable: boolean, now: number) => void;
  /** Records that an instance announced that it is leaving; returns whether that is new. */
  readonly recordLeaving: (server: BackendServer) => boolean;
  /**
   * Records that a later instance answers for a server, whose version is not known until its entry shows it. Until
   * then it takes requests only while its service has no other server for whole requests. Returns whether that is new.
   */
  readonly recordLaterInstance: (server: BackendServer, startedAt: number) => boolean;
  /** Backend servers of a service that accept new requests. */
  readonly listReady: (service: string, now: number) => readonly BackendServer[];
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
  /** Instances that announced that they are leaving, or were draining before a restore. */
  const leavingInstances = new Set<string>();
  /** Start times of the latest instances that answer in place of listed ones, by the instance that is listed. */
  const laterInstances = new Map<string, number>();
  /** Revision of the first listing of the latest era. */
  let firstListingOfEra = 0;
  let readyByService = new Map<string, BackendServer[]>();
  let needsRebuild = true;

  /** Returns the instance that answers for a listed server; its version is its own if the entry is older. */
  const findInstance = (server: BackendServer): BackendServer => {
    const startedAt = laterInstances.get(getInstanceKey(server));
    if (startedAt === undefined) return server;
    const later = { ...server, startedAt };
    return { ...later, softwareVersion: `unknown (${getInstanceKey(later)})` };
  };

  const findListed = (id: string): BackendServer | undefined =>
    [...entries.values()].find(({ server }) => server?.id === id)?.server;

  /** Forgets what is known of an instance whose entry shows another one, or none, now. */
  const forgetInstance = (
    { id, startedAt }: Pick<BackendServer, 'id' | 'startedAt'>,
    listedStart?: number,
  ): void => {
    const key = getInstanceKey({ id, startedAt });
    const later = laterInstances.get(key);
    laterInstances.delete(key);
    leavingInstances.delete(key);
    if (later !== undefined && later !== listedStart)
      leavingInstances.delete(getInstanceKey({ id, startedAt: later }));
  };

  const rebuild = (now: number): void => {
    readyByService = new Map();
    needsRebuild = false;
    const unconfirmed: BackendServer[] = [];
    const addReady = (server: BackendServer): void => {
      const readyServers = readyByService.get(server.service);
      if (readyServers) readyServers.push(server);
      else readyByService.set(server.service, [server]);
    };
    entries.forEach((entry) => {
      if (entry.removedAt !== undefined && entry.removedAt <= now) return;
      // An entry in its grace period must be checked again when the period ends.
      if (entry.removedAt !== undefined) needsRebuild = true;
      const server = entry.server && findInstance(entry.server);
      if (server?.state !== 'ready' || leavingInstances.has(getInstanceKey(server))) return;
      if (server.startedAt === entry.server?.startedAt) addReady(server);
      else unconfirmed.push(server);
    });
    unconfirmed
      .filter(
        ({ service }) => !readyByService.get(service)?.some(({ stage }) => stage !== 'prefill'),
      )
      .forEach(addReady);
  };

  const remove = (entry: Entry, revision: number, now: number): void => {
    needsRebuild = true;
    // An entry that a restored store lacks may only have been written after the copy.
    const isLostInRestore = getStoreEra(revision) > getStoreEra(entry.revision);
    entry.revision = revision;
    if (entry.server) entry.goneStartedAt = entry.server.startedAt;
    if (isLostInRestore) entry.removedAt = now + expiryGraceMs;
    else if (!isStoreReachable || now < expiryGraceUntil)
      entry.removedAt = Math.max(now, expiryGraceUntil);
    else {
      if (entry.server) forgetInstance(entry.server);
      entry.server = undefined;
    }
  };

  /** Whether an entry was in the copy with which the store was restored since the known one was written. */
  const isFromCopy = (revision: number, current: Entry): boolean =>
    getStoreEra(revision) > getStoreEra(current.revision) && revision <= firstListingOfEra;

  const applyEntry = (listed: ListedServer): boolean => {
    latestRevision = Math.max(latestRevision, listed.revision);
    const current = entries.get(listed.key);
    if (current && current.revision >= listed.revision) return false;
    const { server } = listed;
    // The copy may hold the entry of an instance that ended; the later one writes its own again.
    if (
      current?.server &&
      server &&
      server.startedAt < current.server.startedAt &&
      isFromCopy(listed.revision, current)
    )
      return false;
    if (current?.server && current.server.startedAt !== server?.startedAt)
      forgetInstance(current.server, server?.startedAt);
    // A restored store may hold the state from before an instance began to drain.
    const isRestored = current && getStoreEra(listed.revision) > getStoreEra(current.revision);
    if (isRestored && current.server?.state === 'draining')
      leavingInstances.add(getInstanceKey(current.server));
    entries.set(listed.key, { ...listed, removedAt: undefined });
    needsRebuild = true;
    return true;
  };

  return {
    recordListing: (revision) => {
      if (getStoreEra(revision) > getStoreEra(firstListingOfEra)) firstListingOfEra = revision;
    },
    isLeftOver: ({ key, revision, server }) => {
      const current = entries.get(key);
      return (
        current?.goneStartedAt !== undefined &&
        current.removedAt === undefined &&
        server !== undefined &&
        server.startedAt <= current.goneStartedAt &&
        isFromCopy(revision, current)
      );
    },
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
    recordLeaving: (server) => {
      const instance = getInstanceKey(server);
      if (leavingInstances.has(instance)) return false;
      leavingInstances.add(instance);
      needsRebuild = true;
      return true;
    },
    recordLaterInstance: (server, startedAt) => {
      const listed = findListed(server.id);
      // The entry may have been replaced or removed since the server was chosen.
      if (!listed || listed.startedAt > server.startedAt) return false;
      const known = findInstance(listed);
      if (startedAt <= known.startedAt) return false;
      // One link an entry: a server that states a later start each time would make a chain without end.
      if (known !== listed) leavingInstances.delete(getInstanceKey(known));
      laterInstances.set(getInstanceKey(listed), startedAt);
      needsRebuild = true;
      return true;
    },
    listReady: (service, now) => {
      if (needsRebuild) rebuild(now);
      return readyByService.get(service) ?? [];
    },
    list: () =>
      [...entries.values()].map(({ key, revision, server, removedAt }) => ({
        key,
        revision,
        server: removedAt === undefined ? server : undefined,
      })),
    getRevision: () => latestRevision,
  };
};
