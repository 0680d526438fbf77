import type { Store, StoreEntry } from '@hemlocksill/types/ports.js';
import { readClock, repeatUntilStopped, sleepUntil } from '../clock.js';
import type { LogEvent } from '../events.js';

const watchWaitMs = 8_000;
const retryMs = 300;

/** Period of a whole listing, which mends whatever a watch has missed. */
const relistMs = 15_000;

/** The entries below the control prefix, as far as they are known. */
export interface ControlWatch {
  readonly entries: ReadonlyMap<string, StoreEntry>;
  /** Calls back on each change of a key below `prefix`; an undefined entry is a deletion. */
  readonly subscribe: (
    prefix: string,
    onChange: (key: string, entry: StoreEntry | undefined) => void,
  ) => void;
  /** Takes in an entry that was read or written by another way. */
  readonly learn: (entry: StoreEntry) => void;
  /** Lists everything again, as after an outage, when a hanging watch would tell late. */
  readonly relist: () => Promise<boolean>;
  readonly start: (signal: AbortSignal) => Promise<boolean>;
}

/** Keeps a copy of the control entries by a watch and, now and then, a whole listing. */
export const makeControlWatch = (
  store: Store,
  prefix: string,
  logEvent: LogEvent,
): ControlWatch => {
  const entries = new Map<string, StoreEntry>();
  const deletedAt = new Map<string, number>();
  const subscribers: { prefix: string; onChange: (k: string, e?: StoreEntry) => void }[] = [];
  let revision = 0;

  const notify = (key: string, entry: StoreEntry | undefined): void =>
    subscribers.filter((s) => key.startsWith(s.prefix)).forEach((s) => s.onChange(key, entry));

  const learn = (entry: StoreEntry): void => {
    const known = entries.get(entry.key)?.revision ?? deletedAt.get(entry.key) ?? 0;
    if (entry.revision <= known) return;
    deletedAt.delete(entry.key);
    entries.set(entry.key, entry);
    notify(entry.key, entry);
  };

  const forget = (key: string, at: number): void => {
    const known = entries.get(key);
    if (!known || known.revision > at) return;
    entries.delete(key);
    deletedAt.set(key, at);
    notify(key, undefined);
  };

  const relist = async (): Promise<boolean> => {
    const listing = await store.list(prefix);
    if (listing.isErr()) return false;
    const listed = new Set(listing.value.entries.map((e) => e.key));
    listing.value.entries.forEach(learn);
    [...entries.keys()]
      .filter((key) => !listed.has(key))
      .forEach((key) => forget(key, listing.value.revision));
    revision = Math.max(revision, listing.value.revision);
    return true;
  };

  const watchOnce = async (): Promise<void> => {
    const answer = await store.watch(prefix, revision, watchWaitMs);
    if (answer.isErr()) {
      await sleepUntil(readClock() + retryMs);
      return;
    }
    if (answer.value.kind === 'compacted') {
      logEvent(1107);
      await relist();
      return;
    }
    answer.value.events.forEach(({ key, value, revision: at }) => {
      if (value === undefined || value === null) forget(key, at);
      else learn({ key, value, revision: at });
    });
    revision = Math.max(revision, answer.value.revision);
  };

  return {
    entries,
    learn,
    relist,
    subscribe: (below, onChange) => {
      subscribers.push({ prefix: below, onChange });
    },
    start: async (signal) => {
      const listed = await relist();
      void repeatUntilStopped(0, signal, watchOnce);
      void repeatUntilStopped(relistMs, signal, async () => {
        await sleepUntil(readClock() + relistMs, signal);
        await relist();
      });
      return listed;
    },
  };
};
