import type { BackendServer } from '@hemlocksill/types/routing.js';
import { chooseStatement, type LimitStatement } from './stated-limits.js';

/** Limits that backend servers have named on the requests from all VMs together. */
export interface ServerLimits {
  /**
   * Records the limit in a response, or that it names none; returns whether the limit changed.
   *
   * @param latencyMs - milliseconds from the call to its response
   */
  readonly recordResponse: (
    server: BackendServer,
    requestsPerS: number | undefined,
    latencyMs: number,
    now: number,
  ) => boolean;
  readonly countLimited: () => number;
}

/** Identifies one incarnation of a backend server: a restarted one knows nothing of its limit. */
const getInstanceKey = ({ id, startedAt }: BackendServer): string => `${id} ${startedAt}`;

/**
 * Creates a record without limits.
 *
 * @example
 * const limits = makeServerLimits();
 * limits.recordResponse(server, 2.5, 20, now); // true
 */
export const makeServerLimits = (): ServerLimits => {
  const statements = new Map<string, LimitStatement>();
  return {
    recordResponse: (server, requestsPerS, latencyMs, now) => {
      const instance = getInstanceKey(server);
      const known = statements.get(instance);
      if (!known && requestsPerS === undefined) return false;
      const received = { requestsPerS, sentAt: now - latencyMs, receivedAt: now };
      const chosen = known ? chooseStatement(known, received) : received;
      statements.set(instance, chosen);
      return chosen.requestsPerS !== known?.requestsPerS;
    },
    countLimited: () =>
      [...statements.values()].filter(({ requestsPerS }) => requestsPerS !== undefined).length,
  };
};
