import type { RequestClass } from '@hemlocksill/types/requests.js';
import type { DecodeState, PoolLimits, PrefillState } from './pool-types.js';

/** Weight of a new observation in the moving average of slot times. */
const observationWeight = 0.05;

/** Slot time assumed before the first observation, in milliseconds. */
const initialSlotMs = 2_000;

/** Moving averages of how long a request occupies its slot, by class, in milliseconds. */
export type ExpectedSlotTimes = Map<RequestClass, number>;

/** Returns the time that a request of a class is expected to occupy its slot, in milliseconds. */
export const getExpectedSlotMs = (times: ExpectedSlotTimes, requestClass: RequestClass): number =>
  times.get(requestClass) ?? initialSlotMs;

/** Adds an observation to the moving average. */
export const recordSlotMs = (
  times: ExpectedSlotTimes,
  requestClass: RequestClass,
  ms: number,
): void => {
  const mean = getExpectedSlotMs(times, requestClass);
  times.set(requestClass, mean + (ms - mean) * observationWeight);
};

/**
 * Predicts the wait for a decode slot.
 *
 * @param ahead - number of requests that get a slot first
 * @param meanMs - average time that a request occupies a slot
 * @returns milliseconds from now
 */
export const predictSlotWait = (
  servers: Iterable<DecodeState>,
  slots: number,
  ahead: number,
  meanMs: number,
  now: number,
): number => {
  const ends: number[] = [];
  let freeSlots = 0;
  let totalSlots = 0;
  for (const server of servers) {
    if (server.isAccepting) {
      totalSlots += slots;
      freeSlots += Math.max(0, slots - server.occupiedSlots.size - server.externalSlots);
      server.occupiedSlots.forEach((slot) => ends.push(Math.max(0, slot.expectedEnd - now)));
    }
  }
  if (ahead < freeSlots) return 0;
  if (totalSlots === 0) return Number.POSITIVE_INFINITY;
  ends.sort((a, b) => a - b);
  const position = ahead - freeSlots;
  if (position < ends.length) return ends[position] ?? 0;
  return (ends.at(-1) ?? 0) + ((position - ends.length) * meanMs) / totalSlots;
};

/** Predicts how long running prefills and queued prompts keep the prefill servers busy, in milliseconds. */
export const predictPrefillWait = (
  servers: Iterable<PrefillState>,
  limits: PoolLimits,
  queuedTokens: number,
  now: number,
): number => {
  let serverCount = 0;
  let backlogMs = (queuedTokens * 1_000) / limits.prefillRate;
  for (const server of servers) {
    if (server.isAccepting) {
      serverCount += 1;
      backlogMs += Math.max(0, server.busyUntil - now);
    }
  }
  return serverCount === 0 ? Number.POSITIVE_INFINITY : backlogMs / serverCount;
};
