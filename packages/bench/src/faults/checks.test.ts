import test from 'ava';
import { digestPrompt, type CallResult } from '../caller.js';
import {
  checkAtMostOnce,
  checkCompleteness,
  checkKeyWithdrawals,
  checkMemoryReleased,
  checkNotRunCompletions,
  checkRateLimits,
  checkRevisionOrder,
  checkTermination,
  checkTokens,
  checkUpgrades,
  checkWorkspaceIsolation,
  findMaxOverspend,
  maxWithdrawalDelayMs,
} from './checks.js';
import type { CompletionRecord, EngineReport, ServiceRecord, ServiceReport } from './records.js';

const result: CallResult = {
  status: 200,
  outcome: undefined,
  code: undefined,
  text: '',
  complete: true,
  tokens: 0,
  totalTokens: 0,
  startedAt: 0,
  endedAt: 10,
  firstTokenMs: undefined,
  betweenTokensMs: undefined,
  retryAfterS: undefined,
  resumeHandle: undefined,
  lastEventId: 0,
};

const completionRecord = (changes: Partial<CompletionRecord>): CompletionRecord => ({
  kind: 'completion',
  workspace: 'forge',
  keyId: 'k1',
  promptDigest: digestPrompt('p'),
  vm: 0,
  cancelled: false,
  result,
  ...changes,
});

const serviceRecord = (changes: Partial<ServiceRecord>): ServiceRecord => ({
  kind: 'service',
  workspace: 'forge',
  keyId: 'k1',
  idempotencyKey: 'o1',
  body: 'b1',
  vm: 0,
  result,
  ...changes,
});

const engineReport: EngineReport = {
  records: [],
  keySightings: 0,
  prefillTokens: 0,
  wastedPrefillTokens: 0,
  lostByLoading: 0,
  held: 0,
  version: 'v1',
};
const engineReports = (changes: Partial<EngineReport>) =>
  new Map([['d1', { ...engineReport, ...changes }]]);
const serviceReports = (runs: ServiceReport['runs']) =>
  new Map([['s1', { runs, keySightings: 0 }]]);
const startRecord = {
  kind: 'prefill',
  id: 'a.1',
  workspace: 'forge',
  promptDigest: digestPrompt('p'),
};

const getRows = (violations: readonly { row: number }[]): number[] => violations.map((v) => v.row);

test('each check reports its violation and accepts correct records', (t) => {
  t.deepEqual(getRows(checkMemoryReleased(engineReports({ held: 1 }))), [1]);
  t.deepEqual(getRows(checkMemoryReleased(engineReports({}))), []);
  t.deepEqual(
    getRows(checkCompleteness([completionRecord({ result: { ...result, complete: false } })])),
    [2],
  );
  t.deepEqual(getRows(checkCompleteness([completionRecord({})])), []);
  t.deepEqual(
    getRows(checkTokens([completionRecord({ result: { ...result, tokens: 2, text: 'x' } })])),
    [2],
  );
  const noServices = new Map<string, ServiceReport>();
  t.deepEqual(
    getRows(
      checkWorkspaceIsolation(
        [completionRecord({})],
        engineReports({ keySightings: 1 }),
        noServices,
      ),
    ),
    [3],
  );
  const otherWorkspace = engineReports({ records: [{ ...startRecord, workspace: 'works' }] });
  t.deepEqual(
    getRows(checkWorkspaceIsolation([completionRecord({})], otherWorkspace, noServices)),
    [3],
  );
  t.deepEqual(
    getRows(
      checkWorkspaceIsolation(
        [completionRecord({})],
        engineReports({ records: [startRecord] }),
        noServices,
      ),
    ),
    [],
  );
  const lateResult = { ...result, startedAt: maxWithdrawalDelayMs + 2 };
  const withdrawal = { keyId: 'k1', acceptedAt: 1 };
  t.deepEqual(
    getRows(checkKeyWithdrawals([completionRecord({ result: lateResult })], [withdrawal])),
    [3],
  );
  t.deepEqual(getRows(checkKeyWithdrawals([completionRecord({})], [withdrawal])), []);
  t.deepEqual(getRows(checkUpgrades(engineReports({ lostByLoading: 1 }))), [6]);
  const revisionReport = (revision: number) => ({ incarnation: 'i', revision, observedAt: 0 });
  t.deepEqual(getRows(checkRevisionOrder([revisionReport(2), revisionReport(1)])), [8]);
  t.deepEqual(getRows(checkRevisionOrder([revisionReport(1), revisionReport(2)])), []);
  t.deepEqual(
    getRows(checkTermination([completionRecord({ result: { ...result, endedAt: 99 } })], 50)),
    [9],
  );
  t.deepEqual(
    getRows(checkTermination([completionRecord({ result: { ...result, status: 503 } })], 50)),
    [9],
  );
});

test('reports double runs, runs of calls that reported "not-run", and differing responses', (t) => {
  const run = { workspace: 'forge', body: 'b1' };
  t.deepEqual(getRows(checkAtMostOnce([serviceRecord({})], serviceReports([run, run]))), [5]);
  t.deepEqual(getRows(checkAtMostOnce([serviceRecord({})], serviceReports([run]))), []);
  const refused = serviceRecord({ result: { ...result, status: 503, outcome: 'not-run' } });
  t.deepEqual(getRows(checkAtMostOnce([refused], serviceReports([run]))), [5]);
  t.deepEqual(getRows(checkAtMostOnce([refused], serviceReports([]))), []);
  const differentResponses = [
    serviceRecord({}),
    serviceRecord({ result: { ...result, text: 'other' } }),
  ];
  t.deepEqual(getRows(checkAtMostOnce(differentResponses, serviceReports([run]))), [5]);
  const notRun = completionRecord({ result: { ...result, outcome: 'not-run', status: 503 } });
  t.deepEqual(
    getRows(checkNotRunCompletions([notRun], engineReports({ records: [startRecord] }))),
    [5],
  );
});

test('finds overspend in any window and counts only requests entirely inside it', (t) => {
  const tokenUse = (from: number, to: number, tokens: number) => ({ from, to, tokens });
  t.is(findMaxOverspend([tokenUse(0, 0, 100), tokenUse(1_000, 1_000, 10)], 10, 100), 0);
  t.is(findMaxOverspend([tokenUse(0, 0, 100), tokenUse(1_000, 1_000, 25)], 10, 100), 15);
  t.is(findMaxOverspend([tokenUse(0, 5_000, 100), tokenUse(4_000, 4_000, 100)], 10, 100), 50);
  const limits = new Map([['forge', { rate: 1, burst: 10 }]]);
  const overspent = completionRecord({ result: { ...result, totalTokens: 50 } });
  t.deepEqual(getRows(checkRateLimits([overspent], limits, 1)), [4]);
});
