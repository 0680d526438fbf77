import type { StoreEntry, WatchEvent } from '@hemlocksill/types/ports.js';

/** Events kept for watches; a watch that is further behind gets `compacted` and must list again. */
const maxEvents = 4_096;

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
  readonly keys: Set<string>;
}

interface WatchListener {
  readonly prefix: string;
  readonly notify: () => void;
}

/** Result of a compare-and-swap. */
export type StoreCasResult =
  | { written: true; revision: number }
  | { written: false; revision: number; current: StoreEntry | null };

/** In-memory key-value service with compare-and-swap, leases and watches. */
export const makeStoreState = (now: () => number) => {
  const entries = new Map<string, StoreEntry>();
  const leases = new Map<string, Lease>();
  const leaseIdByKey = new Map<string, string>();
  const events: WatchEvent[] = [];
  const watchListeners = new Set<WatchListener>();
  let revision = 0;
  let nextLeaseNumber = 1;

  const apply = (key: string, value: string | undefined): number => {
    revision += 1;
    if (value === undefined) entries.delete(key);
    else entries.set(key, { key, value, revision });
    events.push({ key, value, revision });
    if (events.length > maxEvents) events.shift();
    watchListeners.forEach((w) => key.startsWith(w.prefix) && w.notify());
    return revision;
  };

  const detachLease = (key: string): void => {
    const leaseId = leaseIdByKey.get(key);
    if (leaseId !== undefined) leases.get(leaseId)?.keys.delete(key);
    leaseIdByKey.delete(key);
  };

  const revokeLease = (leaseId: string): void => {
    const lease = leases.get(leaseId);
    leases.delete(leaseId);
    lease?.keys.forEach((key) => {
      leaseIdByKey.delete(key);
      apply(key, undefined);
    });
  };

  const expireLeases = (): void => {
    leases.forEach((lease, id) => {
      if (lease.expiresAt <= now()) revokeLease(id);
    });
  };

  return {
    get: (key: string): StoreEntry | null => entries.get(key) ?? null,
    list: (prefix: string) => ({
      entries: [...entries.values()].filter((e) => e.key.startsWith(prefix)),
      revision,
    }),
    cas: (
      key: string,
      expected: number,
      value: string | null,
      leaseId?: string,
    ): StoreCasResult => {
      const current = entries.get(key) ?? null;
      if ((current?.revision ?? 0) !== expected) return { written: false, revision, current };
      detachLease(key);
      if (value !== null && leaseId !== undefined) {
        leases.get(leaseId)?.keys.add(key);
        leaseIdByKey.set(key, leaseId);
      }
      return { written: true, revision: apply(key, value ?? undefined) };
    },
    hasLease: (leaseId: string): boolean => leases.has(leaseId),
    grantLease: (ttlMs: number): string => {
      const id = `lease-${nextLeaseNumber}`;
      nextLeaseNumber += 1;
      leases.set(id, { ttlMs, expiresAt: now() + ttlMs, keys: new Set() });
      return id;
    },
    renewLease: (leaseId: string): boolean => {
      const lease = leases.get(leaseId);
      if (!lease) return false;
      lease.expiresAt = now() + lease.ttlMs;
      return true;
    },
    revokeLease,
    expireLeases,
    getEventsAfter: (prefix: string, after: number) => {
      const oldest = events[0]?.revision ?? revision + 1;
      if (after + 1 < oldest && after < revision) return { kind: 'compacted' as const };
      const matching = events.filter((e) => e.revision > after && e.key.startsWith(prefix));
      return { kind: 'events' as const, events: matching, revision };
    },
    addWatchListener: (prefix: string, notify: () => void) => {
      const listener = { prefix, notify };
      watchListeners.add(listener);
      return () => watchListeners.delete(listener);
    },
  };
};

/** State of the stand-in store. */
export type StoreState = ReturnType<typeof makeStoreState>;
