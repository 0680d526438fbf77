import type { BurnReport, ReportRow } from './assemble-report.js';

const formatPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const columns: readonly { title: string; read: (row: ReportRow) => string }[] = [
  { title: 'window', read: (r) => r.window },
  { title: 'workspace', read: (r) => (r.workspace === '' ? '(none)' : r.workspace) },
  { title: 'class', read: (r) => r.class },
  { title: 'requests', read: (r) => String(r.total) },
  { title: 'good', read: (r) => formatPercent(r.goodShare) },
  { title: 'burn', read: (r) => r.burn.toFixed(2) },
  { title: 'refused inside', read: (r) => String(r.refusedInsideRate) },
  { title: 'refused over', read: (r) => String(r.refusedOverRate) },
  { title: 'unknown', read: (r) => String(r.outcomeUnknown) },
  { title: 'wasted prefill', read: (r) => formatPercent(r.wastedShare) },
];

/** Returns the titles and lines of the table that both renderers show. */
export const tabulateRows = (rows: readonly ReportRow[]) => ({
  titles: columns.map((c) => c.title),
  lines: rows.map((row) => columns.map((c) => c.read(row))),
});

/** Renders a table as plain text with aligned columns. */
export const renderTable = (titles: readonly string[], lines: readonly string[][]): string => {
  const widths = titles.map((title, i) =>
    Math.max(title.length, ...lines.map((line) => line[i]?.length ?? 0)),
  );
  const renderLine = (line: readonly string[]): string =>
    line
      .map((cell, i) => cell.padEnd(widths[i] ?? 0))
      .join('  ')
      .trimEnd();
  return [renderLine(titles), ...lines.map(renderLine)].join('\n');
};

/** Renders a report as plain text. */
export const renderText = (report: BurnReport): string => {
  const { titles, lines } = tabulateRows([...report.totals, ...report.rows]);
  const latencies = report.latencies.map((l) => [
    l.name,
    String(l.count),
    String(l.p50),
    String(l.p95),
    String(l.p99),
  ]);
  const worstText = report.worst
    ? `lowest share of good requests: ${report.worst.workspace} (${report.worst.class}), ${formatPercent(report.worst.goodShare)}`
    : 'no workspace has sent a request';
  const missingText =
    report.missing.length > 0 ? `\nno data from: ${report.missing.join(', ')}` : '';
  return [
    `service-level burn of ${report.environment} at ${report.at}, ${report.vms.length} VMs${missingText}`,
    worstText,
    '',
    renderTable(titles, lines),
    '',
    renderTable(['latency in ms', 'count', 'p50', 'p95', 'p99'], latencies),
  ].join('\n');
};
