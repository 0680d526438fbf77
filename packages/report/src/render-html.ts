import type { BurnReport, ReportLatency, ReportRow } from './assemble-report.js';
import { tabulateRows } from './render-text.js';

const barWidth = 420;
const barHeight = 18;
const barGap = 8;
const labelWidth = 220;

const escapeHtml = (text: string): string =>
  text.replace(/[&<>"]/g, (c) => `&#${c.charCodeAt(0)};`);

interface Bar {
  readonly label: string;
  readonly value: number;
  readonly text: string;
  readonly color: string;
}

const renderBars = (title: string, bars: readonly Bar[], threshold: number | undefined): string => {
  const maxValue = Math.max(1e-9, ...bars.map((b) => b.value), threshold ?? 0);
  const height = bars.length * (barHeight + barGap) + barGap;
  const toX = (value: number): number => labelWidth + (value / maxValue) * barWidth;
  const lines = bars.map((bar, i) => {
    const y = barGap + i * (barHeight + barGap);
    const width = Math.max(1, toX(bar.value) - labelWidth);
    return (
      `<text x="${labelWidth - 8}" y="${y + 13}" text-anchor="end">${escapeHtml(bar.label)}</text>` +
      `<rect x="${labelWidth}" y="${y}" width="${width.toFixed(1)}" height="${barHeight}" fill="${bar.color}"/>` +
      `<text x="${(labelWidth + width + 6).toFixed(1)}" y="${y + 13}">${escapeHtml(bar.text)}</text>`
    );
  });
  const thresholdLine =
    threshold === undefined
      ? ''
      : `<line x1="${toX(threshold)}" x2="${toX(threshold)}" y1="0" y2="${height}" stroke="#222" stroke-dasharray="4 3"/>`;
  const size = `width="${labelWidth + barWidth + 90}" height="${height}"`;
  return `<h2>${escapeHtml(title)}</h2><svg ${size} role="img">${lines.join('')}${thresholdLine}</svg>`;
};

const toBurnBar = (row: ReportRow): Bar => ({
  label: `${row.workspace} ${row.class}`,
  value: row.burn,
  text: row.burn.toFixed(2),
  color: row.burn > 1 ? '#b3261e' : '#2e7d32',
});

const toLatencyBars = (latency: ReportLatency): Bar[] => [
  { label: `${latency.name} p50`, value: latency.p50, text: `${latency.p50} ms`, color: '#90a4ae' },
  { label: `${latency.name} p95`, value: latency.p95, text: `${latency.p95} ms`, color: '#546e7a' },
];

const renderTableHtml = (titles: readonly string[], lines: readonly string[][]): string => {
  const head = titles.map((t) => `<th>${escapeHtml(t)}</th>`).join('');
  const body = lines
    .map((line) => `<tr>${line.map((c) => `<td>${escapeHtml(c)}</td>`).join('')}</tr>`)
    .join('\n');
  return `<table><thead><tr>${head}</tr></thead><tbody>${body}</tbody></table>`;
};

const style =
  'body{font:14px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:64rem;color:#222}' +
  'svg text{font:12px system-ui,sans-serif}table{border-collapse:collapse}' +
  'td,th{padding:.2rem .7rem;border-bottom:1px solid #ddd;text-align:left}' +
  '.worst{padding:.6rem 1rem;background:#fff3e0;border-left:4px solid #ef6c00}';

/** Renders a report as one self-contained HTML page with charts. */
export const renderHtml = (report: BurnReport): string => {
  const { titles, lines } = tabulateRows([...report.totals, ...report.rows]);
  const makeBurnBars = (window: string): Bar[] =>
    [...report.totals, ...report.rows].filter((r) => r.window === window).map(toBurnBar);
  const worstText = report.worst
    ? `Lowest share of good requests: <b>${escapeHtml(report.worst.workspace)}</b> (${report.worst.class}), ` +
      `${(report.worst.goodShare * 100).toFixed(1)}%`
    : 'No workspace has sent a request.';
  const missingText =
    report.missing.length > 0
      ? `<p class="worst">No data from: ${escapeHtml(report.missing.join(', '))}</p>`
      : '';
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>Service-level burn: ${escapeHtml(report.environment)}</title>`,
    `<style>${style}</style></head><body>`,
    `<h1>Service-level burn: ${escapeHtml(report.environment)}</h1>`,
    `<p>${escapeHtml(report.at)}, ${report.vms.length} VMs</p>${missingText}<p class="worst">${worstText}</p>`,
    renderBars('Burn over 5 minutes (above 1, the objective is missed)', makeBurnBars('short'), 1),
    renderBars('Burn over 1 hour', makeBurnBars('long'), 1),
    renderBars('Latency', report.latencies.flatMap(toLatencyBars), undefined),
    `<h2>All figures</h2>${renderTableHtml(titles, lines)}`,
    '</body></html>',
  ].join('\n');
};
