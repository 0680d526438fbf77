/** Weight of a new observation in the running pace. */
const observationWeight = 0.2;

/** A pace older than this says nothing, in milliseconds. */
const paceHoldsMs = 5_000;
const shortestIntervalMs = 1;

interface Pace {
  tokensPerMs: number | undefined;
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
  /** Predicts how long a workspace's own tokens in front take; 0 when nothing is known. */
  readonly predictMs: (workspace: string, tokensAhead: number, now: number) => number;
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
        paces.set(workspace, { tokensPerMs: undefined, servedAt: now });
        return;
      }
      const seen = tokens / Math.max(shortestIntervalMs, now - known.servedAt);
      const before = known.tokensPerMs ?? seen;
      known.tokensPerMs = before + (seen - before) * observationWeight;
      known.servedAt = now;
    },
    predictMs: (workspace, tokensAhead, now) => {
      const pace = paces.get(workspace);
      if (pace?.tokensPerMs === undefined || now - pace.servedAt > paceHoldsMs) return 0;
      return tokensAhead / pace.tokensPerMs;
    },
  };
};
