/** A bound on the bytes that a VM sends for one purpose. */
export interface MessageBudget {
  /** Returns the time until this many bytes may be sent. */
  readonly getWaitMs: (bytes: number, now: number) => number;
  readonly take: (bytes: number, now: number) => void;
}

/**
 * Creates a full budget: a bucket that fills at `bytesPerS` up to `maxBytes`. A message larger than that waits
 * for a full bucket.
 *
 * @example
 * makeMessageBudget(2_000, 2_000).getWaitMs(500, now); // 0
 */
export const makeMessageBudget = (bytesPerS: number, maxBytes: number): MessageBudget => {
  let level = maxBytes;
  let filledAt: number | undefined;
  const fill = (now: number): void => {
    level = Math.min(maxBytes, level + ((now - (filledAt ?? now)) * bytesPerS) / 1_000);
    filledAt = now;
  };
  return {
    getWaitMs: (bytes, now) => {
      fill(now);
      return Math.max(0, ((Math.min(bytes, maxBytes) - level) * 1_000) / bytesPerS);
    },
    take: (bytes, now) => {
      fill(now);
      level -= bytes;
    },
  };
};
