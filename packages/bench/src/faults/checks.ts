import type {
  CallRecord,
  CompletionRecord,
  EngineReport,
  RevisionReport,
  ServiceControl,
  ServiceRecord,
  Violation,
  Withdrawal,
} from './records.js';

/** A withdrawn key must not work any more after so long, in milliseconds. */
export const withdrawalBoundMs = 10_000;

const isCompletion = (call: CallRecord): call is CompletionRecord => call.kind === 'completion';
const isService = (call: CallRecord): call is ServiceRecord => call.kind === 'service';

/** Row 1: no engine holds memory when all requests are gone. */
export const checkHolds = (engines: ReadonlyMap<string, EngineReport>): Violation[] =>
  [...engines]
    .filter(([, e]) => e.held > 0)
    .map(([name, e]) => ({ row: 1, detail: `${name} still holds ${e.held} requests` }));

/** Row 2: an answer is whole and its own, or tells that it is not. */
export const checkAnswers = (calls: readonly CallRecord[]): Violation[] =>
  calls
    .filter(isCompletion)
    .filter(({ end }) => end.status === 200 && !end.complete && end.outcome === undefined)
    .filter(({ cancelled, end }) => !cancelled && end.code === undefined)
    .map(({ promptDigest }) => ({
      row: 2,
      detail: `the answer to ${promptDigest} ended without being whole`,
    }));

/** Row 2: every token that was delivered belongs to the prompt, in order. */
export const checkTokens = (calls: readonly CallRecord[]): Violation[] =>
  calls.filter(isCompletion).flatMap(({ promptDigest, end }) => {
    const expected = Array.from({ length: end.tokens }, (_, i) => `${promptDigest}.${i} `).join('');
    return end.text === expected ? [] : [{ row: 2, detail: `wrong tokens for ${promptDigest}` }];
  });

/** Row 3: a request runs for its own workspace only, and no backend server sees a key. */
export const checkWorkspaces = (
  calls: readonly CallRecord[],
  engines: ReadonlyMap<string, EngineReport>,
  services: ReadonlyMap<string, ServiceControl>,
): Violation[] => {
  const owner = new Map(calls.filter(isCompletion).map((c) => [c.promptDigest, c.workspace]));
  const bodies = new Map(
    calls
      .filter(isService)
      .filter((c) => c.body !== '')
      .map((c) => [c.body, c.workspace]),
  );
  const found: Violation[] = [];
  [...engines, ...services].forEach(([name, { keySightings }]) => {
    if (keySightings > 0) found.push({ row: 3, detail: `${name} saw a key` });
  });
  engines.forEach(({ records }, name) =>
    records
      .filter((r) => owner.has(r.promptDigest) && owner.get(r.promptDigest) !== r.workspace)
      .forEach((r) => found.push({ row: 3, detail: `${name} ran ${r.id} for ${r.workspace}` })),
  );
  services.forEach(({ runs }, name) =>
    runs
      .filter((r) => bodies.has(r.body) && bodies.get(r.body) !== r.workspace)
      .forEach((r) => found.push({ row: 3, detail: `${name} ran a call for ${r.workspace}` })),
  );
  return found;
};

/** Row 3: a withdrawn key stops working within seconds. */
export const checkWithdrawals = (
  calls: readonly CallRecord[],
  withdrawals: readonly Withdrawal[],
): Violation[] =>
  withdrawals.flatMap(({ keyId, acceptedAt }) =>
    calls
      .filter((c) => c.keyId === keyId && c.end.startedAt > acceptedAt + withdrawalBoundMs)
      .filter((c) => c.end.status === 200)
      .map((c) => ({
        row: 3,
        detail: `key ${keyId} worked ${Math.round(c.end.startedAt - acceptedAt)} ms after its withdrawal`,
      })),
  );

interface Spend {
  readonly from: number;
  readonly to: number;
  readonly tokens: number;
}

/** Most tokens above rate·T + burst that lie wholly inside one window; 0 when none. */
export const findOverspend = (spends: readonly Spend[], rate: number, burst: number): number => {
  const starts = [...new Set(spends.map((s) => s.from))].sort((a, b) => a - b);
  const byEnd = [...spends].sort((a, b) => a.to - b.to);
  let worst = 0;
  starts.forEach((start) => {
    let sum = 0;
    byEnd.forEach((s) => {
      if (s.from < start) return;
      sum += s.tokens;
      worst = Math.max(worst, sum - (rate * (s.to - start)) / 1_000 - burst);
    });
  });
  return worst;
};

