import { decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js';
import {
  addCells,
  type BurnCell,
  type BurnExport,
  type BurnVerdict,
  type BurnWindow,
} from './burn-recorder.js';

/** Share of requests that must be good. */
export const objective = 0.95;

const badVerdicts: readonly BurnVerdict[] = [
  'slow-first-token',
  'slow-between-tokens',
  'failed',
  'outcome-unknown',
  'refused-inside-rate',
];

/** Figures of a workspace and class, or of all workspaces, in a window. */
export interface ReportRow {
  readonly workspace: string;
  readonly class: string;
  readonly window: BurnWindow;
  readonly total: number;
  readonly good: number;
  /** Good share of all that was inside the rate, from 0 to 1. */
  readonly goodShare: number;
  /** Times the allowed share of bad requests; above 1 the objective is being missed. */
  readonly burn: number;
  readonly refusedInsideRate: number;
  readonly refusedOverRate: number;
  readonly outcomeUnknown: number;
  readonly outputTokens: number;
  /** Wasted prefill tokens as a share of all prompt tokens. */
  readonly wastedShare: number;
}

/** Percentiles of a measure in milliseconds. */
export interface ReportLatency {
  readonly name: string;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** A report over all VMs. */
export interface BurnReport {
  readonly environment: string;
  readonly at: string;
  readonly vms: readonly string[];
  /** VMs that gave no figures. */
  readonly missing: readonly string[];
  readonly rows: readonly ReportRow[];
  readonly totals: readonly ReportRow[];
  readonly latencies: readonly ReportLatency[];
  readonly worst: ReportRow | undefined;
}

const toRow = (cell: BurnCell): ReportRow => {
  const count = (verdict: BurnVerdict): number => cell.counts[verdict] ?? 0;
  const good = count('good');
  const bad = badVerdicts.reduce((sum, verdict) => sum + count(verdict), 0);
  const counted = good + bad;
  return {
    workspace: cell.workspace,
    class: cell.class,
    window: cell.window,
    total: Object.values(cell.counts).reduce((sum, n) => sum + n, 0),
    good,
    goodShare: counted === 0 ? 1 : good / counted,
    burn: counted === 0 ? 0 : bad / counted / (1 - objective),
    refusedInsideRate: count('refused-inside-rate'),
    refusedOverRate: count('refused-over-rate'),
    outcomeUnknown: count('outcome-unknown'),
    outputTokens: cell.outputTokens,
    wastedShare: cell.promptTokens === 0 ? 0 : cell.wastedTokens / cell.promptTokens,
  };
};

const mergeCells = (cells: readonly BurnCell[], nameOf: (cell: BurnCell) => string): BurnCell[] => {
  const merged = new Map<string, BurnCell>();
  cells.forEach((cell) => {
    const name = nameOf(cell);
    const known = merged.get(name);
    merged.set(name, known ? addCells(known, cell) : cell);
  });
  return [...merged.values()];
};

const mergeHistograms = (exports: readonly BurnExport[]): ReportLatency[] => {
  const merged = new Map<string, Histogram>();
  exports.forEach((e) =>
    Object.entries(e.histograms).forEach(([name, text]) => {
      const histogram = decodeFromCompressedBase64(text);
      const known = merged.get(name);
      if (known) known.add(histogram);
      else merged.set(name, histogram);
    }),
  );
  return [...merged].sort().map(([name, h]) => ({
    name,
    count: h.totalCount,
    p50: h.getValueAtPercentile(50),
    p95: h.getValueAtPercentile(95),
    p99: h.getValueAtPercentile(99),
  }));
};

/**
 * Merges the figures of all VMs into one report.
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
  const all = cells.map((c) => ({ ...c, workspace: 'all' }));
  const totals = mergeCells(all, (c) => `${c.window}/${c.class}`).map(toRow);
  const ranked = rows
    .filter((r) => r.window === 'long' && r.workspace !== '' && r.total > 0)
    .sort((a, b) => a.goodShare - b.goodShare);
  const sorted = [...rows].sort((a, b) =>
    `${a.window}${a.workspace}${a.class}` < `${b.window}${b.workspace}${b.class}` ? -1 : 1,
  );
  return {
    environment,
    at,
    vms: exports.map((e) => e.vm).sort(),
    missing,
    rows: sorted,
    totals,
    latencies: mergeHistograms(exports),
    worst: ranked[0],
  };
};
