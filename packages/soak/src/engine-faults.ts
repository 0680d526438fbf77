import type { SeededRandom } from '@hemlocksill/bench/seeded-random.js';
import type { StreamBreak } from '@hemlocksill/platform/fakes/stand-in-backend-server.js';
import { returningEngineCount, type WrongResume } from './returning-engines.js';

/** One engine that ends and comes back under its id and port; `at` counts from the start of the fault. */
export interface EngineRestart {
  readonly engine: number;
  readonly at: number;
  readonly awayMs: number;
  readonly changesVersion: boolean;
  readonly how: StreamBreak;
  /** Delay of its entry once it is back; undefined for one that is written when the last one is back. */
  readonly entryDelayMs: number | undefined;
}

/** A fault of engines that come back; all times in milliseconds. */
export type EngineFault = { readonly at: number; readonly forMs: number } & (
  | { readonly kind: 'engines-restart'; readonly restarts: readonly EngineRestart[] }
  /** Engines restart while they are cut off from the store for `forMs`; their entries lapse after `lapseMs`. */
  | {
      readonly kind: 'engines-cut-off';
      readonly lapseMs: number;
      readonly restarts: readonly EngineRestart[];
    }
  /** After `forMs`, and `outageMs` without a store, it is restored to what it was at the start. */
  | {
      readonly kind: 'store-restored';
      readonly outageMs: number;
      /** Time from then until the engines write their entries. */
      readonly rewriteMs: number;
      readonly restarts: readonly EngineRestart[];
    }
  /** Streams of an engine are broken off, `count` times. */
  | {
      readonly kind: 'streams-broken';
      readonly engine: number;
      readonly count: number;
      readonly how: StreamBreak;
    }
  /** An engine goes on at wrong events with the streams that are resumed there. */
  | { readonly kind: 'wrong-resume'; readonly engine: number; readonly wrong: WrongResume }
);

type EngineFaultGenerator = (at: number, forMs: number, random: SeededRandom) => EngineFault;

/** Bounds of the time for which an engine is away, and the share of the restarts with almost none. */
const minAwayMs = 100;
const maxAwayMs = 1_000;
const atOnceShare = 0.2;
const maxAtOnceMs = 20;

/** Share of the restarts after which the engine has another software version. */
const changeShare = 0.75;

/** Time between two restarts of a series; 0 for restarts at the same moment. */
const restartGapsMs = [0, 50, 400, 1_000] as const;

/** Bounds of the delay of an entry that is late. */
const minEntryDelayMs = 500;
const maxEntryDelayMs = 2_000;

/** Bounds of the time between the restarts behind a cut and its begin, and of the time until entries lapse. */
const maxCutRestartMs = 1_500;
const minLapseMs = 2_500;
const maxLapseMs = 4_000;

/** Bounds of the age of the copy to which the store is restored. */
const minCopyAgeMs = 1_500;
const maxCopyAgeMs = 5_000;
const maxOutageMs = 1_000;
const maxRewriteMs = 1_500;

const maxBreaks = 6;

/**
 * Breaks that show at the connection alone: a stream without a length that a process which goes on closes between two
 * events is complete for all but the engine.
 */
const seenBreaks: readonly StreamBreak[] = [
  { by: 'close', isInsideEvent: true },
  { by: 'reset', isInsideEvent: true },
  { by: 'reset', isInsideEvent: false },
];

const pickEngine = (random: SeededRandom): number => random.integer(0, returningEngineCount - 1);

const pickBreak = (random: SeededRandom): StreamBreak => ({
  by: random.pick(['close', 'reset'] as const),
  isInsideEvent: random.next() < 0.4,
});

const pickEntryDelay = (random: SeededRandom, timing: 'in-time' | 'late' | 'after-last') => {
  if (timing === 'in-time') return 0;
  return timing === 'late' ? random.integer(minEntryDelayMs, maxEntryDelayMs) : undefined;
};

const generateRestarts = (
  random: SeededRandom,
  firstAt: number,
  timing: 'in-time' | 'late' | 'after-last',
): readonly EngineRestart[] => {
  const first = pickEngine(random);
  const gapMs = random.pick(restartGapsMs);
  return Array.from({ length: random.integer(1, returningEngineCount - 1) }, (_, n) => ({
    engine: (first + n) % returningEngineCount,
    at: firstAt + n * gapMs,
    awayMs:
      random.next() < atOnceShare
        ? random.integer(0, maxAtOnceMs)
        : random.integer(minAwayMs, maxAwayMs),
    changesVersion: random.next() < changeShare,
    how: pickBreak(random),
    entryDelayMs: pickEntryDelay(random, timing),
  }));
};

const restartInSeries: EngineFaultGenerator = (at, forMs, random) => ({
  kind: 'engines-restart',
  at,
  forMs,
  restarts: generateRestarts(
    random,
    0,
    random.pick(['in-time', 'late', 'late', 'after-last'] as const),
  ),
});

const cutOff: EngineFaultGenerator = (at, forMs, random) => {
  const lapseMs = random.integer(minLapseMs, maxLapseMs);
  return {
    kind: 'engines-cut-off',
    at,
    forMs: lapseMs + forMs,
    lapseMs,
    restarts: generateRestarts(random, random.integer(0, maxCutRestartMs), 'after-last'),
  };
};

const restoreStore: EngineFaultGenerator = (at, _, random) => ({
  kind: 'store-restored',
  at,
  forMs: random.integer(minCopyAgeMs, maxCopyAgeMs),
  outageMs: random.integer(0, maxOutageMs),
  rewriteMs: random.integer(0, maxRewriteMs),
  restarts: generateRestarts(random, 0, 'in-time'),
});

const breakStreams: EngineFaultGenerator = (at, forMs, random) => ({
  kind: 'streams-broken',
  at,
  forMs,
  engine: pickEngine(random),
  count: random.integer(1, maxBreaks),
  how: random.pick(seenBreaks),
});

const resumeWrong: EngineFaultGenerator = (at, forMs, random) => ({
  kind: 'wrong-resume',
  at,
  forMs,
  engine: pickEngine(random),
  wrong: random.pick(['early', 'first', 'late'] as const),
});

/** Generators of the faults of engines that come back, with restarts more often than the others. */
export const engineFaultGenerators: readonly EngineFaultGenerator[] = [
  restartInSeries,
  restartInSeries,
  restartInSeries,
  cutOff,
  cutOff,
  restoreStore,
  restoreStore,
  breakStreams,
  breakStreams,
  resumeWrong,
];
