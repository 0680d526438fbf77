import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { SharedRates } from './shared-rates.js';

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

/** Samples of one engine over which its own rate is averaged; an older sample counts less. */
const engineSampleWindow = 20;

/** Samples of an engine from which its rate counts as known; the prior is then a fifth of it. */
const minKnownSamples = 4;

/** Factor between the rates of fast and slow engines from which a service counts as uneven. */
export const minRateSpread = 1.5;

/** Quantiles of the known rates that count as slow and as fast; single extremes may be noise. */
const slowQuantile = 0.2;
const fastQuantile = 0.8;

/** Engines whose rates are kept; the one measured first is dropped for another. */
const maxRatedEngines = 2_000;

/** An instance of an engine; a restarted engine has the same id and another start time. */
export type RatedEngine = Pick<BackendServer, 'id' | 'startedAt' | 'service'>;

/** Rates at which the engines work, measured by this VM. */
export interface EngineRates {
  /**
   * Records the time from sending a prompt to its result. `engine` read `tokensAhead` prompt tokens of other
   * requests before it.
   */
  readonly recordPrefill: (
    promptTokens: number,
    ms: number,
    engine?: RatedEngine,
    tokensAhead?: number,
  ) => void;
  /** Records the time from the placement of a stream to its end. */
  readonly recordOutput: (outputTokens: number, ms: number, engine?: RatedEngine) => void;
  /** Prompt tokens that one engine reads per millisecond while nothing else waits there. */
  readonly getPrefillTokensPerMs: () => number;
  /** Output tokens per second of one stream, the reading of its prompt included. */
  readonly getOutputTokensPerS: () => number;
  /** The prefill rate of one engine: the average of its service until the engine was measured. */
  readonly getEnginePrefillTokensPerMs: (engine: RatedEngine) => number;
  /** The output rate of one engine: the average of its service until the engine was measured. */
  readonly getEngineOutputTokensPerS: (engine: RatedEngine) => number;
  /** The output rate of fast engines, divided by that of slow ones; 1 if fewer than two are known. */
  readonly getOutputSpread: (engines: readonly RatedEngine[]) => number;
}

/** The averaged rate of one instance of an engine. */
interface EngineAverage {
  readonly startedAt: number;
  readonly service: string;
  samples: number;
  rate: number;
}

/** Averages one rate by engine, with the mean over the engines of a service as prior. */
interface AveragesByEngine {
  readonly record: (engine: RatedEngine, sample: number, initial: number) => void;
  readonly find: (engine: RatedEngine) => EngineAverage | undefined;
  /** Mean over the measured engines of a service; undefined if there are none. */
  readonly getServiceMean: (service: string) => number | undefined;
}

const makeAveragesByEngine = (): AveragesByEngine => {
  const averages = new Map<string, EngineAverage>();
  const sums = new Map<string, { rate: number; engines: number }>();
  const find = ({ id, startedAt }: RatedEngine): EngineAverage | undefined => {
    const average = averages.get(id);
    return average?.startedAt === startedAt ? average : undefined;
  };
  const addToSum = (service: string, rate: number, engines: number): void => {
    const sum = sums.get(service) ?? { rate: 0, engines: 0 };
    sum.rate += rate;
    sum.engines += engines;
    if (sum.engines > 0) sums.set(service, sum);
    else sums.delete(service);
  };
  const remove = (id: string): void => {
    const average = averages.get(id);
    if (!average) return;
    averages.delete(id);
    addToSum(average.service, -average.rate, -1);
  };
  const getServiceMean = (service: string): number | undefined => {
    const sum = sums.get(service);
    return sum && sum.rate / sum.engines;
  };
  const add = (engine: RatedEngine, initial: number): EngineAverage => {
    const { id, startedAt, service } = engine;
    remove(id);
    const [oldest] = averages.keys();
    if (averages.size >= maxRatedEngines && oldest !== undefined) remove(oldest);
    const average = { startedAt, service, samples: 0, rate: getServiceMean(service) ?? initial };
    averages.set(id, average);
    addToSum(service, average.rate, 1);
    return average;
  };
  return {
    record: (engine, sample, initial) => {
      const average = find(engine) ?? add(engine, initial);
      average.samples += 1;
      // The prior counts as one sample.
      const weight = 1 / Math.min(average.samples + 1, engineSampleWindow);
      const change = (sample - average.rate) * weight;
      average.rate += change;
      addToSum(average.service, change, 0);
    },
    find,
    getServiceMean,
  };
};

