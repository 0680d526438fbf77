import type {
  CallRecord,
  CompletionRecord,
  EngineReport,
  KeyWithdrawal,
  RevisionReport,
  ServiceRecord,
  ServiceReport,
  Violation,
} from './records.js';

/** Time after which a withdrawn key must be refused, in milliseconds. */
export const maxWithdrawalDelayMs = 10_000;

const isCompletion = (call: CallRecord): call is CompletionRecord => call.kind === 'completion';
const isService = (call: CallRecord): call is ServiceRecord => call.kind === 'service';

/** Row 1: no engine holds memory after all requests have ended. */
export const checkMemoryReleased = (engines: ReadonlyMap<string, EngineReport>): Violation[] =>
  [...engines]
    .filter(([, e]) => e.held > 0)
    .map(([name, e]) => ({ row: 1, detail: `${name} still holds memory for ${e.held} requests` }));

/** Row 2: a completion's response is complete or reports an error, unless its caller cancelled it. */
export const checkCompleteness = (calls: readonly CallRecord[]): Violation[] =>
  calls
    .filter(isCompletion)
    .filter(
      ({ result }) => result.status === 200 && !result.complete && result.outcome === undefined,
    )
    .filter(({ cancelled, result }) => !cancelled && result.code === undefined)
    .map(({ promptDigest }) => ({
      row: 2,
      detail: `the response to ${promptDigest} ended incomplete, without an error`,
    }));

/** Row 2: the tokens received are those of the prompt's own response, in order. */
export const checkTokens = (calls: readonly CallRecord[]): Violation[] =>
  calls.filter(isCompletion).flatMap(({ promptDigest, result }) => {
    const expected = Array.from({ length: result.tokens }, (_, i) => `${promptDigest}.${i} `).join(
      '',
    );
    return result.text === expected
      ? []
      : [{ row: 2, detail: `received wrong tokens for ${promptDigest}` }];
  });

/** Row 3: a request runs only for the workspace of its key, and no backend server receives a key. */
export const checkWorkspaceIsolation = (
  calls: readonly CallRecord[],
  engines: ReadonlyMap<string, EngineReport>,
  services: ReadonlyMap<string, ServiceReport>,
): Violation[] => {
  const workspaceByPromptDigest = new Map(
    calls.filter(isCompletion).map((c) => [c.promptDigest, c.workspace]),
  );
  const workspaceByBody = new Map(
    calls
      .filter(isService)
      .filter((c) => c.body !== '')
      .map((c) => [c.body, c.workspace]),
  );
  const violations: Violation[] = [];
  [...engines, ...services].forEach(([name, { keySightings }]) => {
    if (keySightings > 0) violations.push({ row: 3, detail: `${name} received an API key` });
  });
  engines.forEach(({ records }, name) =>
    records
      .filter(
        (r) =>
          workspaceByPromptDigest.has(r.promptDigest) &&
          workspaceByPromptDigest.get(r.promptDigest) !== r.workspace,
      )
      .forEach((r) =>
        violations.push({ row: 3, detail: `${name} ran ${r.id} for ${r.workspace}` }),
      ),
  );
  services.forEach(({ runs }, name) =>
    runs
      .filter((r) => workspaceByBody.has(r.body) && workspaceByBody.get(r.body) !== r.workspace)
      .forEach((r) => violations.push({ row: 3, detail: `${name} ran a call for ${r.workspace}` })),
  );
  return violations;
};

/** Row 3: a withdrawn key is refused within `maxWithdrawalDelayMs`. */
export const checkKeyWithdrawals = (
  calls: readonly CallRecord[],
  withdrawals: readonly KeyWithdrawal[],
): Violation[] =>
  withdrawals.flatMap(({ keyId, acceptedAt }) =>
    calls
      .filter((c) => c.keyId === keyId && c.result.startedAt > acceptedAt + maxWithdrawalDelayMs)
      .filter((c) => c.result.status === 200)
      .map((c) => ({
        row: 3,
        detail: `key ${keyId} was accepted ${Math.round(c.result.startedAt - acceptedAt)} ms after its withdrawal`,
      })),
  );

/** Tokens of one request, charged at some moment between two times in milliseconds. */
interface TokenUse {
  readonly from: number;
  readonly to: number;
  readonly tokens: number;
}

/**
 * Finds by how many tokens a rate limit was exceeded: the maximum, over all windows of
 * length T, of the tokens used entirely inside the window minus (rate · T + burst).
 *
 * @returns 0 when the limit was never exceeded
 */
export const findMaxOverspend = (
  tokenUses: readonly TokenUse[],
  rate: number,
  burst: number,
): number => {
  const startTimes = [...new Set(tokenUses.map((use) => use.from))].sort((a, b) => a - b);
  const usesByEnd = [...tokenUses].sort((a, b) => a.to - b.to);
  let maxOverspend = 0;
  startTimes.forEach((start) => {
    let total = 0;
    usesByEnd.forEach((use) => {
      if (use.from < start) return;
      total += use.tokens;
      maxOverspend = Math.max(maxOverspend, total - (rate * (use.to - start)) / 1_000 - burst);
    });
  });
  return maxOverspend;
};

