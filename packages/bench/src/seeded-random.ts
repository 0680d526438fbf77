import { unsafeUniformIntDistribution, mersenne } from 'pure-rand';

const resolution = 2 ** 30;

/** Random generator that yields the same sequence for the same seed. */
export interface SeededRandom {
  /** Returns a number in [0, 1). */
  readonly next: () => number;
  /** Returns an integer in [low, high]. */
  readonly integer: (low: number, high: number) => number;
  /** Returns one of the items; throws if there are none. */
  readonly pick: <T>(items: readonly T[]) => T;
  /** Returns an exponentially distributed number with the given mean. */
  readonly exponential: (mean: number) => number;
}

/** Creates a random generator from a seed. */
export const makeSeededRandom = (seed: number): SeededRandom => {
  const generator = mersenne(seed);
  const next = (): number =>
    unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
  const integer = (low: number, high: number): number =>
    low + Math.floor(next() * (high - low + 1));
  return {
    next,
    integer,
    pick: (items) => {
      const item = items[Math.floor(next() * items.length)];
      if (item === undefined) throw new Error('cannot pick from an empty list');
      return item;
    },
    exponential: (mean) => -Math.log(1 - next()) * mean,
  };
};
