/** Weight of a new observation in the moving average of a rate. */
const observationWeight = 0.2;

/** A rate older than this is not used for a workspace without a backlog, in milliseconds. */
const maxRateAgeMs = 5_000;
const minIntervalMs = 1;

interface ServiceRate {
  tokensPerMs: number | undefined;
  /** Prompt tokens of the request that was served last. */
  lastTokens: number;
  servedAt: number;
}

/**
 * Estimates how fast workspaces with a backlog are served. The queue alone underestimates their
 * wait, since later requests of other workspaces may be served first.
 */
export interface ServiceRateEstimator {
  /**
   * Records that a request of a workspace was served.
   *
   * @param tokens - prompt tokens of the request
   * @param hasBacklog - whether more requests of the workspace are waiting
   */
  readonly recordServed: (
    workspace: string,
    tokens: number,
    hasBacklog: boolean,
    now: number,
  ) => void;
  /**
   * Predicts how long it takes to serve the tokens of a workspace, in milliseconds; 0 if its
   * rate is not known.
   *
   * @param waitingTokens - prompt tokens of its requests that are already waiting
   * @param requestTokens - prompt tokens of the request itself
   */
  readonly predictWaitMs: (
    workspace: string,
    waitingTokens: number,
    requestTokens: number,
    now: number,
  ) => number;
}

/**
 * Makes an estimator without observations.
 *
 * @example
 * const estimator = makeServiceRateEstimator();
 * estimator.recordServed('forge', 4_000, true, now);
 */
export const makeServiceRateEstimator = (): ServiceRateEstimator => {
  const rates = new Map<string, ServiceRate>();
  return {
    recordServed: (workspace, tokens, hasBacklog, now) => {
      if (!hasBacklog) {
        rates.delete(workspace);
        return;
      }
      const existing = rates.get(workspace);
      if (!existing) {
        rates.set(workspace, { tokensPerMs: undefined, lastTokens: tokens, servedAt: now });
        return;
      }
      const observedRate = tokens / Math.max(minIntervalMs, now - existing.servedAt);
      const previousRate = existing.tokensPerMs ?? observedRate;
      existing.tokensPerMs = previousRate + (observedRate - previousRate) * observationWeight;
      existing.lastTokens = tokens;
      existing.servedAt = now;
    },
    predictWaitMs: (workspace, waitingTokens, requestTokens, now) => {
      const rate = rates.get(workspace);
      if (rate?.tokensPerMs === undefined) return 0;
      // While a workspace is not served, its current rate is below its average.
      const sinceMs = Math.max(minIntervalMs, now - rate.servedAt);
      if (sinceMs > maxRateAgeMs && waitingTokens === 0) return 0;
      const tokensPerMs = Math.min(rate.tokensPerMs, rate.lastTokens / sinceMs);
      return (waitingTokens + requestTokens) / tokensPerMs;
    },
  };
};