/**
 * Row 4: no workspace is over its rate. A request's tokens are charged at some moment
 * between its sending and its end, so only requests wholly inside a window count.
 */
export const checkRates = (
  calls: readonly CallRecord[],
  limits: ReadonlyMap<string, { readonly rate: number; readonly burst: number }>,
  serviceCost: number,
): Violation[] =>
  [...limits].flatMap(([workspace, { rate, burst }]) => {
    const spends = calls
      .filter((c) => c.workspace === workspace && c.end.status === 200)
      .map((c) => ({
        from: c.end.startedAt,
        to: c.end.endedAt,
        tokens: isService(c) ? serviceCost : c.end.totalTokens,
      }));
    const over = findOverspend(spends, rate, burst);
    return over > 0
      ? [{ row: 4, detail: `${workspace} got ${Math.round(over)} tokens over its rate` }]
      : [];
  });

/** Row 5: a call that may not be repeated ran at most once, and "not run" is true. */
export const checkRuns = (
  calls: readonly CallRecord[],
  services: ReadonlyMap<string, ServiceControl>,
): Violation[] => {
  const runs = new Map<string, number>();
  services.forEach((s) => s.runs.forEach((r) => runs.set(r.body, (runs.get(r.body) ?? 0) + 1)));
  const found: Violation[] = [];
  const attempts = new Map<string, ServiceRecord[]>();
  calls
    .filter(isService)
    .filter((c) => c.idempotencyKey !== '')
    .forEach((c) => attempts.set(c.body, [...(attempts.get(c.body) ?? []), c]));
  attempts.forEach((made, body) => {
    const ran = runs.get(body) ?? 0;
    if (ran > 1) found.push({ row: 5, detail: `${body} ran ${ran} times` });
    const allNotRun = made.every((c) => c.end.outcome === 'not-run');
    if (allNotRun && ran > 0) found.push({ row: 5, detail: `${body} ran but was told not-run` });
    const answers = new Set(made.filter((c) => c.end.status === 200).map((c) => c.end.text));
    if (answers.size > 1) found.push({ row: 5, detail: `${body} got different answers` });
  });
  return found;
};

/** Row 5 for completions: one that was told "not run" reached no engine. */
export const checkNotRun = (
  calls: readonly CallRecord[],
  engines: ReadonlyMap<string, EngineReport>,
): Violation[] => {
  const started = new Set(
    [...engines.values()].flatMap((e) => e.records.map((r) => r.promptDigest)),
  );
  return calls
    .filter(isCompletion)
    .filter((c) => c.end.outcome === 'not-run' && started.has(c.promptDigest))
    .map((c) => ({ row: 5, detail: `${c.promptDigest} was told not-run but was started` }));
};

/** Row 6: an upgrade loses nothing that a server held. */
export const checkUpgrades = (engines: ReadonlyMap<string, EngineReport>): Violation[] =>
  [...engines]
    .filter(([, e]) => e.lostByLoading > 0)
    .map(([name, e]) => ({
      row: 6,
      detail: `${name} lost ${e.lostByLoading} requests by loading`,
    }));

/** Row 8: the revision in force at a VM never goes back. */
export const checkRevisions = (reports: readonly RevisionReport[]): Violation[] => {
  const highest = new Map<string, number>();
  return reports.flatMap(({ incarnation, revision }) => {
    const before = highest.get(incarnation) ?? 0;
    highest.set(incarnation, Math.max(before, revision));
    return revision < before
      ? [{ row: 8, detail: `${incarnation} went back from ${before} to ${revision}` }]
      : [];
  });
};

/** Row 9: every call ended in time, by an answer, a refusal or the loss of its VM. */
export const checkEnds = (calls: readonly CallRecord[], boundMs: number): Violation[] =>
  calls.flatMap((c) => {
    const ms = c.end.endedAt - c.end.startedAt;
    if (ms > boundMs) return [{ row: 9, detail: `a ${c.kind} took ${Math.round(ms)} ms to end` }];
    const refused = c.end.status !== 0 && c.end.status !== 200;
    if (
      refused &&
      c.end.outcome === undefined &&
      !(c.kind === 'service' && c.end.code === undefined)
    )
      return [{ row: 9, detail: `a refusal with status ${c.end.status} told no outcome` }];
    return [];
  });
