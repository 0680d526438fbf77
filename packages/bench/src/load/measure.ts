import type { CallResult } from '../caller.js';
import { findOverspend } from '../faults/checks.js';
import type { EngineReport } from '../faults/records.js';
import type { Arrival } from './arrivals.js';

/** A call of a load run, and how it ended. */
export interface LoadCall {
  readonly arrival: Arrival;
  readonly end: CallResult;
}

/** Targets that make a completion count as good. */
export interface LoadTargets {
  readonly urgentFirstMs: number;
  readonly patientFirstMs: number;
  readonly betweenMs: number;
}

/** Figures of a load run. */
export interface LoadFigures {
  readonly offered: number;
  readonly goodUrgent: number;
  readonly goodPatient: number;
  readonly offeredUrgent: number;
  readonly offeredPatient: number;
  /** Tokens of good completions, prompt and answer, per second. */
  readonly goodTokensPerSecond: number;
  /** Share of computed prefill tokens whose result nobody fetched. */
  readonly wastedPrefill: number;
  /** Least share of what a workspace was entitled to that it got. */
  readonly worstServed: number;
  readonly worstWorkspace: string;
  /** Refusals by rate beyond those that one bucket for the whole fleet makes. */
  readonly wrongfulRefusals: number;
  /** The same of the workspace that floods, which competes with itself. */
  readonly wrongfulOfFlooder: number;
  readonly insideRate: number;
  readonly tokensOverRate: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly refusalP95: number;
  /** Refusals by code. */
  readonly refusals: Readonly<Record<string, number>>;
  /** 50th and 95th percentile and most of the time to a refusal, by code, in milliseconds. */
  readonly refusalTimes: Readonly<Record<string, readonly [number, number, number]>>;
  readonly unknown: number;
}

const isGood = ({ arrival, end }: LoadCall, targets: LoadTargets): boolean => {
  const firstMs = arrival.urgent ? targets.urgentFirstMs : targets.patientFirstMs;
  return (
    end.complete &&
    (end.firstTokenMs ?? Number.POSITIVE_INFINITY) <= firstMs &&
    (end.betweenTokensMs ?? 0) <= targets.betweenMs
  );
};

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

const costOf = (a: Arrival): number =>
  a.kind === 'completion' ? a.promptTokens + a.outputTokens : 1;

interface Limit {
  readonly rate: number;
  readonly burst: number;
}

/** Longest waits for tokens, as the documents of the runs state them. */
const rateWaitMs = { urgent: 200, patient: 5_000 } as const;

/**
 * Marks the calls that one bucket for the whole fleet would admit, in order of arrival,
 * with the same waits, charging what each call would use in the end.
 */
export const findInsideRate = (
  calls: readonly LoadCall[],
  limits: ReadonlyMap<string, Limit>,
): Set<LoadCall> => {
  const levels = new Map<string, { level: number; at: number }>();
  const inside = new Set<LoadCall>();
  [...calls]
    .sort((a, b) => a.arrival.at - b.arrival.at)
    .forEach((call) => {
      const { workspace, at, urgent } = call.arrival;
      const limit = limits.get(workspace);
      if (!limit) return;
      const known = levels.get(workspace) ?? { level: limit.burst, at };
      const filled = known.level + ((at - known.at) * limit.rate) / 1_000;
      const level = Math.min(limit.burst, filled);
      const cost = costOf(call.arrival);
      // A level below nothing stands for tokens that waiting calls have claimed.
      const waitMs = ((cost - level) * 1_000) / limit.rate;
      const admitted = waitMs <= (urgent ? rateWaitMs.urgent : rateWaitMs.patient);
      if (admitted) inside.add(call);
      levels.set(workspace, { level: admitted ? level - cost : level, at });
    });
  return inside;
};

const measureWorst = (
  inside: ReadonlySet<LoadCall>,
  calls: readonly LoadCall[],
  flooder: string | undefined,
): { share: number; workspace: string } => {
  const entitled = new Map<string, number>();
  const served = new Map<string, number>();
  calls.forEach((call) => {
    const { workspace } = call.arrival;
    const cost = costOf(call.arrival);
    if (inside.has(call)) entitled.set(workspace, (entitled.get(workspace) ?? 0) + cost);
    if (call.end.complete) served.set(workspace, (served.get(workspace) ?? 0) + cost);
  });
  let worst = { share: 1, workspace: '' };
  entitled.forEach((tokens, workspace) => {
    if (workspace === flooder) return;
    const share = Math.min(1, (served.get(workspace) ?? 0) / tokens);
    if (share < worst.share) worst = { share, workspace };
  });
  return worst;
};

