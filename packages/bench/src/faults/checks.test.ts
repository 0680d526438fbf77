import test from 'ava';
import { digestPrompt, type CallResult } from '../caller.js';
import {
  checkAnswers,
  checkEnds,
  checkHolds,
  checkNotRun,
  checkRates,
  checkRevisions,
  checkRuns,
  checkTokens,
  checkUpgrades,
  checkWithdrawals,
  checkWorkspaces,
  findOverspend,
  withdrawalBoundMs,
} from './checks.js';
import type { CompletionRecord, EngineReport, ServiceControl, ServiceRecord } from './records.js';

const end: CallResult = {
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

const completion = (changes: Partial<CompletionRecord>): CompletionRecord => ({
  kind: 'completion',
  workspace: 'forge',
  keyId: 'k1',
  promptDigest: digestPrompt('p'),
  vm: 0,
  cancelled: false,
  end,
  ...changes,
});

const service = (changes: Partial<ServiceRecord>): ServiceRecord => ({
  kind: 'service',
  workspace: 'forge',
  keyId: 'k1',
  idempotencyKey: 'o1',
  body: 'b1',
  vm: 0,
  end,
  ...changes,
});

const engine: EngineReport = {
  records: [],
  keySightings: 0,
  prefillTokens: 0,
  wastedPrefillTokens: 0,
  lostByLoading: 0,
  held: 0,
  version: 'v1',
};
const engines = (changes: Partial<EngineReport>) => new Map([['d1', { ...engine, ...changes }]]);
const services = (runs: ServiceControl['runs']) => new Map([['s1', { runs, keySightings: 0 }]]);
const started = { kind: 'prefill', id: 'a.1', workspace: 'forge', promptDigest: digestPrompt('p') };

const rows = (violations: readonly { row: number }[]): number[] => violations.map((v) => v.row);

test('each checker reports a planted violation and passes a clean record', (t) => {
  t.deepEqual(rows(checkHolds(engines({ held: 1 }))), [1]);
  t.deepEqual(rows(checkHolds(engines({}))), []);
  t.deepEqual(rows(checkAnswers([completion({ end: { ...end, complete: false } })])), [2]);
  t.deepEqual(rows(checkAnswers([completion({})])), []);
  t.deepEqual(rows(checkTokens([completion({ end: { ...end, tokens: 2, text: 'x' } })])), [2]);
  const none = new Map<string, ServiceControl>();
  t.deepEqual(rows(checkWorkspaces([completion({})], engines({ keySightings: 1 }), none)), [3]);
  const foreign = engines({ records: [{ ...started, workspace: 'works' }] });
  t.deepEqual(rows(checkWorkspaces([completion({})], foreign, none)), [3]);
  t.deepEqual(rows(checkWorkspaces([completion({})], engines({ records: [started] }), none)), []);
  const late = { ...end, startedAt: withdrawalBoundMs + 2 };
  const withdrawal = { keyId: 'k1', acceptedAt: 1 };
  t.deepEqual(rows(checkWithdrawals([completion({ end: late })], [withdrawal])), [3]);
  t.deepEqual(rows(checkWithdrawals([completion({})], [withdrawal])), []);
  t.deepEqual(rows(checkUpgrades(engines({ lostByLoading: 1 }))), [6]);
  const report = (revision: number) => ({ incarnation: 'i', revision, at: 0 });
  t.deepEqual(rows(checkRevisions([report(2), report(1)])), [8]);
  t.deepEqual(rows(checkRevisions([report(1), report(2)])), []);
  t.deepEqual(rows(checkEnds([completion({ end: { ...end, endedAt: 99 } })], 50)), [9]);
  t.deepEqual(rows(checkEnds([completion({ end: { ...end, status: 503 } })], 50)), [9]);
});

test('a double run, an untrue "not run" and crossed answers are found', (t) => {
  const run = { workspace: 'forge', body: 'b1' };
  t.deepEqual(rows(checkRuns([service({})], services([run, run]))), [5]);
  t.deepEqual(rows(checkRuns([service({})], services([run]))), []);
  const refused = service({ end: { ...end, status: 503, outcome: 'not-run' } });
  t.deepEqual(rows(checkRuns([refused], services([run]))), [5]);
  t.deepEqual(rows(checkRuns([refused], services([]))), []);
  const crossed = [service({}), service({ end: { ...end, text: 'other' } })];
  t.deepEqual(rows(checkRuns(crossed, services([run]))), [5]);
  const notRun = completion({ end: { ...end, outcome: 'not-run', status: 503 } });
  t.deepEqual(rows(checkNotRun([notRun], engines({ records: [started] }))), [5]);
});

test('overspend is found in any window, and only requests wholly inside count', (t) => {
  const spend = (from: number, to: number, tokens: number) => ({ from, to, tokens });
  t.is(findOverspend([spend(0, 0, 100), spend(1_000, 1_000, 10)], 10, 100), 0);
  t.is(findOverspend([spend(0, 0, 100), spend(1_000, 1_000, 25)], 10, 100), 15);
  t.is(findOverspend([spend(0, 5_000, 100), spend(4_000, 4_000, 100)], 10, 100), 50);
  const limits = new Map([['forge', { rate: 1, burst: 10 }]]);
  const over = completion({ end: { ...end, totalTokens: 50 } });
  t.deepEqual(rows(checkRates([over], limits, 1)), [4]);
});
