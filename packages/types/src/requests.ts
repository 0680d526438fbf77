/** The class of a request: urgent requests are served first, patient requests may wait. */
export type RequestClass = 'urgent' | 'patient';

/**
 * What is known about the effect of a request that did not get a complete response.
 *
 * - `not-run`: no backend server ran any part of it.
 * - `failed`: part of it ran, without side effects; it may be retried.
 * - `in-progress`: a request with the same idempotency key is running.
 * - `done`: it ran to completion, but its response is no longer stored.
 * - `outcome-unknown`: it may or may not have taken effect.
 */
export type Outcome = 'not-run' | 'failed' | 'in-progress' | 'done' | 'outcome-unknown';

/** A refusal of a request, as it is sent to the caller. */
export interface Refusal {
  /** HTTP status code. */
  readonly status: number;
  /** Stable machine-readable reason, for example `rate-exceeded`. */
  readonly code: string;
  readonly outcome: Outcome;
  readonly message: string;
  /** Milliseconds after which the caller should retry. */
  readonly retryAfterMs?: number;
}

/** Latency targets of a request class, in milliseconds. */
export interface LatencyTargets {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}