const rateCodes = ['rate-exceeded', 'rate-not-known'];

/**
 * Counts refusals by rate of each workspace beyond those of the one bucket. Which requests
 * of a workspace over its rate are refused depends on their order, so only numbers compare.
 */
const countExcessRefusals = (
  calls: readonly LoadCall[],
  inside: ReadonlySet<LoadCall>,
): Map<string, number> => {
  const excess = new Map<string, number>();
  calls.forEach((c) => {
    const { workspace } = c.arrival;
    const refused = rateCodes.includes(c.end.code ?? '') ? 1 : 0;
    const expected = inside.has(c) ? 0 : 1;
    excess.set(workspace, (excess.get(workspace) ?? 0) + refused - expected);
  });
  return new Map([...excess].map(([workspace, n]) => [workspace, Math.max(0, n)]));
};

const countRefusals = (calls: readonly LoadCall[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  calls
    .filter((c) => !c.end.complete)
    .forEach(({ end }) => {
      const name = end.code ?? `status-${end.status}`;
      counts[name] = (counts[name] ?? 0) + 1;
    });
  return counts;
};

const measureRefusalTimes = (
  calls: readonly LoadCall[],
): Record<string, [number, number, number]> => {
  const times = new Map<string, number[]>();
  calls
    .filter((c) => c.end.status >= 400)
    .forEach(({ end }) => {
      const code = end.code ?? '';
      times.set(code, [...(times.get(code) ?? []), end.endedAt - end.startedAt]);
    });
  return Object.fromEntries(
    [...times].map(([code, ms]) => [
      code,
      [
        Math.round(percentile(ms, 0.5)),
        Math.round(percentile(ms, 0.95)),
        Math.round(Math.max(...ms)),
      ],
    ]),
  );
};

/** Measures a load run from what its callers and the engines recorded. */
export const measureLoad = (
  calls: readonly LoadCall[],
  engines: ReadonlyMap<string, EngineReport>,
  limits: ReadonlyMap<string, Limit>,
  targets: LoadTargets,
  lengthMs: number,
  flooder: string | undefined,
): LoadFigures => {
  const completions = calls.filter((c) => c.arrival.kind === 'completion');
  const urgent = completions.filter((c) => c.arrival.urgent);
  const patient = completions.filter((c) => !c.arrival.urgent);
  const good = completions.filter((c) => isGood(c, targets));
  const goodTokens = good.reduce((sum, c) => sum + costOf(c.arrival), 0);
  const engineList = [...engines.values()];
  const computed = engineList.reduce((sum, e) => sum + e.prefillTokens, 0);
  const wasted = engineList.reduce((sum, e) => sum + e.wastedPrefillTokens, 0);
  const inside = findInsideRate(calls, limits);
  const excess = countExcessRefusals(calls, inside);
  const wrongful = [...excess]
    .filter(([workspace]) => workspace !== flooder)
    .reduce((sum, [, n]) => sum + n, 0);
  const worst = measureWorst(inside, calls, flooder);
  const over = [...limits].map(([workspace, { rate, burst }]) => {
    const spends = calls
      .filter((c) => c.arrival.workspace === workspace && c.end.complete)
      .map((c) => ({
        from: c.end.startedAt,
        to: c.end.endedAt,
        tokens: c.arrival.kind === 'completion' ? c.end.totalTokens : 1,
      }));
    return findOverspend(spends, rate, burst);
  });
  const firsts = completions.flatMap((c) => c.end.firstTokenMs ?? []);
  const refused = calls.filter((c) => c.end.status >= 400);
  return {
    offered: completions.length,
    offeredUrgent: urgent.length,
    offeredPatient: patient.length,
    goodUrgent: good.filter((c) => c.arrival.urgent).length,
    goodPatient: good.filter((c) => !c.arrival.urgent).length,
    goodTokensPerSecond: Math.round((goodTokens * 1_000) / lengthMs),
    wastedPrefill: computed === 0 ? 0 : wasted / computed,
    worstServed: worst.share,
    worstWorkspace: worst.workspace,
    wrongfulRefusals: wrongful,
    wrongfulOfFlooder: excess.get(flooder ?? '') ?? 0,
    insideRate: inside.size,
    tokensOverRate: Math.max(0, ...over),
    firstTokenP50: percentile(firsts, 0.5),
    firstTokenP95: percentile(firsts, 0.95),
    refusalP95: percentile(
      refused.map((c) => c.end.endedAt - c.end.startedAt),
      0.95,
    ),
    refusals: countRefusals(calls),
    refusalTimes: measureRefusalTimes(calls),
    unknown: calls.filter((c) => c.end.outcome === 'outcome-unknown').length,
  };
};
