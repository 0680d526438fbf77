/** The class of a request: urgent work is kept fast, patient work may wait. */
export type RequestClass = 'urgent' | 'patient';

/**
 * What is known about the effect of a request that was not answered in full.
 *
 * - `not-run`: no backend server did any part of it.
 * - `failed`: part of it ran without a side effect; it may be repeated.
 * - `in-progress`: the same idempotency key is running now.
 * - `done`: it ran to its end, but its answer is no longer kept.
 * - `outcome-unknown`: it may or may not have taken effect.
 */
export type Outcome = 'not-run' | 'failed' | 'in-progress' | 'done' | 'outcome-unknown';

/** A refusal as it is sent to a caller. */
export interface Refusal {
  /** HTTP status code. */
  readonly status: number;
  /** Stable machine-readable reason, for example `rate-exceeded`. */
  readonly code: string;
  readonly outcome: Outcome;
  readonly message: string;
  /** Milliseconds after which a repeat is worth trying. */
  readonly retryAfterMs?: number;
}

/** Latency targets of a class, in milliseconds. */
export interface LatencyTargets {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}
