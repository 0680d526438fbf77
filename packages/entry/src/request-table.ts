import type { RequestClass } from '@hemlocksill/types/requests.js';

/** A request in progress on this VM. */
export interface LiveRequest {
  readonly id: string;
  readonly workspace: string;
  readonly class: RequestClass;
  readonly startedAt: number;
  /** Id of the API key that the request was sent with; undefined on open routes. */
  readonly keyId: string | undefined;
  /** Aborts the request because its key was withdrawn. */
  readonly cancelForWithdrawnKey: () => void;
}

/** Requests in progress on this VM, and the ids of their attempts at engines. */
export interface RequestTable {
  readonly add: (req: LiveRequest) => void;
  readonly remove: (id: string) => void;
  readonly list: () => readonly LiveRequest[];
  readonly size: () => number;
  /** Returns a new attempt id, which is live until `closeAttempt`. */
  readonly openAttempt: () => string;
  /** Registers the id of an attempt that another VM started. */
  readonly adoptAttempt: (attemptId: string) => void;
  readonly closeAttempt: (attemptId: string) => void;
  readonly isLive: (attemptId: string) => boolean;
}

/**
 * Creates an empty table. Attempt ids start with the incarnation of this VM.
 *
 * @example
 * const table = makeRequestTable('3f2a');
 * const id = table.openAttempt(); // '3f2a.1'
 */
export const makeRequestTable = (incarnation: string): RequestTable => {
  const requests = new Map<string, LiveRequest>();
  const attempts = new Set<string>();
  let lastAttemptNumber = 0;
  return {
    add: (req) => {
      requests.set(req.id, req);
    },
    remove: (id) => {
      requests.delete(id);
    },
    list: () => [...requests.values()],
    size: () => requests.size,
    openAttempt: () => {
      lastAttemptNumber += 1;
      const id = `${incarnation}.${lastAttemptNumber}`;
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
