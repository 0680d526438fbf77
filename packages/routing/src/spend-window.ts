/** Number of parts of a window; the amounts of a part expire together. */
const partsPerWindow = 32;

/** Sum of the amounts spent within a sliding window. */
export interface SpendWindow {
  readonly add: (amount: number, now: number) => void;
  readonly sum: (now: number) => number;
}

/**
 * Creates an empty window. Its sum may include amounts up to one part older than the window, but
 * never misses one.
 *
 * @param windowMs - length of the window in milliseconds
 * @example
 * const spent = makeSpendWindow(8_000);
 * spent.add(20, now);
 * spent.sum(now); // 20
 */
export const makeSpendWindow = (windowMs: number): SpendWindow => {
  const partMs = windowMs / partsPerWindow;
  const parts: { readonly endsAt: number; amount: number }[] = [];
  let total = 0;
  const removeExpired = (now: number): void => {
    for (let oldest = parts[0]; oldest && oldest.endsAt + windowMs <= now; [oldest] = parts) {
      total -= oldest.amount;
      parts.shift();
    }
  };
  return {
    add: (amount, now) => {
      removeExpired(now);
      total += amount;
      const newest = parts.at(-1);
      if (newest && now < newest.endsAt) newest.amount += amount;
      else parts.push({ endsAt: now + partMs, amount });
    },
    sum: (now) => {
      removeExpired(now);
      return total;
    },
  };
};
