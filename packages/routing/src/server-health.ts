/** Time for which a backend server that failed gets no work, doubled at each further failure. */
const firstRestMs = 400;
const longestRestMs = 4_000;

/** Time after which a backend server whose address another one has is asked again. */
const replacedRestMs = 10_000;

/** Failures in a row after which a backend server rests. */
const failuresBeforeRest = 2;

/** Weight of the newest outcome in the failure share. */
const outcomeWeight = 0.15;

interface Health {
  failuresInRow: number;
  restUntil: number;
  restMs: number;
  failureShare: number;
}

/** How a call to a backend server went. */
export type CallOutcome =
  | 'answered'
  | 'error-answer'
  /** Nothing listened, or no answer came in time. */
  | 'unreachable'
  | 'broken'
  /** Another backend server answers at its address. */
  | 'replaced';

/** Judges backend servers by what they did with requests. */
export interface ServerHealth {
  readonly record: (id: string, outcome: CallOutcome, now: number) => void;
  readonly isResting: (id: string, now: number) => boolean;
  /** Share of its recent calls that failed. */
  readonly failureShare: (id: string) => number;
  readonly forget: (id: string) => void;
}

/**
 * Makes a judge that knows nothing yet.
 *
 * Load pattern: some backend servers are silent, reset connections or answer with errors
 * while they are still listed as ready.
 *
 * @example
 * const health = makeServerHealth();
 * health.note('i-1', 'unreachable', now);
 * health.isResting('i-1', now); // true
 */
export const makeServerHealth = (): ServerHealth => {
  const known = new Map<string, Health>();
  const get = (id: string): Health => {
    const health = known.get(id) ?? {
      failuresInRow: 0,
      restUntil: 0,
      restMs: firstRestMs,
      failureShare: 0,
    };
    known.set(id, health);
    return health;
  };
  const rest = (health: Health, now: number): void => {
    if (health.restUntil > now) return;
    health.restUntil = now + health.restMs;
    health.restMs = Math.min(longestRestMs, health.restMs * 2);
  };
  return {
    record: (id, outcome, now) => {
      const health = get(id);
      const failed = outcome === 'answered' ? 0 : 1;
      health.failureShare += (failed - health.failureShare) * outcomeWeight;
      if (outcome === 'answered') {
        health.failuresInRow = 0;
        health.restMs = firstRestMs;
        return;
      }
      if (outcome === 'error-answer') return;
      if (outcome === 'replaced') {
        health.restUntil = now + replacedRestMs;
        return;
      }
      health.failuresInRow += 1;
      if (outcome === 'unreachable' || health.failuresInRow >= failuresBeforeRest)
        rest(health, now);
    },
    isResting: (id, now) => (known.get(id)?.restUntil ?? 0) > now,
    failureShare: (id) => known.get(id)?.failureShare ?? 0,
    forget: (id) => {
      known.delete(id);
    },
  };
};
