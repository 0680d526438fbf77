import { decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js';
import {
  addCells,
  type BurnCell,
  type BurnExport,
  type BurnVerdict,
  type BurnWindow,
} from './burn-recorder.js';

/** Share of requests that must be good, from 0 to 1. */
export const goodShareObjective = 0.95;

/** Verdicts that count as bad; requests refused over the rate or as bad requests do not count. */
const badVerdicts: readonly BurnVerdict[] = [
  'slow-first-token',
  'slow-between-tokens',
  'failed',
  'outcome-unknown',
  'refused-inside-rate',
];

/** Figures of one workspace and class, or of all workspaces, in a window. */
export interface ReportRow {
  readonly workspace: string;
  readonly class: string;
  readonly window: BurnWindow;
  readonly total: number;
  readonly good: number;
  /** Share of good requests among those that count, from 0 to 1. */
  readonly goodShare: number;
  /** Share of bad requests divided by the allowed share; above 1 the objective is missed. */
  readonly burn: number;
  readonly refusedInsideRate: number;
  readonly refusedOverRate: number;
  readonly outcomeUnknown: number;
  readonly outputTokens: number;
  /** Wasted prefill tokens as a share of all prompt tokens. */
  readonly wastedShare: number;
}

/** Percentiles of a latency in milliseconds. */
export interface ReportLatency {
  readonly name: string;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Service-level burn of all VMs of an environment. */
export interface BurnReport {
  readonly environment: string;
  readonly at: string;
  readonly vms: readonly string[];
  /** VMs that did not deliver their data. */
  readonly missing: readonly string[];
  readonly rows: readonly ReportRow[];
  readonly totals: readonly ReportRow[];
  readonly latencies: readonly ReportLatency[];
  readonly worst: ReportRow | undefined;
}

const toRow = (cell: BurnCell): ReportRow => {
  const getCount = (verdict: BurnVerdict): number => cell.counts[verdict] ?? 0;
  const good = getCount('good');
  const bad = badVerdicts.reduce((sum, verdict) => sum + getCount(verdict), 0);
  const countedTotal = good + bad;
  return {
    workspace: cell.workspace,
    class: cell.class,
    window: cell.window,
    total: Object.values(cell.counts).reduce((sum, n) => sum + n, 0),
    good,
    goodShare: countedTotal === 0 ? 1 : good / countedTotal,
    burn: countedTotal === 0 ? 0 : bad / countedTotal / (1 - goodShareObjective),
    refusedInsideRate: getCount('refused-inside-rate'),
    refusedOverRate: getCount('refused-over-rate'),
    outcomeUnknown: getCount('outcome-unknown'),
    outputTokens: cell.outputTokens,
    wastedShare: cell.promptTokens === 0 ? 0 : cell.wastedTokens / cell.promptTokens,
  };
};

const mergeCells = (cells: readonly BurnCell[], getKey: (cell: BurnCell) => string): BurnCell[] => {
  const merged = new Map<string, BurnCell>();
  cells.forEach((cell) => {
    const key = getKey(cell);
    const existing = merged.get(key);
    merged.set(key, existing ? addCells(existing, cell) : cell);
  });
  return [...merged.values()];
};

const mergeHistograms = (exports: readonly BurnExport[]): ReportLatency[] => {
  const merged = new Map<string, Histogram>();
  exports.forEach((vmExport) =>
    Object.entries(vmExport.histograms).forEach(([name, encoded]) => {
      const histogram = decodeFromCompressedBase64(encoded);
      const existing = merged.get(name);
      if (existing) existing.add(histogram);
      else merged.set(name, histogram);
    }),
  );
  return [...merged].sort().map(([name, histogram]) => ({
    name,
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  }));
};

/**
 * Merges the data of all VMs into one report.
 *
 * @example
 * assembleReport('trial', [], ['vm-1'], '2026-01-01T00:00:00Z').missing; // ['vm-1']
 */
export const assembleReport = (
  environment: string,
  exports: readonly BurnExport[],
  missing: readonly string[],
  at: string,
): BurnReport => {
  const cells = exports.flatMap((e) => e.cells);
  const rows = mergeCells(cells, (c) => `${c.window}/${c.class}/${c.workspace}`).map(toRow);
  const cellsOfAllWorkspaces = cells.map((c) => ({ ...c, workspace: 'all' }));
  const totals = mergeCells(cellsOfAllWorkspaces, (c) => `${c.window}/${c.class}`).map(toRow);
  const rowsByGoodShare = rows
    .filter((r) => r.window === 'long' && r.workspace !== '' && r.total > 0)
    .sort((a, b) => a.goodShare - b.goodShare);
  const sortedRows = [...rows].sort((a, b) =>
    `${a.window}${a.workspace}${a.class}` < `${b.window}${b.workspace}${b.class}` ? -1 : 1,
  );
  return {
    environment,
    at,
    vms: exports.map((e) => e.vm).sort(),
    missing,
    rows: sortedRows,
    totals,
    latencies: mergeHistograms(exports),
    worst: rowsByGoodShare[0],
  };
};
