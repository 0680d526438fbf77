import type { BackendServer, EngineLimits } from '@hemlocksill/types/routing.js';
import type { EngineLedger } from './engine-ledger.js';

/** Weight of the latest sample in a moving average. */
const sampleWeight = 0.1;

/** Initial values of the averages, in milliseconds. */
const assumedStreamMs = 2_500;
const assumedFirstEventDelayMs = 100;
const assumedPromptTokens = 3_000;

/** Prediction for a service without running streams, whose end would free memory. */
const idleEnginesRetryDelayMs = 1_000;

/** Measures the durations of this VM's streams and predicts when memory is free. */
export interface StreamTiming {
  /** Records the time from placement to the end of a stream. */
  readonly recordStreamDuration: (ms: number) => void;
  /** Records the prompt of a stream that was placed. */
  readonly recordPrompt: (tokens: number) => void;
  /** Average number of prompt tokens of a stream. */
  readonly getPromptTokens: () => number;
  /** Records the time from the end of the prefill to the first event. */
  readonly recordFirstEventDelay: (ms: number) => void;
  /** Average time from placement to the end of a stream. */
  readonly getStreamMs: () => number;
  /** Average time from the end of the prefill to the first event. */
  readonly getFirstEventDelayMs: () => number;
  /** Predicts the time until the engines have `waitingTokens` free, in milliseconds. */
  readonly predictMemoryWaitMs: (
    engines: readonly BackendServer[],
    limits: EngineLimits,
    ledger: EngineLedger,
    waitingTokens: number,
    now: number,
  ) => number;
}

/**
 * Creates stream timing whose averages start at assumed values.
 *
 * Load pattern: for seconds, demand exceeds the memory of the decode engines. Memory is freed
 * at the rate at which streams end: the tokens in use divided by the average duration.
 *
 * @example
 * makeStreamTiming().predictMemoryWaitMs(engines, limits, ledger, 3_300, now);
 */
export const makeStreamTiming = (): StreamTiming => {
  let averageStreamMs = assumedStreamMs;
  let promptTokens = assumedPromptTokens;
  let firstEventDelayMs = assumedFirstEventDelayMs;
  return {
    recordStreamDuration: (ms) => {
      averageStreamMs += (ms - averageStreamMs) * sampleWeight;
    },
    recordPrompt: (tokens) => {
      promptTokens += (tokens - promptTokens) * sampleWeight;
    },
    getPromptTokens: () => promptTokens,
    recordFirstEventDelay: (ms) => {
      firstEventDelayMs += (ms - firstEventDelayMs) * sampleWeight;
    },
    getStreamMs: () => averageStreamMs,
    getFirstEventDelayMs: () => firstEventDelayMs,
    predictMemoryWaitMs: (engines, limits, ledger, waitingTokens, now) => {
      let usedTokens = 0;
      let freeTokens = 0;
      engines.forEach((server) => {
        if (server.stage === 'prefill') return;
        const { tokens } = ledger.getTotal(server.id, now);
        usedTokens += tokens;
        freeTokens += Math.max(0, limits.memoryTokens - tokens);
      });
      if (waitingTokens <= freeTokens / 2) return 0;
      if (usedTokens === 0) return idleEnginesRetryDelayMs;
      return (waitingTokens / usedTokens) * averageStreamMs;
    },
  };
};
