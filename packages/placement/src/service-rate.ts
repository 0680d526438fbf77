/** Weight of a new observation in the running pace. */
const observationWeight = 0.2;

/** A pace older than this says nothing of a workspace without a backlog, in milliseconds. */
const paceHoldsMs = 5_000;
const shortestIntervalMs = 1;

interface Pace {
  tokensPerMs: number | undefined;
  /** Tokens that were served last. */
  lastTokens: number;
  servedAt: number;
}

/**
 * How fast workspaces with a backlog are served. It tells more than the queue does, since
 * requests that come later from others may go first.
 */
export interface ServePace {
  /** Records that a workspace, with others of its own still waiting or not, was served. */
  readonly noteServed: (
    workspace: string,
    tokens: number,
    hasBacklog: boolean,
    now: number,
  ) => void;
  /**
   * Predicts how long a workspace's own tokens take to be served; 0 when nothing is known.
   *
   * @param tokensAhead - prompt tokens of its requests that wait already
   * @param ownTokens - prompt tokens of the request itself
   */
  readonly predictMs: (
    workspace: string,
    tokensAhead: number,
    ownTokens: number,
    now: number,
  ) => number;
}

/**
 * Makes paces without observations.
 *
 * @example
 * const pace = makeServePace();
 * pace.noteServed('forge', 4_000, true, now);
 */
export const makeServePace = (): ServePace => {
  const paces = new Map<string, Pace>();
  return {
    noteServed: (workspace, tokens, hasBacklog, now) => {
      if (!hasBacklog) {
        paces.delete(workspace);
        return;
      }
      const known = paces.get(workspace);
      if (!known) {
        paces.set(workspace, { tokensPerMs: undefined, lastTokens: tokens, servedAt: now });
        return;
      }
      const seen = tokens / Math.max(shortestIntervalMs, now - known.servedAt);
      const before = known.tokensPerMs ?? seen;
      known.tokensPerMs = before + (seen - before) * observationWeight;
      known.lastTokens = tokens;
      known.servedAt = now;
    },
    predictMs: (workspace, tokensAhead, ownTokens, now) => {
      const pace = paces.get(workspace);
      if (pace?.tokensPerMs === undefined) return 0;
      // A workspace that is served no more is slower than its pace was.
      const sinceMs = Math.max(shortestIntervalMs, now - pace.servedAt);
      if (sinceMs > paceHoldsMs && tokensAhead === 0) return 0;
      const tokensPerMs = Math.min(pace.tokensPerMs, pace.lastTokens / sinceMs);
      return (tokensAhead + ownTokens) / tokensPerMs;
    },
  };
};
