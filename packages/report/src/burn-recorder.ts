import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js';
import type { RequestClass } from '@hemlocksill/types/requests.js';

/** Duration of a time slot in milliseconds; samples expire by slot. */
const slotDurationMs = 10_000;

/** Windows over which burn is reported, in milliseconds: 5 minutes and 1 hour. */
export const windowMs = { short: 300_000, long: 3_600_000 } as const;

/** Name of a window. */
export type BurnWindow = keyof typeof windowMs;

/** How a request counts towards the service-level objective. */
export type BurnVerdict =
  | 'good'
  | 'slow-first-token'
  | 'slow-between-tokens'
  | 'failed'
  | 'outcome-unknown'
  | 'refused-over-rate'
  | 'refused-inside-rate'
  | 'refused-bad-request';

/** Measurements of one ended request. */
export interface BurnSample {
  readonly workspace: string;
  readonly class: RequestClass;
  readonly verdict: BurnVerdict;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly wastedTokens: number;
  readonly firstTokenMs: number | undefined;
  readonly betweenTokensMs: number | undefined;
}

/** Totals of one workspace and class in a window. */
export interface BurnCell {
  readonly workspace: string;
  readonly class: RequestClass;
  readonly window: BurnWindow;
  readonly counts: Readonly<Partial<Record<BurnVerdict, number>>>;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly wastedTokens: number;
}

/** Data that one VM contributes to a report. */
export interface BurnExport {
  readonly vm: string;
  readonly cells: readonly BurnCell[];
  /** Latency histograms since the process started, by `class/measure`, as compressed base64. */
  readonly histograms: Readonly<Record<string, string>>;
}

interface Slot {
  readonly index: number;
  readonly cells: Map<string, BurnCell>;
}

/** Counts requests per time slot over the long window. `now` is in milliseconds. */
export interface BurnRecorder {
  readonly record: (sample: BurnSample, now: number) => void;
  readonly read: (vm: string, now: number) => BurnExport;
}

/** Adds the totals of two cells of the same workspace, class and window. */
export const addCells = (a: BurnCell, b: BurnCell): BurnCell => {
  const counts: Partial<Record<BurnVerdict, number>> = { ...a.counts };
  Object.entries(b.counts).forEach(([verdict, count]) => {
    const verdictName = verdict as BurnVerdict;
    counts[verdictName] = (counts[verdictName] ?? 0) + count;
  });
  return {
    ...a,
    counts,
    promptTokens: a.promptTokens + b.promptTokens,
    outputTokens: a.outputTokens + b.outputTokens,
    wastedTokens: a.wastedTokens + b.wastedTokens,
  };
};

const addCellToMap = (cells: Map<string, BurnCell>, cell: BurnCell): void => {
  const key = `${cell.window}/${cell.class}/${cell.workspace}`;
  const existing = cells.get(key);
  cells.set(key, existing ? addCells(existing, cell) : cell);
};

const toCell = (sample: BurnSample): BurnCell => ({
  workspace: sample.workspace,
  class: sample.class,
  window: 'long',
  counts: { [sample.verdict]: 1 },
  promptTokens: sample.promptTokens,
  outputTokens: sample.outputTokens,
  wastedTokens: sample.wastedTokens,
});

const makeHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000,
    numberOfSignificantValueDigits: 2,
  });

/**
 * Makes a recorder of service-level burn.
 *
 * @example
 * const burn = makeBurnRecorder();
 * burn.record(sample, performance.now());
 */
export const makeBurnRecorder = (): BurnRecorder => {
  let slots: Slot[] = [];
  const histograms = new Map<string, Histogram>();

  const recordLatency = (name: string, ms: number | undefined): void => {
    if (ms === undefined) return;
    const histogram = histograms.get(name) ?? makeHistogram();
    histograms.set(name, histogram);
    histogram.recordValue(Math.max(1, Math.round(ms)));
  };

  return {
    record: (sample, now) => {
      const slotIndex = Math.floor(now / slotDurationMs);
      if (slots.at(-1)?.index !== slotIndex) {
        const lastExpiredSlotIndex = slotIndex - windowMs.long / slotDurationMs;
        slots = [
          ...slots.filter((slot) => slot.index > lastExpiredSlotIndex),
          { index: slotIndex, cells: new Map() },
        ];
      }
      const slot = slots.at(-1);
      if (slot) addCellToMap(slot.cells, toCell(sample));
      recordLatency(`${sample.class}/first-token`, sample.firstTokenMs);
      recordLatency(`${sample.class}/between-tokens`, sample.betweenTokensMs);
    },
    read: (vm, now) => {
      const cells = new Map<string, BurnCell>();
      const firstShortSlotIndex = Math.floor((now - windowMs.short) / slotDurationMs);
      slots.forEach((slot) =>
        slot.cells.forEach((cell) => {
          addCellToMap(cells, cell);
          if (slot.index >= firstShortSlotIndex) addCellToMap(cells, { ...cell, window: 'short' });
        }),
      );
      const encodedHistograms = [...histograms].map(([name, histogram]) => [
        name,
        encodeIntoCompressedBase64(histogram),
      ]);
      return {
        vm,
        cells: [...cells.values()],
        histograms: Object.fromEntries(encodedHistograms) as Record<string, string>,
      };
    },
  };
};
