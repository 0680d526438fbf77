import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok } from 'neverthrow';
import type { Rate } from '@hemlocksill/entry/controllers/rate.js';
import { refuseRateExceeded } from '@hemlocksill/errors/refusals.js';

const pollMs = 20;

/** Policies by which a VM limits rates without calling another VM. */
export type LocalRatePolicy = 'fixed' | 'copied';

interface LocalBucket {
  level: number;
  refilledAt: number;
}

/**
 * Makes a rate limit that each VM keeps on its own: `fixed` gives each VM an equal part of a
 * workspace's rate, `copied` gives each VM the full rate. They serve as baselines.
 */
export const makeLocalRate = (policy: LocalRatePolicy, vmCount: number) => (): Rate => {
  const buckets = new Map<string, LocalBucket>();
  const vmShare = policy === 'fixed' ? 1 / vmCount : 1;

  const tryTake = (name: string, rate: number, burst: number, tokens: number): boolean => {
    const now = performance.now();
    const bucket = buckets.get(name) ?? { level: burst * vmShare, refilledAt: now };
    const refill = ((now - bucket.refilledAt) * rate * vmShare) / 1_000;
    bucket.level = Math.min(burst * vmShare, bucket.level + refill);
    bucket.refilledAt = now;
    buckets.set(name, bucket);
    if (bucket.level < tokens) return false;
    bucket.level -= tokens;
    return true;
  };

  return {
    reserve: async (workspace, tokens, deadline) => {
      const { name, rate, burst } = workspace;
      while (!tryTake(name, rate, burst, tokens)) {
        if (performance.now() + pollMs > deadline) {
          const waitMs = (tokens * 1_000) / (rate * vmShare);
          return err(refuseRateExceeded('the workspace is over its rate', waitMs));
        }
        await sleep(pollMs);
      }
      return ok({ workspace: name, grants: [{ epoch: 0, slot: 0, tokens }] });
    },
    settle: (reservation, used) => {
      const bucket = buckets.get(reservation.workspace);
      const reserved = reservation.grants.reduce((sum, grant) => sum + grant.tokens, 0);
      if (bucket) bucket.level += reserved - used;
    },
    methods: {},
    start: () => {},
  };
};
