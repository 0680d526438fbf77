import type { BackendServer, EngineLimits } from '@hemlocksill/types/routing.js';
import type { EngineLedger } from './engine-ledger.js';

/** Weight of the newest sample in an average. */
const sampleWeight = 0.1;

/** Assumptions until the first streams have ended, in milliseconds. */
const assumedStreamMs = 2_500;
const assumedFirstEventMs = 100;

/** Answer for a service that frees nothing. */
const noEngineRetryMs = 1_000;

/** What this VM has seen of how fast streams go. */
export interface StreamTiming {
  /** Time from placement to the end of a stream. */
  readonly recordStreamDuration: (ms: number) => void;
  /** Time from the end of the prefill to the first event. */
  readonly recordFirstEventDelay: (ms: number) => void;
  readonly getFirstEventDelayMs: () => number;
  /** Predicts when some tokens are free beyond those that others wait for. */
  readonly predictFreeMs: (
    engines: readonly BackendServer[],
    limits: EngineLimits,
    ledger: EngineLedger,
    waitingTokens: number,
    now: number,
  ) => number;
}

/**
 * Makes a pace that knows nothing yet.
 *
 * Load pattern: demand above what the decode engines' memory carries for seconds. Memory is
 * freed at the rate at which running streams end: the tokens in use over a stream's time.
 *
 * @example
 * makeStreamPace().predictFreeMs(engines, limits, ledger, 3_300, now);
 */
export const makeStreamTiming = (): StreamTiming => {
  let streamMs = assumedStreamMs;
  let firstEventMs = assumedFirstEventMs;
  return {
    recordStreamDuration: (ms) => {
      streamMs += (ms - streamMs) * sampleWeight;
    },
    recordFirstEventDelay: (ms) => {
      firstEventMs += (ms - firstEventMs) * sampleWeight;
    },
    getFirstEventDelayMs: () => firstEventMs,
    predictFreeMs: (engines, limits, ledger, waitingTokens, now) => {
      let used = 0;
      let free = 0;
      engines.forEach((server) => {
        if (server.stage === 'prefill') return;
        const { tokens } = ledger.getTotal(server.id, now);
        used += tokens;
        free += Math.max(0, limits.memoryTokens - tokens);
      });
      if (waitingTokens <= free / 2) return 0;
      if (used === 0) return noEngineRetryMs;
      return (waitingTokens / used) * streamMs;
    },
  };
};
