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

/**
 * Makes a rate limit that reads and writes its buckets in the store for each request. It serves as
 * a baseline.
 */
export const makeStoreRate = (storeUrls: readonly string[]) => (): Rate => {
  const store = makeHttpStore(storeUrls, () => {});
  const getBucketKey = (name: string): string => `/hemlocksill/naive-rate/${name}`;

  type TakeResult = 'taken' | 'short' | 'conflict' | 'fault';
  const tryTake = async (
    name: string,
    rate: number,
    burst: number,
    tokens: number,
  ): Promise<TakeResult> => {
    const entry = await store.get(getBucketKey(name));
    if (entry.isErr()) return 'fault';
    const now = Date.now();
    const bucket = entry.value
      ? (JSON.parse(entry.value.value) as StoredBucket)
      : { level: burst, at: now };
    const level = Math.min(burst, bucket.level + ((now - bucket.at) * rate) / 1_000);
    if (level < tokens) return 'short';
    const writeResult = await store.cas({
      key: getBucketKey(name),
      expected: entry.value?.revision ?? 0,
      value: JSON.stringify({ level: level - tokens, at: now }),
    });
    if (writeResult.isErr()) return 'fault';
    return writeResult.value.kind === 'written' ? 'taken' : 'conflict';
  };

  return {
    reserve: async (workspace, tokens, deadline) => {
      const { name, rate, burst } = workspace;
      for (;;) {
        const result = await tryTake(name, rate, burst, tokens);
        if (result === 'taken')
          return ok({ workspace: name, grants: [{ epoch: 0, slot: 0, tokens }] });
        if (performance.now() + pollMs > deadline)
          return err(
            result === 'short'
              ? refuseRateExceeded('the workspace is over its rate', 1_000)
              : refuseRateUnknown('the store gave no answer', 1_000),
          );
        if (result !== 'conflict') await sleep(pollMs);
      }
    },
    settle: (reservation, used) => {
      const reserved = reservation.grants.reduce((sum, grant) => sum + grant.tokens, 0);
      const { workspace } = reservation;
      void (async () => {
        const entry = await store.get(getBucketKey(workspace));
        if (entry.isErr() || !entry.value) return;
        const bucket = JSON.parse(entry.value.value) as StoredBucket;
        await store.cas({
          key: getBucketKey(workspace),
          expected: entry.value.revision,
          value: JSON.stringify({ ...bucket, level: bucket.level + reserved - used }),
        });
      })();
    },
    methods: {},
    start: () => {},
  };
};
