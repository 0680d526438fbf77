import type { Store, StoreEntry } from '@hemlocksill/types/ports.js';
import { readClock, repeatUntilStopped, sleepUntil } from '../clock.js';
import type { LogEvent } from '../events.js';

const watchWaitMs = 8_000;
const retryDelayMs = 300;

/** Interval of full listings, which recover changes that the watch has missed. */
const relistPeriodMs = 15_000;

/** Local copy of the store entries under the control prefix. */
export interface ControlWatch {
  readonly entries: ReadonlyMap<string, StoreEntry>;
  /** Calls `onChange` on each change of a key under `prefix`; no entry means a deletion. */
  readonly subscribe: (
    prefix: string,
    onChange: (key: string, entry: StoreEntry | undefined) => void,
  ) => void;
  /** Applies an entry that was read or written outside the watch. */
  readonly applyEntry: (entry: StoreEntry) => void;
  /**
   * Lists all entries again, for example after an outage, when a stalled watch would report
   * changes late.
   */
  readonly relist: () => Promise<boolean>;
  readonly start: (signal: AbortSignal) => Promise<boolean>;
}

/** Creates a copy of the control entries, updated by a watch and periodic full listings. */
export const makeControlWatch = (
  store: Store,
  prefix: string,
  logEvent: LogEvent,
): ControlWatch => {
  const entries = new Map<string, StoreEntry>();
  const deletionRevisions = new Map<string, number>();
  const subscribers: { prefix: string; onChange: (key: string, entry?: StoreEntry) => void }[] = [];
  let revision = 0;

  const notify = (key: string, entry: StoreEntry | undefined): void =>
    subscribers.filter((s) => key.startsWith(s.prefix)).forEach((s) => s.onChange(key, entry));

  const applyEntry = (entry: StoreEntry): void => {
    const knownRevision = entries.get(entry.key)?.revision ?? deletionRevisions.get(entry.key) ?? 0;
    if (entry.revision <= knownRevision) return;
    deletionRevisions.delete(entry.key);
    entries.set(entry.key, entry);
    notify(entry.key, entry);
  };

  const applyDeletion = (key: string, deletionRevision: number): void => {
    const existing = entries.get(key);
    if (!existing || existing.revision > deletionRevision) return;
    entries.delete(key);
    deletionRevisions.set(key, deletionRevision);
    notify(key, undefined);
  };

  const relist = async (): Promise<boolean> => {
    const listing = await store.list(prefix);
    if (listing.isErr()) return false;
    const listed = new Set(listing.value.entries.map((e) => e.key));
    listing.value.entries.forEach(applyEntry);
    [...entries.keys()]
      .filter((key) => !listed.has(key))
      .forEach((key) => applyDeletion(key, listing.value.revision));
    revision = Math.max(revision, listing.value.revision);
    return true;
  };

  const watchOnce = async (): Promise<void> => {
    const response = await store.watch(prefix, revision, watchWaitMs);
    if (response.isErr()) {
      await sleepUntil(readClock() + retryDelayMs);
      return;
    }
    if (response.value.kind === 'compacted') {
      logEvent(1107);
      await relist();
      return;
    }
    response.value.events.forEach(({ key, value, revision: eventRevision }) => {
      if (value === undefined || value === null) applyDeletion(key, eventRevision);
      else applyEntry({ key, value, revision: eventRevision });
    });
    revision = Math.max(revision, response.value.revision);
  };

  return {
    entries,
    applyEntry,
    relist,
    subscribe: (watchedPrefix, onChange) => {
      subscribers.push({ prefix: watchedPrefix, onChange });
    },
    start: async (signal) => {
      const wasListed = await relist();
      void repeatUntilStopped(0, signal, watchOnce);
      void repeatUntilStopped(relistPeriodMs, signal, async () => {
        await sleepUntil(readClock() + relistPeriodMs, signal);
        await relist();
      });
      return wasListed;
    },
  };
};
