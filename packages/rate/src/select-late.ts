/** Maximum predicted wait of a new waiter, as a share of the time until its deadline. */
const maxPredictedWaitShare = 0.9;

/** A request that waits for tokens of its workspace. */
export interface RateWaiter {
  readonly tokens: number;
  /** Time until which the request waits for tokens. */
  readonly deadline: number;
  /** Time until which the request waits if the holder was unavailable for part of the wait. */
  readonly deadlineWithoutHolder: number;
  /** Whether the holder was unavailable while the request waited. */
  holderWasUnavailable: boolean;
}

const getWaitDeadline = (waiter: RateWaiter): number =>
  waiter.holderWasUnavailable ? waiter.deadlineWithoutHolder : waiter.deadline;

/**
 * Selects the waiters that cannot get their tokens in time, with their predicted waits.
 *
 * After the loss of a holder, its successor starts with an empty bucket. The time without a
 * holder says nothing about the rate of the workspace, so requests that waited during it get
 * the longer `deadlineWithoutHolder`.
 *
 * @param waiters - in the order in which they are served
 * @param predictWaitMs - predicts the wait for a number of tokens, which includes those of the
 *   waiters ahead
 * @param newest - a waiter that has just arrived and is admitted only if its predicted wait leaves
 *   a margin before its deadline
 * @example
 * selectLateWaiters(waiters, (tokens) => tokens / 40, now); // Map { waiter => 300 }
 */
export const selectLateWaiters = <W extends RateWaiter>(
  waiters: readonly W[],
  predictWaitMs: (tokens: number) => number,
  now: number,
  newest?: W,
): ReadonlyMap<W, number> => {
  const late = new Map<W, number>();
  let tokensAhead = 0;
  waiters.forEach((waiter) => {
    const waitMs = predictWaitMs(tokensAhead + waiter.tokens);
    const share = waiter === newest ? maxPredictedWaitShare : 1;
    if (waitMs > (getWaitDeadline(waiter) - now) * share) late.set(waiter, waitMs);
    // A waiter that is refused does not delay those behind it.
    if (now + waitMs <= getWaitDeadline(waiter)) tokensAhead += waiter.tokens;
  });
  return late;
};
