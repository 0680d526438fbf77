/** First cooldown of a backend server that failed; each further failure doubles it. */
const initialCooldownMs = 400;
const maxCooldownMs = 4_000;

/** Cooldown of a backend server whose address is now used by another one. */
const replacedCooldownMs = 10_000;

/** Consecutive failures after which a backend server gets a cooldown. */
const failuresBeforeCooldown = 2;

/** Cooldown of a backend server that failed at another VM. */
export const peerFailureCooldownMs = 800;

/** Longest pause that a backend server may ask for. */
const maxPauseMs = 60_000;

/** Weight of the latest outcome in the moving average of failures. */
const outcomeWeight = 0.15;

interface Health {
  consecutiveFailures: number;
  cooldownUntil: number;
  cooldownMs: number;
  failureShare: number;
  /** Until this time the server wants no request from this VM. */
  pausedUntil: number;
  /** Whether this VM found an answer faulty, and none has been whole since. */
  isFaulty: boolean;
}

/** The outcome of a call to a backend server. */
export type CallOutcome =
  | 'answered'
  | 'error-answer'
  /** The connection failed, or no response arrived in time. */
  | 'unreachable'
  /** The call failed after it was sent. */
  | 'broken'
  /** It sent an answer that is not valid HTTP or exceeds a limit, so that it may have no end. */
  | 'faulty-answer'
  /** It rejected a prompt, which only an engine does that is changing its stage or overloaded. */
  | 'prompt-rejected'
  /** It read a prompt, but did not keep the result until the decode engine asked for it. */
  | 'result-lost'
  /** Another backend server responds at its address. */
  | 'replaced';

/** Tracks the health of backend servers from the outcomes of calls to them. */
export interface ServerHealth {
  readonly record: (id: string, outcome: CallOutcome, now: number) => void;
  /** Records that another VM has seen a backend server fail conclusively. */
  readonly recordPeerFailure: (id: string, now: number) => void;
  /** Records that a backend server wants no request for a time. */
  readonly recordPause: (id: string, durationMs: number, now: number) => void;
  /** Ends the cooldown of a backend server whose failures were this VM's own. */
  readonly endCooldown: (id: string) => void;
  /** Whether a backend server asked for a pause that has not ended; it must get no request. */
  readonly isPaused: (id: string, now: number) => boolean;
  /** Whether a backend server should get no requests because of recent failures. */
  readonly isCoolingDown: (id: string, now: number) => boolean;
  /** Whether a backend server should get one request at a time, since faulty answers started its last cooldown. */
  readonly isOnTrial: (id: string) => boolean;
  /** Whether this VM found an answer of a backend server faulty, and none has been whole since. */
  readonly isFaulty: (id: string) => boolean;
  /** Time until which such a server gets no requests; 0 if it is not one. */
  readonly getFaultyUntil: (id: string) => number;
  /** Moving average of the share of calls to a backend server that failed. */
  readonly getFailureShare: (id: string) => number;
}

/**
 * Creates a health tracker in which no call is recorded.
 *
 * Load pattern: some backend servers are unresponsive, reset connections or return errors while
 * they are still listed as ready.
 *
 * @example
 * const health = makeServerHealth();
 * health.record('i-1', 'unreachable', now);
 * health.isCoolingDown('i-1', now); // true
 */
export const makeServerHealth = (): ServerHealth => {
  const healthById = new Map<string, Health>();
  const getOrCreate = (id: string): Health => {
    const health = healthById.get(id) ?? {
      consecutiveFailures: 0,
      cooldownUntil: 0,
      cooldownMs: initialCooldownMs,
      failureShare: 0,
      pausedUntil: 0,
      isFaulty: false,
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
      const health = getOrCreate(id);
      const failure = outcome === 'answered' ? 0 : 1;
      health.failureShare += (failure - health.failureShare) * outcomeWeight;
      if (outcome === 'answered' || outcome === 'error-answer') health.isFaulty = false;
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
      // One such answer is no reason to leave a server, whose connection may have been disturbed.
      if (outcome === 'faulty-answer') health.isFaulty = true;
      const isConclusive =
        outcome === 'unreachable' || outcome === 'result-lost' || outcome === 'prompt-rejected';
      if (isConclusive || health.consecutiveFailures >= failuresBeforeCooldown)
        startCooldown(health, now);
    },
    recordPeerFailure: (id, now) => {
      const health = getOrCreate(id);
      health.cooldownUntil = Math.max(health.cooldownUntil, now + peerFailureCooldownMs);
    },
    recordPause: (id, durationMs, now) => {
      const health = getOrCreate(id);
      const pausedUntil = now + Math.min(maxPauseMs, durationMs);
      health.pausedUntil = Math.max(health.pausedUntil, pausedUntil);
    },
    endCooldown: (id) => {
      const health = getOrCreate(id);
      health.cooldownUntil = 0;
      health.cooldownMs = initialCooldownMs;
      health.consecutiveFailures = 0;
      health.isFaulty = false;
    },
    isPaused: (id, now) => (healthById.get(id)?.pausedUntil ?? 0) > now,
    isCoolingDown: (id, now) => (healthById.get(id)?.cooldownUntil ?? 0) > now,
    isOnTrial: (id) => {
      const health = healthById.get(id);
      return health?.isFaulty === true && health.consecutiveFailures >= failuresBeforeCooldown;
    },
    isFaulty: (id) => healthById.get(id)?.isFaulty ?? false,
    getFaultyUntil: (id) => {
      const health = healthById.get(id);
      return health?.isFaulty ? health.cooldownUntil : 0;
    },
    getFailureShare: (id) => healthById.get(id)?.failureShare ?? 0,
  };
};
