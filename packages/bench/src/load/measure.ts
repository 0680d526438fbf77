import type { CallResult } from '../caller.js';
import { findMaxOverspend } from '../faults/checks.js';
import type { EngineReport } from '../faults/records.js';
import type { Arrival } from './arrivals.js';

/** A call of a load run and its result. */
export interface LoadCall {
  readonly arrival: Arrival;
  readonly result: CallResult;
}

/** Latency targets that a good completion meets. */
export interface LoadTargets {
  readonly urgentFirstTokenMs: number;
  readonly patientFirstTokenMs: number;
  readonly betweenTokensMs: number;
}

/** Figures of a load run; counts are of completions unless stated otherwise. */
export interface LoadFigures {
  readonly offered: number;
  readonly goodUrgent: number;
  readonly goodPatient: number;
  readonly offeredUrgent: number;
  readonly offeredPatient: number;
  /** Prompt and output tokens of good completions per second. */
  readonly goodTokensPerSecond: number;
  /** Share of computed prefill tokens whose result was never fetched. */
  readonly wastedPrefill: number;
  /**
   * Share of the tokens within its rate that the worst served workspace received. The flooding
   * workspace is left out.
   */
  readonly worstServed: number;
  readonly worstWorkspace: string;
  /** Refusals for exceeding the rate beyond those of a single bucket for the whole fleet. */
  readonly wrongfulRefusals: number;
  /** The same count for the flooding workspace, whose calls compete with each other. */
  readonly wrongfulOfFlooder: number;
  /** Calls that a single bucket for the whole fleet would admit. */
  readonly insideRate: number;
  /** Tokens used beyond the rate by the workspace that exceeded its rate most. */
  readonly tokensOverRate: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly refusalP95: number;
  /** Number of calls that did not complete, by code. */
  readonly refusals: Readonly<Record<string, number>>;
  /** 50th and 95th percentile and maximum of the time to a refusal, by code, in milliseconds. */
  readonly refusalTimes: Readonly<Record<string, readonly [number, number, number]>>;
  /** Calls with an unknown outcome. */
  readonly unknown: number;
}

const isGoodCompletion = ({ arrival, result }: LoadCall, targets: LoadTargets): boolean => {
  const targetMs = arrival.urgent ? targets.urgentFirstTokenMs : targets.patientFirstTokenMs;
  return (
    result.complete &&
    (result.firstTokenMs ?? Number.POSITIVE_INFINITY) <= targetMs &&
    (result.betweenTokensMs ?? 0) <= targets.betweenTokensMs
  );
};

const getPercentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

const getTokenCost = (arrival: Arrival): number =>
  arrival.kind === 'completion' ? arrival.promptTokens + arrival.outputTokens : 1;

interface RateLimit {
  readonly rate: number;
  readonly burst: number;
}

/** Maximum waits for tokens of the rate, as in the configuration documents of the runs. */
const maxRateWaitMs = { urgent: 200, patient: 5_000 } as const;

/**
 * Finds the calls that a single bucket for the whole fleet would admit. It takes them in order of
 * arrival, allows the same waits and charges the tokens that each call uses in the end.
 */
export const findCallsWithinRate = (
  calls: readonly LoadCall[],
  limits: ReadonlyMap<string, RateLimit>,
): Set<LoadCall> => {
  const levels = new Map<string, { level: number; offsetMs: number }>();
  const withinRate = new Set<LoadCall>();
  [...calls]
    .sort((a, b) => a.arrival.offsetMs - b.arrival.offsetMs)
    .forEach((call) => {
      const { workspace, offsetMs, urgent } = call.arrival;
      const limit = limits.get(workspace);
      if (!limit) return;
      const previous = levels.get(workspace) ?? { level: limit.burst, offsetMs };
      const refilled = previous.level + ((offsetMs - previous.offsetMs) * limit.rate) / 1_000;
      const level = Math.min(limit.burst, refilled);
      const cost = getTokenCost(call.arrival);
      // A negative level stands for tokens that waiting calls have already claimed.
      const waitMs = ((cost - level) * 1_000) / limit.rate;
      const isAdmitted = waitMs <= (urgent ? maxRateWaitMs.urgent : maxRateWaitMs.patient);
      if (isAdmitted) withinRate.add(call);
      levels.set(workspace, { level: isAdmitted ? level - cost : level, offsetMs });
    });
  return withinRate;
};

const findWorstServed = (
  withinRate: ReadonlySet<LoadCall>,
  calls: readonly LoadCall[],
  floodingWorkspace: string | undefined,
): { share: number; workspace: string } => {
  const entitled = new Map<string, number>();
  const served = new Map<string, number>();
  calls.forEach((call) => {
    const { workspace } = call.arrival;
    const cost = getTokenCost(call.arrival);
    if (withinRate.has(call)) entitled.set(workspace, (entitled.get(workspace) ?? 0) + cost);
    if (call.result.complete) served.set(workspace, (served.get(workspace) ?? 0) + cost);
  });
  let worst = { share: 1, workspace: '' };
  entitled.forEach((tokens, workspace) => {
    if (workspace === floodingWorkspace) return;
    const share = Math.min(1, (served.get(workspace) ?? 0) / tokens);
    if (share < worst.share) worst = { share, workspace };
  });
  return worst;
};

