import type { Arrival } from './arrivals.js';

/** What the offline calculation assumes of the pools. */
export interface PoolSize {
  readonly prefills: number;
  readonly prefillRate: number;
  readonly decodes: number;
  readonly slots: number;
  readonly tokenMs: number;
  readonly tokenMsPerStream: number;
}

/** Latest time of the first token after arrival, by class. */
export interface FirstTokenTargets {
  readonly urgentMs: number;
  readonly patientMs: number;
}

interface Servers {
  readonly free: number[];
}

const takeEarliest = (servers: Servers): [number, number] => {
  let best = 0;
  servers.free.forEach((at, i) => {
    if (at < (servers.free[best] ?? 0)) best = i;
  });
  return [best, servers.free[best] ?? 0];
};

/**
 * Counts the completions that a single scheduler which knows all sizes would serve within
 * its first-token target: each goes to the earliest prefill server and slot, and one that
 * would be late is turned away at no cost.
 *
 * It leaves out reordering, the cache, transfers and slots that run faster when the batch
 * is small, so that it is a close estimate of what can be reached, not a proven limit.
 */
export const countReachable = (
  arrivals: readonly Arrival[],
  pool: PoolSize,
  targets: FirstTokenTargets,
): { readonly urgent: number; readonly patient: number } => {
  const prefills: Servers = { free: new Array<number>(pool.prefills).fill(0) };
  const slots: Servers = { free: new Array<number>(pool.decodes * pool.slots).fill(0) };
  const stepMs = pool.tokenMs + pool.tokenMsPerStream * (pool.slots - 1);
  const served = { urgent: 0, patient: 0 };
  arrivals
    .filter((a) => a.kind === 'completion')
    .forEach((a) => {
      const [prefill, prefillFree] = takeEarliest(prefills);
      const [slot, slotFree] = takeEarliest(slots);
      const costMs = (a.promptTokens * 1_000) / pool.prefillRate;
      const prefillEnd = Math.max(a.at, prefillFree) + costMs;
      const begin = Math.max(prefillEnd, slotFree);
      const latest = a.at + (a.urgent ? targets.urgentMs : targets.patientMs);
      if (begin + stepMs > latest) return;
      prefills.free[prefill] = prefillEnd;
      slots.free[slot] = begin + a.outputTokens * stepMs;
      if (a.urgent) served.urgent += 1;
      else served.patient += 1;
    });
  return served;
};
