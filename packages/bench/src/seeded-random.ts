import { unsafeUniformIntDistribution, mersenne } from 'pure-rand';

const resolution = 2 ** 30;

/** A source of random choices that a seed repeats. */
export interface SeededRandom {
  /** A number in [0, 1). */
  readonly next: () => number;
  /** A whole number in [low, high]. */
  readonly integer: (low: number, high: number) => number;
  readonly pick: <T>(items: readonly T[]) => T;
  /** An exponentially distributed time with the given mean. */
  readonly exponential: (mean: number) => number;
}

/** Makes a source of random choices from a seed. */
export const makeSeededRandom = (seed: number): SeededRandom => {
  const generator = mersenne(seed);
  const next = (): number =>
    unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
  const between = (low: number, high: number): number =>
    low + Math.floor(next() * (high - low + 1));
  return {
    next,
    integer: between,
    pick: (items) => {
      const item = items[Math.floor(next() * items.length)];
      if (item === undefined) throw new Error('nothing to pick from');
      return item;
    },
    exponential: (mean) => -Math.log(1 - next()) * mean,
  };
};
