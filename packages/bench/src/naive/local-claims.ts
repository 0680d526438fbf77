import { ok } from 'neverthrow';
import type { StoredResponse } from '@hemlocksill/claims/claim-record.js';
import type { Claims } from '@hemlocksill/entry/controllers/claims.js';

/** Makes claims that each VM remembers for itself; it serves as the naive side of a test. */
export const makeLocalClaims = (): Claims => {
  const known = new Map<string, StoredResponse | 'running'>();
  return {
    take: (id) => {
      const entry = known.get(id);
      if (entry === 'running') return Promise.resolve(ok({ kind: 'in-progress' }));
      if (entry) return Promise.resolve(ok({ kind: 'answered', answer: entry }));
      known.set(id, 'running');
      return Promise.resolve(ok({ kind: 'granted', attempt: id }));
    },
    recordOutcome: (id, _attempt, state, answer) => {
      if (state === 'done' && answer) known.set(id, answer);
      else known.delete(id);
    },
    countPendingOutcomes: () => 0,
    methods: {},
  };
};
