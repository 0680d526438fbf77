import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok } from 'neverthrow';
import type { Rate } from '@hemlocksill/entry/controllers/rate.js';
import { refuseRateExceeded } from '@hemlocksill/errors/refusals.js';

const pollMs = 20;

/** Ways of limiting without asking another VM. */
export type LocalRatePolicy = 'fixed' | 'copied';

interface LocalBucket {
  level: number;
  at: number;
}

/**
 * Makes a rate that each VM keeps for itself: `fixed` gives each VM an equal part of a
 * workspace's rate, `copied` gives each VM the whole. They serve as baselines.
 */
export const makeLocalRate = (policy: LocalRatePolicy, vms: number) => (): Rate => {
  const buckets = new Map<string, LocalBucket>();
  const share = policy === 'fixed' ? 1 / vms : 1;

  const tryTake = (name: string, rate: number, burst: number, tokens: number): boolean => {
    const now = performance.now();
    const bucket = buckets.get(name) ?? { level: burst * share, at: now };
    const added = ((now - bucket.at) * rate * share) / 1_000;
    bucket.level = Math.min(burst * share, bucket.level + added);
    bucket.at = now;
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
          const waitMs = (tokens * 1_000) / (rate * share);
          return err(refuseRateExceeded('the workspace is over its rate', waitMs));
        }
        await sleep(pollMs);
      }
      return ok({ workspace: name, grants: [{ epoch: 0, slot: 0, tokens }] });
    },
    settle: (reservation, used) => {
      const bucket = buckets.get(reservation.workspace);
      const held = reservation.grants.reduce((sum, h) => sum + h.tokens, 0);
      if (bucket) bucket.level += held - used;
    },
    methods: {},
    start: () => {},
  };
};
