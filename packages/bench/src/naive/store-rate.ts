import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok } from 'neverthrow';
import type { Rate } from '@hemlocksill/entry/controllers/rate.js';
import { refuseRateExceeded, refuseRateUnknown } from '@hemlocksill/errors/refusals.js';
import { makeHttpStore } from '@hemlocksill/store/http-store.js';

const pollMs = 20;

interface StoredBucket {
  readonly level: number;
  readonly at: number;
}

/** Makes a rate that asks the store for each request; it serves as a baseline. */
export const makeStoreRate = (storeUrls: readonly string[]) => (): Rate => {
  const store = makeHttpStore(storeUrls, () => {});
  const keyOf = (name: string): string => `/hemlocksill/naive-rate/${name}`;

  type Taken = 'taken' | 'short' | 'raced' | 'fault';
  const tryTake = async (
    name: string,
    rate: number,
    burst: number,
    tokens: number,
  ): Promise<Taken> => {
    const entry = await store.get(keyOf(name));
    if (entry.isErr()) return 'fault';
    const now = Date.now();
    const known = entry.value
      ? (JSON.parse(entry.value.value) as StoredBucket)
      : { level: burst, at: now };
    const level = Math.min(burst, known.level + ((now - known.at) * rate) / 1_000);
    if (level < tokens) return 'short';
    const written = await store.cas({
      key: keyOf(name),
      expected: entry.value?.revision ?? 0,
      value: JSON.stringify({ level: level - tokens, at: now }),
    });
    if (written.isErr()) return 'fault';
    return written.value.kind === 'written' ? 'taken' : 'raced';
  };

  return {
    reserve: async (workspace, tokens, deadline) => {
      const { name, rate, burst } = workspace;
      for (;;) {
        const taken = await tryTake(name, rate, burst, tokens);
        if (taken === 'taken')
          return ok({ workspace: name, grants: [{ epoch: 0, slot: 0, tokens }] });
        if (performance.now() + pollMs > deadline)
          return err(
            taken === 'short'
              ? refuseRateExceeded('the workspace is over its rate', 1_000)
              : refuseRateUnknown('the store gave no answer', 1_000),
          );
        if (taken !== 'raced') await sleep(pollMs);
      }
    },
    settle: (reservation, used) => {
      const held = reservation.grants.reduce((sum, h) => sum + h.tokens, 0);
      const { workspace } = reservation;
      void (async () => {
        const entry = await store.get(keyOf(workspace));
        if (entry.isErr() || !entry.value) return;
        const known = JSON.parse(entry.value.value) as StoredBucket;
        await store.cas({
          key: keyOf(workspace),
          expected: entry.value.revision,
          value: JSON.stringify({ ...known, level: known.level + held - used }),
        });
      })();
    },
    methods: {},
    start: () => {},
  };
};
