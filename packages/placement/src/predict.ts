import type { RequestClass } from '@hemlocksill/types/requests.js';
import type { DecodeState, PoolLimits, PrefillState } from './pool-types.js';

/** Weight of a new observation in the running mean of slot times. */
const observationWeight = 0.05;

/** Slot time assumed before the first observation, in milliseconds. */
const initialSlotMs = 2_000;

/** Running means of how long slots are held, by class, in milliseconds. */
export type ExpectedSlotTimes = Map<RequestClass, number>;

/** Returns the expected time a slot is held. */
export const getExpectedSlotMs = (times: ExpectedSlotTimes, cls: RequestClass): number =>
  times.get(cls) ?? initialSlotMs;

/** Adds an observation to the running mean. */
export const recordSlotMs = (times: ExpectedSlotTimes, cls: RequestClass, ms: number): void => {
  const mean = getExpectedSlotMs(times, cls);
  times.set(cls, mean + (ms - mean) * observationWeight);
};

/**
 * Predicts when the decode slot for the item behind `ahead` others becomes free.
 *
 * @returns milliseconds from now
 */
export const predictSlotWait = (
  states: Iterable<DecodeState>,
  slots: number,
  ahead: number,
  meanMs: number,
  now: number,
): number => {
  const ends: number[] = [];
  let free = 0;
  let total = 0;
  for (const state of states) {
    if (state.accepting) {
      total += slots;
      free += Math.max(0, slots - state.occupiedSlots.size - state.externalSlots);
      state.occupiedSlots.forEach((slot) => ends.push(Math.max(0, slot.expectedEnd - now)));
    }
  }
  if (ahead < free) return 0;
  if (total === 0) return Number.POSITIVE_INFINITY;
  ends.sort((a, b) => a - b);
  const position = ahead - free;
  if (position < ends.length) return ends[position] ?? 0;
  return (ends.at(-1) ?? 0) + ((position - ends.length) * meanMs) / total;
};

/** Predicts how long queued prompts keep all prefill servers busy, in milliseconds. */
export const predictPrefillWait = (
  states: Iterable<PrefillState>,
  limits: PoolLimits,
  queuedTokens: number,
  now: number,
): number => {
  let servers = 0;
  let backlogMs = (queuedTokens * 1_000) / limits.prefillRate;
  for (const state of states) {
    if (state.accepting) {
      servers += 1;
      backlogMs += Math.max(0, state.busyUntil - now);
    }
  }
  return servers === 0 ? Number.POSITIVE_INFINITY : backlogMs / servers;
};
