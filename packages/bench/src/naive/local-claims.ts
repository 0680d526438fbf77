import { ok } from 'neverthrow';
import type { StoredResponse } from '@hemlocksill/claims/claim-record.js';
import type { Claims } from '@hemlocksill/entry/controllers/claims.js';

/**
 * Makes a naive implementation of claims for tests: each VM keeps them only in its own memory, so
 * two VMs can run the same request.
 */
export const makeLocalClaims = (): Claims => {
  const entries = new Map<string, StoredResponse | 'running'>();
  return {
    take: (id) => {
      const entry = entries.get(id);
      if (entry === 'running') return Promise.resolve(ok({ kind: 'in-progress' }));
      if (entry) return Promise.resolve(ok({ kind: 'answered', answer: entry }));
      entries.set(id, 'running');
      return Promise.resolve(ok({ kind: 'granted', attempt: id }));
    },
    recordOutcome: (id, _attempt, state, response) => {
      if (state === 'done' && response) entries.set(id, response);
      else entries.delete(id);
    },
    countPendingOutcomes: () => 0,
    methods: {},
  };
};
