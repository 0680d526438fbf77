import type { Arrival } from './arrivals.js';

/** What the bound assumes of the pools. */
export interface PoolSize {
  readonly prefills: number;
  readonly prefillRate: number;
  readonly decodes: number;
  /** Tokens per second of one decode engine with all its slots taken. */
  readonly decodeRate: number;
}

/** How many of the smallest costs fit into a budget. */
const countFitting = (costs: readonly number[], budget: number): number => {
  let left = budget;
  return [...costs]
    .sort((a, b) => a - b)
    .filter((cost) => {
      left -= cost;
      return left >= 0;
    }).length;
};

/**
 * Bounds from above how many completions any schedule, even one that knows all arrivals
 * beforehand, can serve: no more than fit into the work that each pool can do until the
 * last answer is due.
 *
 * Shared parts of prompts cost nothing. It leaves out the time at which work arrives, its
 * order and its targets, transfers, and that a prefill cannot be split between servers.
 */
export const boundServed = (
  arrivals: readonly Arrival[],
  pool: PoolSize,
  lengthMs: number,
): number => {
  const completions = arrivals.filter((a) => a.kind === 'completion');
  const prefillBudget = (pool.prefills * pool.prefillRate * lengthMs) / 1_000;
  const decodeBudget = (pool.decodes * pool.decodeRate * lengthMs) / 1_000;
  return Math.min(
    countFitting(
      completions.map((a) => a.promptTokens - a.sharedTokens),
      prefillBudget,
    ),
    countFitting(
      completions.map((a) => a.outputTokens),
      decodeBudget,
    ),
  );
};