/**
 * Row 4: no workspace exceeds its rate. The tokens of a request are charged at an unknown
 * moment between its start and its end, so only requests entirely inside a window count.
 */
export const checkRateLimits = (
  calls: readonly CallRecord[],
  limits: ReadonlyMap<string, { readonly rate: number; readonly burst: number }>,
  serviceCost: number,
): Violation[] =>
  [...limits].flatMap(([workspace, { rate, burst }]) => {
    const tokenUses = calls
      .filter((c) => c.workspace === workspace && c.result.status === 200)
      .map((c) => ({
        from: c.result.startedAt,
        to: c.result.endedAt,
        tokens: isService(c) ? serviceCost : c.result.totalTokens,
      }));
    const overspend = findMaxOverspend(tokenUses, rate, burst);
    return overspend > 0
      ? [
          {
            row: 4,
            detail: `${workspace} used ${Math.round(overspend)} tokens more than its rate allows`,
          },
        ]
      : [];
  });

/**
 * Row 5: a call with an idempotency key runs at most once, all its responses are the same,
 * and it did not run at all if every attempt reported "not-run".
 */
export const checkAtMostOnce = (
  calls: readonly CallRecord[],
  services: ReadonlyMap<string, ServiceReport>,
): Violation[] => {
  const runCounts = new Map<string, number>();
  services.forEach((s) =>
    s.runs.forEach((r) => runCounts.set(r.body, (runCounts.get(r.body) ?? 0) + 1)),
  );
  const violations: Violation[] = [];
  const attemptsByBody = new Map<string, ServiceRecord[]>();
  calls
    .filter(isService)
    .filter((c) => c.idempotencyKey !== '')
    .forEach((c) => attemptsByBody.set(c.body, [...(attemptsByBody.get(c.body) ?? []), c]));
  attemptsByBody.forEach((attempts, body) => {
    const runCount = runCounts.get(body) ?? 0;
    if (runCount > 1) violations.push({ row: 5, detail: `${body} ran ${runCount} times` });
    const isReportedNotRun = attempts.every((c) => c.result.outcome === 'not-run');
    if (isReportedNotRun && runCount > 0)
      violations.push({
        row: 5,
        detail: `${body} ran although every attempt was reported as not-run`,
      });
    const responses = new Set(
      attempts.filter((c) => c.result.status === 200).map((c) => c.result.text),
    );
    if (responses.size > 1)
      violations.push({ row: 5, detail: `${body} received different responses` });
  });
  return violations;
};

/** Row 5: no engine started a completion that was reported as "not-run". */
export const checkNotRunCompletions = (
  calls: readonly CallRecord[],
  engines: ReadonlyMap<string, EngineReport>,
): Violation[] => {
  const startedPrompts = new Set(
    [...engines.values()].flatMap((e) => e.records.map((r) => r.promptDigest)),
  );
  return calls
    .filter(isCompletion)
    .filter((c) => c.result.outcome === 'not-run' && startedPrompts.has(c.promptDigest))
    .map((c) => ({
      row: 5,
      detail: `${c.promptDigest} was started although it was reported as not-run`,
    }));
};

/** Row 6: no engine loses requests when an upgrade makes it load another version. */
export const checkUpgrades = (engines: ReadonlyMap<string, EngineReport>): Violation[] =>
  [...engines]
    .filter(([, e]) => e.lostByLoading > 0)
    .map(([name, e]) => ({
      row: 6,
      detail: `${name} lost ${e.lostByLoading} requests by loading another version`,
    }));

/** Row 8: the revision in force at a VM never decreases. */
export const checkRevisionOrder = (reports: readonly RevisionReport[]): Violation[] => {
  const highestRevisions = new Map<string, number>();
  return reports.flatMap(({ incarnation, revision }) => {
    const previous = highestRevisions.get(incarnation) ?? 0;
    highestRevisions.set(incarnation, Math.max(previous, revision));
    return revision < previous
      ? [{ row: 8, detail: `${incarnation} went back from revision ${previous} to ${revision}` }]
      : [];
  });
};

/**
 * Row 9: every call ends in time, with a response, with a refusal that states its outcome, or
 * because its VM is lost. An error response of the service itself has no code and needs no outcome.
 */
export const checkTermination = (
  calls: readonly CallRecord[],
  maxDurationMs: number,
): Violation[] =>
  calls.flatMap((c) => {
    const durationMs = c.result.endedAt - c.result.startedAt;
    if (durationMs > maxDurationMs)
      return [{ row: 9, detail: `a ${c.kind} took ${Math.round(durationMs)} ms to end` }];
    const isRefused = c.result.status !== 0 && c.result.status !== 200;
    if (
      isRefused &&
      c.result.outcome === undefined &&
      !(c.kind === 'service' && c.result.code === undefined)
    )
      return [{ row: 9, detail: `a refusal with status ${c.result.status} has no outcome` }];
    return [];
  });
