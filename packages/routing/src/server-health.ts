/** Time for which a backend server that failed gets no work, doubled at each further failure. */
const initialCooldownMs = 400;
const maxCooldownMs = 4_000;

/** Time after which a backend server whose address another one has is asked again. */
const replacedCooldownMs = 10_000;

/** Failures in a row after which a backend server rests. */
const failuresBeforeCooldown = 2;

/** Weight of the newest outcome in the failure share. */
const outcomeWeight = 0.15;

interface Health {
  consecutiveFailures: number;
  cooldownUntil: number;
  cooldownMs: number;
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
  readonly isCoolingDown: (id: string, now: number) => boolean;
  /** Share of its recent calls that failed. */
  readonly failureShare: (id: string) => number;
  readonly remove: (id: string) => void;
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
  const healthById = new Map<string, Health>();
  const get = (id: string): Health => {
    const health = healthById.get(id) ?? {
      consecutiveFailures: 0,
      cooldownUntil: 0,
      cooldownMs: initialCooldownMs,
      failureShare: 0,
    };
    healthById.set(id, health);
    return health;
  };
  const startCooldown = (health: Health, now: number): void => {
    if (health.cooldownUntil > now) return;
    health.cooldownUntil = now + health.cooldownMs;
    health.cooldownMs = Math.min(maxCooldownMs, health.cooldownMs * 2);
  };
  return {
    record: (id, outcome, now) => {
      const health = get(id);
      const failed = outcome === 'answered' ? 0 : 1;
      health.failureShare += (failed - health.failureShare) * outcomeWeight;
      if (outcome === 'answered') {
        health.consecutiveFailures = 0;
        health.cooldownMs = initialCooldownMs;
        return;
      }
      if (outcome === 'error-answer') return;
      if (outcome === 'replaced') {
        health.cooldownUntil = now + replacedCooldownMs;
        return;
      }
      health.consecutiveFailures += 1;
      if (outcome === 'unreachable' || health.consecutiveFailures >= failuresBeforeCooldown)
        startCooldown(health, now);
    },
    isCoolingDown: (id, now) => (healthById.get(id)?.cooldownUntil ?? 0) > now,
    failureShare: (id) => healthById.get(id)?.failureShare ?? 0,
    remove: (id) => {
      healthById.delete(id);
    },
  };
};
