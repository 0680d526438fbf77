import type { Random } from '@hemlocksill/types/ports.js';

/**
 * Chooses the less loaded of two random candidates, so that callers with the same stale load
 * information do not all choose the same candidate.
 *
 * @example
 * chooseOfTwo(['a', 'b'], (name) => loads.get(name) ?? 0, Math.random);
 */
export const chooseOfTwo = <T>(
  candidates: readonly T[],
  getLoad: (candidate: T) => number,
  random: Random,
): T | undefined => {
  const first = candidates[Math.floor(random() * candidates.length)];
  const second = candidates[Math.floor(random() * candidates.length)];
  if (first === undefined || second === undefined) return first ?? second;
  return getLoad(second) < getLoad(first) ? second : first;
};

/** Chooses the candidate with the lowest load; the first one if several are equal. */
export const chooseLeastLoaded = <T>(
  candidates: readonly T[],
  getLoad: (candidate: T) => number,
): T | undefined => {
  let best: T | undefined;
  candidates.forEach((candidate) => {
    if (best === undefined || getLoad(candidate) < getLoad(best)) best = candidate;
  });
  return best;
};
