import test from 'ava';
import { assembleReport } from './assemble-report.js';
import { makeBurnRecorder, type BurnSample, type BurnVerdict } from './burn-recorder.js';
import { renderHtml } from './render-html.js';
import { renderText } from './render-text.js';

const makeSample = (workspace: string, verdict: BurnVerdict): BurnSample => ({
  workspace,
  class: 'urgent',
  verdict,
  promptTokens: 100,
  outputTokens: 10,
  wastedTokens: verdict === 'failed' ? 100 : 0,
  firstTokenMs: 200,
  betweenTokensMs: 20,
});

const exportRequests = (
  vm: string,
  goodCount: number,
  failedCount: number,
  workspace = 'forge',
) => {
  const burn = makeBurnRecorder();
  for (let i = 0; i < goodCount; i += 1) burn.record(makeSample(workspace, 'good'), 1_000);
  for (let i = 0; i < failedCount; i += 1) burn.record(makeSample(workspace, 'failed'), 1_000);
  return burn.read(vm, 2_000);
};

test('the data of all VMs is merged into one burn figure', (t) => {
  const exports = [exportRequests('vm-1', 90, 0), exportRequests('vm-2', 0, 10)];
  const report = assembleReport('trial', exports, ['vm-3'], 'now');
  const row = report.rows.find((r) => r.window === 'long');
  t.is(row?.total, 100);
  t.is(row?.goodShare, 0.9);
  t.is(row?.burn.toFixed(3), '2.000');
  t.is(row?.wastedShare, 0.1);
  t.deepEqual(report.missing, ['vm-3']);
  t.is(report.latencies.find((l) => l.name === 'urgent/first-token')?.count, 100);
});

test('the workspace with the lowest good share is named, and refusals over the rate do not count', (t) => {
  const burn = makeBurnRecorder();
  burn.record(makeSample('works', 'refused-over-rate'), 0);
  burn.record(makeSample('works', 'good'), 0);
  const exports = [burn.read('vm-1', 1), exportRequests('vm-2', 1, 1, 'forge')];
  const report = assembleReport('trial', exports, [], 'now');
  t.is(report.worst?.workspace, 'forge');
  t.is(report.rows.find((r) => r.workspace === 'works')?.goodShare, 1);
});

test('samples expire from the short window', (t) => {
  const burn = makeBurnRecorder();
  burn.record(makeSample('forge', 'failed'), 0);
  const exported = burn.read('vm-1', 1_000_000);
  t.deepEqual(
    exported.cells.map((c) => c.window),
    ['long'],
  );
});

test('the text report shows the figures of a workspace; the HTML page escapes names and has no external links', (t) => {
  const report = assembleReport('<b>', [exportRequests('vm-1', 3, 1)], [], 'now');
  t.regex(renderText(report), /forge +urgent +4 +75\.0% +5\.00/);
  const html = renderHtml(report);
  t.true(html.includes('&#60;b&#62;') && !html.includes('<title>Service-level burn: <b>'));
  t.true(html.includes('<svg') && !/https?:\/\//.test(html));
});
