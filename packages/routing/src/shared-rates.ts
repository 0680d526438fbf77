import type { BackendServer } from '@hemlocksill/types/routing.js';
import { getInstanceKey } from './server-directory.js';

const rateKinds = ['prompt', 'output'] as const;

/** What a rate measures: prompt tokens read per millisecond, or output tokens of a stream per second. */
export type RateKind = (typeof rateKinds)[number];

/** An instance of an engine; a restarted one has the same id and another start time. */
export type EngineInstance = Pick<BackendServer, 'id' | 'startedAt'>;

/** A rate of one engine, for other VMs: its instance, what is measured, and the rate. */
export type RateRow = readonly [instance: string, kind: RateKind, rate: number];

/** Samples of one engine over which its rate is averaged; older ones count less. */
const sampleWindow = 20;

/** Samples after which the rate of an engine is published. */
const minPublishedSamples = 3;

/** Relative change of a rate from which it is published again. */
const publishChange = 0.1;

/** Rows that are kept at most between two messages; later samples are dropped. */
const maxPendingRows = 200;

/** Engines whose rates are kept; the one recorded first is dropped for another. */
const maxEngines = 2_000;

/** Rates of single engines, which all VMs of the fleet measure together. */
export interface SharedRates {
  /** Records a sample that this VM has measured. */
  readonly recordSample: (server: EngineInstance, kind: RateKind, rate: number) => void;
  /** Returns the samples since the last call, to be sent to the VM that averages them. */
  readonly takeSamples: () => RateRow[];
  /** Averages samples of this VM or of another one; used by the VM that publishes the rates. */
  readonly average: (rows: readonly RateRow[]) => void;
  /** Rates that have changed since they were published, or all of them. */
  readonly listPublished: (which: 'changed' | 'all') => RateRow[];
  /** Adopts published rates. */
  readonly adopt: (rows: readonly RateRow[]) => void;
  /** Published rate of an engine; undefined if it is not known. */
  readonly getRate: (server: EngineInstance, kind: RateKind) => number | undefined;
  /** Forgets the engines that are not listed any more. */
  readonly prune: (listed: readonly BackendServer[]) => void;
}

interface Average {
  samples: number;
  rate: number;
}

const makeKey = (instance: string, kind: RateKind): string => `${kind} ${instance}`;

/** Sets a value in a map with a bounded number of entries; the oldest entry is dropped. */
const setBounded = <T>(map: Map<string, T>, key: string, value: T): void => {
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > maxEngines * 2 && oldest !== undefined) map.delete(oldest);
};

/**
 * Creates a record without rates.
 *
 * Load pattern: dozens of engines of uneven speed and as many VMs, each of which places a stream in a second.
 * A VM alone would need minutes to measure every engine; all VMs together see each engine several times a
 * second. One VM averages the samples of all and publishes what has changed.
 *
 * @example
 * const rates = makeSharedRates();
 * rates.adopt([['i-1 1700000000000', 'output', 310]]);
 * rates.getRate(server, 'output'); // 310
 */
export const makeSharedRates = (): SharedRates => {
  let pending: RateRow[] = [];
  const averages = new Map<string, Average>();
  const published = new Map<string, number>();

  const addSample = ([instance, kind, rate]: RateRow): void => {
    const key = makeKey(instance, kind);
    // A VM that takes over publishing starts from the rates that were published before.
    const previous = published.get(key);
    const average = averages.get(key) ?? {
      samples: previous === undefined ? 0 : minPublishedSamples,
      rate: previous ?? rate,
    };
    average.samples += 1;
    average.rate += (rate - average.rate) / Math.min(average.samples, sampleWindow);
    setBounded(averages, key, average);
  };

  const hasChanged = (key: string, { samples, rate }: Average): boolean => {
    if (samples < minPublishedSamples) return false;
    const previous = published.get(key);
    return previous === undefined || Math.abs(rate - previous) > previous * publishChange;
  };

  const toRow = (key: string, rate: number): RateRow => {
    const separator = key.indexOf(' ');
    const kind = key.slice(0, separator) === 'prompt' ? 'prompt' : 'output';
    return [key.slice(separator + 1), kind, Number(rate.toPrecision(3))];
  };

  const adopt = (rows: readonly RateRow[]): void =>
    rows.forEach(([instance, kind, rate]) => setBounded(published, makeKey(instance, kind), rate));

  return {
    recordSample: (server, kind, rate) => {
      if (pending.length >= maxPendingRows || !(rate > 0) || !Number.isFinite(rate)) return;
      pending.push([getInstanceKey(server), kind, Number(rate.toPrecision(3))]);
    },
    takeSamples: () => {
      const rows = pending;
      pending = [];
      return rows;
    },
    average: (rows) => rows.forEach(addSample),
    listPublished: (which) => {
      const changed = [...averages].filter(([key, average]) => hasChanged(key, average));
      const rows = changed.map(([key, { rate }]) => toRow(key, rate));
      adopt(rows);
      return which === 'changed' ? rows : [...published].map(([key, rate]) => toRow(key, rate));
    },
    adopt,
    getRate: (server, kind) => published.get(makeKey(getInstanceKey(server), kind)),
    prune: (listed) => {
      const keys = new Set(
        listed.flatMap((server) => rateKinds.map((kind) => makeKey(getInstanceKey(server), kind))),
      );
      [averages, published].forEach((map) =>
        map.forEach((_, key) => {
          if (!keys.has(key)) map.delete(key);
        }),
      );
    },
  };
};
