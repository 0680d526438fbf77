/** Share of requests that may be retried on top. */
const retryShare = 0.1;
const mostSaved = 10;

/** Limits retries to a share of all requests, so that retries cannot pile up. */
export interface RetryBudget {
  readonly noteRequest: () => void;
  /** Takes one retry out of the budget; false when it is spent. */
  readonly tryRetry: () => boolean;
}

/**
 * Makes a retry budget that starts full.
 *
 * @example
 * const budget = makeRetryBudget();
 * budget.tryRetry(); // true
 */
export const makeRetryBudget = (): RetryBudget => {
  let saved = mostSaved;
  return {
    noteRequest: () => {
      saved = Math.min(mostSaved, saved + retryShare);
    },
    tryRetry: () => {
      if (saved < 1) return false;
      saved -= 1;
      return true;
    },
  };
};
