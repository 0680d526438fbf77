/** Share of its time that the predicted wait of a new waiter may take. */
const admittedShare = 0.9;

/** A request that waits for tokens of its workspace. */
export interface RateWaiter {
  readonly tokens: number;
  /** Time until which it waits for tokens. */
  readonly deadline: number;
  /** Time until which it waits where the holder could not be asked meanwhile. */
  readonly deadlineWithoutHolder: number;
  /** Whether the holder could not be asked while it waited. */
  holderWasUnavailable: boolean;
}

const lateAt = (waiter: RateWaiter): number =>
  waiter.holderWasUnavailable ? waiter.deadlineWithoutHolder : waiter.deadline;

/**
 * Selects the waiters whose tokens can't come in time, with their predicted waits.
 *
 * Load pattern: a holder is lost and its successor starts with an empty bucket. The time for
 * which nobody could be asked says nothing about the rate, so it is not held against those who
 * waited through it.
 *
 * @param waiters - in the order in which they are served
 * @param predictWaitMs - predicts the wait for some tokens, those in front included
 * @param newest - a waiter that has just come, which is admitted with a margin only
 * @example
 * selectLate(waiters, (tokens) => tokens / 40, now); // Map { waiter => 300 }
 */
export const selectLateWaiters = <W extends RateWaiter>(
  waiters: readonly W[],
  predictWaitMs: (tokens: number) => number,
  now: number,
  newest?: W,
): ReadonlyMap<W, number> => {
  const late = new Map<W, number>();
  let tokens = 0;
  waiters.forEach((waiter) => {
    const waitMs = predictWaitMs(tokens + waiter.tokens);
    const share = waiter === newest ? admittedShare : 1;
    if (waitMs > (lateAt(waiter) - now) * share) late.set(waiter, waitMs);
    // A waiter that is refused does not delay those behind it.
    if (now + waitMs <= lateAt(waiter)) tokens += waiter.tokens;
  });
  return late;
};