const rateRefusalCodes = ['rate-exceeded', 'rate-not-known'];

/**
 * Counts for each workspace the refusals for exceeding the rate beyond those of a single bucket
 * for the whole fleet. Which requests are refused depends on their order, so only the counts can
 * be compared.
 */
const countExcessRefusals = (
  calls: readonly LoadCall[],
  withinRate: ReadonlySet<LoadCall>,
): Map<string, number> => {
  const excess = new Map<string, number>();
  calls.forEach((c) => {
    const { workspace } = c.arrival;
    const actual = rateRefusalCodes.includes(c.result.code ?? '') ? 1 : 0;
    const expected = withinRate.has(c) ? 0 : 1;
    excess.set(workspace, (excess.get(workspace) ?? 0) + actual - expected);
  });
  return new Map([...excess].map(([workspace, count]) => [workspace, Math.max(0, count)]));
};

const countRefusals = (calls: readonly LoadCall[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  calls
    .filter((c) => !c.result.complete)
    .forEach(({ result }) => {
      const name = result.code ?? `status-${result.status}`;
      counts[name] = (counts[name] ?? 0) + 1;
    });
  return counts;
};

const measureRefusalTimes = (
  calls: readonly LoadCall[],
): Record<string, [number, number, number]> => {
  const times = new Map<string, number[]>();
  calls
    .filter((c) => c.result.status >= 400)
    .forEach(({ result }) => {
      const code = result.code ?? '';
      times.set(code, [...(times.get(code) ?? []), result.endedAt - result.startedAt]);
    });
  return Object.fromEntries(
    [...times].map(([code, ms]) => [
      code,
      [
        Math.round(getPercentile(ms, 0.5)),
        Math.round(getPercentile(ms, 0.95)),
        Math.round(Math.max(...ms)),
      ],
    ]),
  );
};

/** Computes the figures of a load run from the results of its calls and the engines' reports. */
export const measureLoad = (
  calls: readonly LoadCall[],
  engines: ReadonlyMap<string, EngineReport>,
  limits: ReadonlyMap<string, RateLimit>,
  targets: LoadTargets,
  durationMs: number,
  floodingWorkspace: string | undefined,
): LoadFigures => {
  const completions = calls.filter((c) => c.arrival.kind === 'completion');
  const urgent = completions.filter((c) => c.arrival.urgent);
  const patient = completions.filter((c) => !c.arrival.urgent);
  const good = completions.filter((c) => isGoodCompletion(c, targets));
  const goodTokens = good.reduce((sum, c) => sum + getTokenCost(c.arrival), 0);
  const engineList = [...engines.values()];
  const prefillTokens = engineList.reduce((sum, e) => sum + e.prefillTokens, 0);
  const wastedTokens = engineList.reduce((sum, e) => sum + e.wastedPrefillTokens, 0);
  const withinRate = findCallsWithinRate(calls, limits);
  const excess = countExcessRefusals(calls, withinRate);
  const excessRefusals = [...excess]
    .filter(([workspace]) => workspace !== floodingWorkspace)
    .reduce((sum, [, count]) => sum + count, 0);
  const worst = findWorstServed(withinRate, calls, floodingWorkspace);
  const overspends = [...limits].map(([workspace, { rate, burst }]) => {
    const tokenUses = calls
      .filter((c) => c.arrival.workspace === workspace && c.result.complete)
      .map((c) => ({
        from: c.result.startedAt,
        to: c.result.endedAt,
        tokens: c.arrival.kind === 'completion' ? c.result.totalTokens : 1,
      }));
    return findMaxOverspend(tokenUses, rate, burst);
  });
  const firstTokenTimes = completions.flatMap((c) => c.result.firstTokenMs ?? []);
  const refused = calls.filter((c) => c.result.status >= 400);
  return {
    offered: completions.length,
    offeredUrgent: urgent.length,
    offeredPatient: patient.length,
    goodUrgent: good.filter((c) => c.arrival.urgent).length,
    goodPatient: good.filter((c) => !c.arrival.urgent).length,
    goodTokensPerSecond: Math.round((goodTokens * 1_000) / durationMs),
    wastedPrefill: prefillTokens === 0 ? 0 : wastedTokens / prefillTokens,
    worstServed: worst.share,
    worstWorkspace: worst.workspace,
    wrongfulRefusals: excessRefusals,
    wrongfulOfFlooder: excess.get(floodingWorkspace ?? '') ?? 0,
    insideRate: withinRate.size,
    tokensOverRate: Math.max(0, ...overspends),
    firstTokenP50: getPercentile(firstTokenTimes, 0.5),
    firstTokenP95: getPercentile(firstTokenTimes, 0.95),
    refusalP95: getPercentile(
      refused.map((c) => c.result.endedAt - c.result.startedAt),
      0.95,
    ),
    refusals: countRefusals(calls),
    refusalTimes: measureRefusalTimes(calls),
    unknown: calls.filter((c) => c.result.outcome === 'outcome-unknown').length,
  };
};
