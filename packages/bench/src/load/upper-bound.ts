import type { Arrival } from './arrivals.js';

/** Capacity of the pools that the bound assumes. */
export interface PoolCapacity {
  readonly prefillCount: number;
  /** Prompt tokens per second of one prefill engine. */
  readonly prefillRate: number;
  readonly decodeCount: number;
  /** Tokens per second of one decode engine with all its slots in use. */
  readonly decodeRate: number;
}

/** Counts how many of the smallest costs fit into a budget. */
const countFitting = (costs: readonly number[], budget: number): number => {
  let remaining = budget;
  return [...costs]
    .sort((a, b) => a - b)
    .filter((cost) => {
      remaining -= cost;
      return remaining >= 0;
    }).length;
};

/**
 * Computes an upper bound of the completions that any schedule can serve, even one that
 * knows all arrivals beforehand: as many as fit into the work that each pool can do until
 * the last response is due.
 *
 * Shared prefixes of prompts count as free. The bound ignores arrival times, order, latency
 * targets and transfers, and assumes that a prefill can be split between servers.
 */
export const computeServedUpperBound = (
  arrivals: readonly Arrival[],
  capacity: PoolCapacity,
  durationMs: number,
): number => {
  const completions = arrivals.filter((a) => a.kind === 'completion');
  const prefillBudget = (capacity.prefillCount * capacity.prefillRate * durationMs) / 1_000;
  const decodeBudget = (capacity.decodeCount * capacity.decodeRate * durationMs) / 1_000;
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
