import { err, ok, type Result } from 'neverthrow';
import type { Store, StoreEntry, StoreFault } from '@hemlocksill/types/ports.js';
import { getRevisionInEra, makeStoreRevision } from '@hemlocksill/types/store-revision.js';

/** A store in memory for tests, which may fail, lose answers, and come back from an older copy. */
export interface FakeStore {
  readonly store: Store;
  /** Written in place by tests. */
  readonly state: { isDown: boolean; losesAnswers: boolean; areLeasesGone: boolean };
  readonly calls: string[];
  readonly entries: Map<string, { value: string; revision: number }>;
  /** Takes a copy; the function returned brings the store back from it, in a new era. */
  readonly takeCopy: () => () => void;
}

/** Makes a store without keys. */
export const makeFakeStore = (): FakeStore => {
  const state = { isDown: false, losesAnswers: false, areLeasesGone: false };
  const entries = new Map<string, { value: string; revision: number }>();
  const calls: string[] = [];
  let revision = 0;
  let era = 0;

  const read = (key: string): StoreEntry | undefined => {
    const entry = entries.get(key);
    return entry && { key, value: entry.value, revision: makeStoreRevision(era, entry.revision) };
  };

  /** Answers a call after those that were made at the same time. */
  const answer = async <T>(name: string, run: () => Result<T, StoreFault>) => {
    calls.push(name);
    await Promise.resolve();
    return state.isDown ? err<T, StoreFault>('overloaded') : run();
  };

  const store: Store = {
    get: (key) => answer('get', () => ok(read(key))),
    list: (prefix) =>
      answer('list', () =>
        ok({
          entries: [...entries.keys()]
            .filter((key) => key.startsWith(prefix))
            .flatMap((key) => read(key) ?? []),
          revision: makeStoreRevision(era, revision),
        }),
      ),
    cas: ({ key, expected, value = '', leaseId }) =>
      answer('cas', () => {
        if (leaseId !== undefined && state.areLeasesGone) return err('lease-gone');
        const current = read(key);
        if (getRevisionInEra(expected) !== (entries.get(key)?.revision ?? 0))
          return ok({ kind: 'conflict', current });
        revision += 1;
        entries.set(key, { value, revision });
        if (state.losesAnswers) return err('timeout');
        return ok({ kind: 'written', revision: makeStoreRevision(era, revision) });
      }),
    grantLease: () => answer('grant', () => ok(String(calls.length))),
    renewLease: () => answer('renew', () => ok(undefined)),
    revokeLease: () => answer('revoke', () => ok(undefined)),
    watch: () => answer('watch', () => err('unreachable')),
  };

  return {
    store,
    state,
    calls,
    entries,
    takeCopy: () => {
      const copy = new Map(entries);
      const copiedRevision = revision;
      return () => {
        entries.clear();
        copy.forEach((entry, key) => entries.set(key, entry));
        revision = copiedRevision;
        era += 1;
      };
    },
  };
};
