/** Share of the fleet's limit that the VMs may use; the rest covers uneven load between them. */
const budgetShare = 0.7;

/** Limit on the retries of all VMs together within a window. */
export interface RetryLimit {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries allowed beyond the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** This VM's share of the retries that may be sent to a service. */
export interface RetryBudget {
  readonly recordRequest: (now: number) => void;
  /** Takes one retry from the budget; returns false if it is exhausted. */
  readonly tryTakeRetry: (vms: number, now: number) => boolean;
  /** Gives back the retry that was taken last, since it was not sent. */
  readonly returnRetry: () => void;
  /** Records a retry that was sent regardless of the budget. */
  readonly recordRetry: (now: number) => void;
}

const removeOlder = (times: number[], since: number): void => {
  while (times.length > 0 && (times[0] ?? 0) < since) times.shift();
};

/**
 * Creates the retry budget of one VM for one service.
 *
 * Load pattern: many backend servers fail simultaneously, and every request would be retried.
 * The slack is divided by the number of VMs; the ratio applies to the requests of this VM.
 *
 * @example
 * const budget = makeRetryBudget({ ratio: 0.2, slack: 56, windowMs: 10_000 });
 * budget.tryTakeRetry(8, now); // true
 */
export const makeRetryBudget = (limit: RetryLimit): RetryBudget => {
  const requests: number[] = [];
  const retries: number[] = [];
  return {
    recordRequest: (now) => {
      // Removing many at once would block the event loop at the first retry after a long time.
      removeOlder(requests, now - limit.windowMs);
      requests.push(now);
    },
    tryTakeRetry: (vms, now) => {
      removeOlder(requests, now - limit.windowMs);
      removeOlder(retries, now - limit.windowMs);
      const maxRetries =
        budgetShare * (limit.ratio * requests.length + limit.slack / Math.max(1, vms));
      if (retries.length + 1 > maxRetries) return false;
      retries.push(now);
      return true;
    },
    returnRetry: () => {
      retries.pop();
    },
    recordRetry: (now) => {
      retries.push(now);
    },
  };
};