const clampRate = (rate: number, initial: number): number =>
  Math.min(initial * maxRateFactor, Math.max(initial / maxRateFactor, rate));

/**
 * Computes how much faster fast engines are than slow ones; 1 if fewer than two rates are known.
 *
 * @example
 * computeRateSpread([210, 210, 510]); // 2.43
 */
export const computeRateSpread = (rates: readonly number[]): number => {
  const sorted = [...rates].sort((a, b) => a - b);
  const slow = sorted[Math.floor(slowQuantile * (sorted.length - 1))];
  const fast = sorted[Math.ceil(fastQuantile * (sorted.length - 1))];
  return slow === undefined || fast === undefined ? 1 : fast / slow;
};

/** Rates of a VM that measures alone. */
const noSharedRates: Pick<SharedRates, 'recordSample' | 'getRate'> = {
  recordSample: () => {},
  getRate: () => undefined,
};

/**
 * Creates rates that start at the values of a usual engine.
 *
 * Load pattern: the time of a prefill includes waiting behind other prompts, so slow samples say
 * little about the engine and fast ones much; a stalled engine must not slow down all predictions.
 * Engines of one service may run at different speeds, so that each has rates of its own, from which the
 * wait behind other prompts is excluded.
 *
 * @param shared - rates of single engines that all VMs measure together, which go before this VM's own
 * @example
 * const rates = makeEngineRates();
 * rates.recordPrefill(3_000, 50);
 * rates.getPrefillTokensPerMs(); // between 30 and 60
 */
export const makeEngineRates = (
  shared: Pick<SharedRates, 'recordSample' | 'getRate'> = noSharedRates,
): EngineRates => {
  let prefillTokensPerMs = initialPrefillTokensPerMs;
  let outputTokensPerS = initialOutputTokensPerS;
  const prefillByEngine = makeAveragesByEngine();
  const outputByEngine = makeAveragesByEngine();
  const findKnownOutputRate = (engine: RatedEngine): number | undefined => {
    const average = outputByEngine.find(engine);
    return average && average.samples >= minKnownSamples ? average.rate : undefined;
  };
  return {
    recordPrefill: (promptTokens, ms, engine, tokensAhead = 0) => {
      if (promptTokens < minSamplePromptTokens || ms <= 0) return;
      const sample = clampRate(promptTokens / ms, initialPrefillTokensPerMs);
      const weight = sample > prefillTokensPerMs ? fasterSampleWeight : slowerSampleWeight;
      const engineSample = clampRate((tokensAhead + promptTokens) / ms, initialPrefillTokensPerMs);
      if (engine) {
        prefillByEngine.record(engine, engineSample, prefillTokensPerMs);
        shared.recordSample(engine, 'prompt', engineSample);
      }
      prefillTokensPerMs += (sample - prefillTokensPerMs) * weight;
    },
    recordOutput: (outputTokens, ms, engine) => {
      if (outputTokens < minSampleOutputTokens || ms <= 0) return;
      const sample = clampRate((outputTokens * 1_000) / ms, initialOutputTokensPerS);
      if (engine) {
        outputByEngine.record(engine, sample, outputTokensPerS);
        shared.recordSample(engine, 'output', sample);
      }
      outputTokensPerS += (sample - outputTokensPerS) * outputSampleWeight;
    },
    getPrefillTokensPerMs: () => prefillTokensPerMs,
    getOutputTokensPerS: () => outputTokensPerS,
    getEnginePrefillTokensPerMs: (engine) =>
      shared.getRate(engine, 'prompt') ??
      prefillByEngine.find(engine)?.rate ??
      prefillByEngine.getServiceMean(engine.service) ??
      prefillTokensPerMs,
    getEngineOutputTokensPerS: (engine) =>
      shared.getRate(engine, 'output') ??
      outputByEngine.find(engine)?.rate ??
      outputByEngine.getServiceMean(engine.service) ??
      outputTokensPerS,
    getOutputSpread: (engines) =>
      computeRateSpread(
        engines.flatMap(
          (engine) => shared.getRate(engine, 'output') ?? findKnownOutputRate(engine) ?? [],
        ),
      ),
  };
};
