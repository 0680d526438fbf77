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

const completeResult: CallResult = {
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

const makeCompletionRecord = (changes: Partial<CompletionRecord>): CompletionRecord => ({
  kind: 'completion',
  workspace: 'forge',
  keyId: 'k1',
  promptDigest: digestPrompt('p'),
  vm: 0,
  cancelled: false,
  result: completeResult,
  ...changes,
});

const makeServiceRecord = (changes: Partial<ServiceRecord>): ServiceRecord => ({
  kind: 'service',
  workspace: 'forge',
  keyId: 'k1',
  idempotencyKey: 'o1',
  body: 'b1',
  vm: 0,
  result: completeResult,
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
const makeEngineReports = (changes: Partial<EngineReport>) =>
  new Map([['d1', { ...engineReport, ...changes }]]);
const makeServiceReports = (runs: ServiceReport['runs']) =>
  new Map([['s1', { runs, keySightings: 0 }]]);
const startRecord = {
  kind: 'prefill',
  id: 'a.1',
  workspace: 'forge',
  promptDigest: digestPrompt('p'),
};

const getRows = (violations: readonly { row: number }[]): number[] => violations.map((v) => v.row);

test('each check reports records that violate its guarantee and accepts correct ones', (t) => {
  t.deepEqual(getRows(checkMemoryReleased(makeEngineReports({ held: 1 }))), [1]);
  t.deepEqual(getRows(checkMemoryReleased(makeEngineReports({}))), []);
  t.deepEqual(
    getRows(
      checkCompleteness([makeCompletionRecord({ result: { ...completeResult, complete: false } })]),
    ),
    [2],
  );
  t.deepEqual(getRows(checkCompleteness([makeCompletionRecord({})])), []);
  t.deepEqual(
    getRows(
      checkTokens([makeCompletionRecord({ result: { ...completeResult, tokens: 2, text: 'x' } })]),
    ),
    [2],
  );
  const noServices = new Map<string, ServiceReport>();
  t.deepEqual(
    getRows(
      checkWorkspaceIsolation(
        [makeCompletionRecord({})],
        makeEngineReports({ keySightings: 1 }),
        noServices,
      ),
    ),
    [3],
  );
  const reportsOfOtherWorkspace = makeEngineReports({
    records: [{ ...startRecord, workspace: 'works' }],
  });
  t.deepEqual(
    getRows(
      checkWorkspaceIsolation([makeCompletionRecord({})], reportsOfOtherWorkspace, noServices),
    ),
    [3],
  );
  t.deepEqual(
    getRows(
      checkWorkspaceIsolation(
        [makeCompletionRecord({})],
        makeEngineReports({ records: [startRecord] }),
        noServices,
      ),
    ),
    [],
  );
  const lateResult = { ...completeResult, startedAt: maxWithdrawalDelayMs + 2 };
  const withdrawal = { keyId: 'k1', acceptedAt: 1 };
  t.deepEqual(
    getRows(checkKeyWithdrawals([makeCompletionRecord({ result: lateResult })], [withdrawal])),
    [3],
  );
  t.deepEqual(getRows(checkKeyWithdrawals([makeCompletionRecord({})], [withdrawal])), []);
  t.deepEqual(getRows(checkUpgrades(makeEngineReports({ lostByLoading: 1 }))), [6]);
  const makeRevisionReport = (revision: number) => ({ incarnation: 'i', revision, observedAt: 0 });
  t.deepEqual(getRows(checkRevisionOrder([makeRevisionReport(2), makeRevisionReport(1)])), [8]);
  t.deepEqual(getRows(checkRevisionOrder([makeRevisionReport(1), makeRevisionReport(2)])), []);
  t.deepEqual(
    getRows(
      checkTermination([makeCompletionRecord({ result: { ...completeResult, endedAt: 99 } })], 50),
    ),
    [9],
  );
  t.deepEqual(
    getRows(
      checkTermination([makeCompletionRecord({ result: { ...completeResult, status: 503 } })], 50),
    ),
    [9],
  );
});

test('the checks report double runs, runs of calls that reported "not-run", and differing responses', (t) => {
  const run = { workspace: 'forge', body: 'b1' };
  t.deepEqual(
    getRows(checkAtMostOnce([makeServiceRecord({})], makeServiceReports([run, run]))),
    [5],
  );
  t.deepEqual(getRows(checkAtMostOnce([makeServiceRecord({})], makeServiceReports([run]))), []);
  const notRunService = makeServiceRecord({
    result: { ...completeResult, status: 503, outcome: 'not-run' },
  });
  t.deepEqual(getRows(checkAtMostOnce([notRunService], makeServiceReports([run]))), [5]);
  t.deepEqual(getRows(checkAtMostOnce([notRunService], makeServiceReports([]))), []);
  const differentResponses = [
    makeServiceRecord({}),
    makeServiceRecord({ result: { ...completeResult, text: 'other' } }),
  ];
  t.deepEqual(getRows(checkAtMostOnce(differentResponses, makeServiceReports([run]))), [5]);
  const notRunCompletion = makeCompletionRecord({
    result: { ...completeResult, outcome: 'not-run', status: 503 },
  });
  t.deepEqual(
    getRows(
      checkNotRunCompletions([notRunCompletion], makeEngineReports({ records: [startRecord] })),
    ),
    [5],
  );
});

test('findMaxOverspend checks every window and counts only requests entirely inside it', (t) => {
  const makeTokenUse = (from: number, to: number, tokens: number) => ({ from, to, tokens });
  t.is(findMaxOverspend([makeTokenUse(0, 0, 100), makeTokenUse(1_000, 1_000, 10)], 10, 100), 0);
  t.is(findMaxOverspend([makeTokenUse(0, 0, 100), makeTokenUse(1_000, 1_000, 25)], 10, 100), 15);
  t.is(
    findMaxOverspend([makeTokenUse(0, 5_000, 100), makeTokenUse(4_000, 4_000, 100)], 10, 100),
    50,
  );
  const limits = new Map([['forge', { rate: 1, burst: 10 }]]);
  const overspendingCompletion = makeCompletionRecord({
    result: { ...completeResult, totalTokens: 50 },
  });
  t.deepEqual(getRows(checkRateLimits([overspendingCompletion], limits, 1)), [4]);
});
