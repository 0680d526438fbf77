/** Retries that each request adds to the budget. */
const retriesPerRequest = 0.1;
const maxSavedRetries = 10;

/** Limits retries to a share of all requests, so that they cannot overload the servers. */
export interface RetryBudget {
  readonly recordRequest: () => void;
  /** Takes one retry from the budget; returns false if it is exhausted. */
  readonly tryTakeRetry: () => boolean;
}

/**
 * Creates a retry budget that starts full.
 *
 * @example
 * const budget = makeRetryBudget();
 * budget.tryTakeRetry(); // true
 */
export const makeRetryBudget = (): RetryBudget => {
  let availableRetries = maxSavedRetries;
  return {
    recordRequest: () => {
      availableRetries = Math.min(maxSavedRetries, availableRetries + retriesPerRequest);
    },
    tryTakeRetry: () => {
      if (availableRetries < 1) return false;
      availableRetries -= 1;
      return true;
    },
  };
};
