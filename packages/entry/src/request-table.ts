import type { RequestClass } from '@hemlocksill/types/requests.js';

/** A request that this VM is serving. */
export interface LiveRequest {
  readonly id: string;
  readonly workspace: string;
  readonly class: RequestClass;
  readonly startedAt: number;
  /** Key it came with; undefined on open routes. */
  readonly keyId: string | undefined;
  /** Ends it when its key is withdrawn. */
  readonly endForKey: () => void;
}

/** The requests that this VM is serving, and the ids it has given them at engines. */
export interface RequestTable {
  readonly add: (req: LiveRequest) => void;
  readonly remove: (id: string) => void;
  readonly list: () => readonly LiveRequest[];
  readonly size: () => number;
  /** Names one try of a request at the engines and keeps it until `closeAttempt`. */
  readonly openAttempt: () => string;
  /** Takes over the id of an attempt that another VM had begun. */
  readonly adoptAttempt: (attemptId: string) => void;
  readonly closeAttempt: (attemptId: string) => void;
  readonly isLive: (attemptId: string) => boolean;
}

/**
 * Makes an empty table.
 *
 * @example
 * const table = makeRequestTable('3f2a');
 * const id = table.openAttempt(); // '3f2a.1'
 */
export const makeRequestTable = (incarnation: string): RequestTable => {
  const live = new Map<string, LiveRequest>();
  const attempts = new Set<string>();
  let sequence = 0;
  return {
    add: (req) => {
      live.set(req.id, req);
    },
    remove: (id) => {
      live.delete(id);
    },
    list: () => [...live.values()],
    size: () => live.size,
    openAttempt: () => {
      sequence += 1;
      const id = `${incarnation}.${sequence}`;
      attempts.add(id);
      return id;
    },
    adoptAttempt: (id) => {
      attempts.add(id);
    },
    closeAttempt: (id) => {
      attempts.delete(id);
    },
    isLive: (id) => attempts.has(id),
  };
};
