/** Initial values until engines were measured. */
const initialPrefillTokensPerMs = 30;
const initialOutputTokensPerS = 400;

/** Factor by which a measured rate may differ from its initial value at most. */
const maxRateFactor = 8;

/** Weights of a sample above and below the estimate of the prefill rate. */
const fasterSampleWeight = 0.3;
const slowerSampleWeight = 0.03;

const outputSampleWeight = 0.05;

/** Shortest prompt from which the prefill rate is measured; for others, the call dominates. */
const minSamplePromptTokens = 500;

/** Shortest generation from which the output rate is measured. */
const minSampleOutputTokens = 50;

/** Rates at which the engines work, measured by this VM. */
export interface EngineRates {
  /** Records the time from sending a prompt to its result. */
  readonly recordPrefill: (promptTokens: number, ms: number) => void;
  /** Records the time from the placement of a stream to its end. */
  readonly recordOutput: (outputTokens: number, ms: number) => void;
  /** Prompt tokens that one engine reads per millisecond while nothing else waits there. */
  readonly getPrefillTokensPerMs: () => number;
  /** Output tokens per second of one stream, the reading of its prompt included. */
  readonly getOutputTokensPerS: () => number;
}

const clampRate = (rate: number, initial: number): number =>
  Math.min(initial * maxRateFactor, Math.max(initial / maxRateFactor, rate));

/**
 * Creates rates that start at the values of a usual engine.
 *
 * Load pattern: the time of a prefill includes waiting behind other prompts, so slow samples say
 * little about the engine and fast ones much; a stalled engine must not slow down all predictions.
 *
 * @example
 * const rates = makeEngineRates();
 * rates.recordPrefill(3_000, 50);
 * rates.getPrefillTokensPerMs(); // between 30 and 60
 */
export const makeEngineRates = (): EngineRates => {
  let prefillTokensPerMs = initialPrefillTokensPerMs;
  let outputTokensPerS = initialOutputTokensPerS;
  return {
    recordPrefill: (promptTokens, ms) => {
      if (promptTokens < minSamplePromptTokens || ms <= 0) return;
      const sample = clampRate(promptTokens / ms, initialPrefillTokensPerMs);
      const weight = sample > prefillTokensPerMs ? fasterSampleWeight : slowerSampleWeight;
      prefillTokensPerMs += (sample - prefillTokensPerMs) * weight;
    },
    recordOutput: (outputTokens, ms) => {
      if (outputTokens < minSampleOutputTokens || ms <= 0) return;
      const sample = clampRate((outputTokens * 1_000) / ms, initialOutputTokensPerS);
      outputTokensPerS += (sample - outputTokensPerS) * outputSampleWeight;
    },
    getPrefillTokensPerMs: () => prefillTokensPerMs,
    getOutputTokensPerS: () => outputTokensPerS,
  };
};
