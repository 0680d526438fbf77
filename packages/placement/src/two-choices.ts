import type { Random } from '@hemlocksill/types/ports.js';

/**
 * Chooses the less loaded of two random candidates, which keeps several choosers with
 * the same stale view from all picking the same one.
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

/** Chooses the candidate with the least load, the first of equals. */
export const chooseLeastLoaded = <T>(
  candidates: readonly T[],
  loadOf: (candidate: T) => number,
): T | undefined => {
  let best: T | undefined;
  candidates.forEach((c) => {
    if (best === undefined || loadOf(c) < loadOf(best)) best = c;
  });
  return best;
};
