/** Weight of a new observation in the running pace. */
const observationWeight = 0.3;

/** How long after a refused draw the workspace counts as short of tokens. */
const shortHoldsMs = 2_000;
const shortestIntervalMs = 5;

/** How fast a workspace short of tokens gets them on this VM, among all VMs that ask. */
export interface GrantPace {
  tokensPerMs: number | undefined;
  lastGrantAt: number;
  shortUntil: number;
}

/** Makes a pace without observations. */
export const makeGrantPace = (): GrantPace => ({
  tokensPerMs: undefined,
  lastGrantAt: 0,
  shortUntil: 0,
});

/** Records that a draw found too few tokens. */
export const noteShort = (pace: GrantPace, now: number): void => {
  if (pace.shortUntil <= now) {
    pace.tokensPerMs = undefined;
    pace.lastGrantAt = now;
  }
  pace.shortUntil = now + shortHoldsMs;
};

/** Records a grant. */
export const noteGrant = (pace: GrantPace, tokens: number, now: number): void => {
  if (pace.shortUntil <= now) return;
  const seen = tokens / Math.max(shortestIntervalMs, now - pace.lastGrantAt);
  const known = pace.tokensPerMs ?? seen;
  pace.tokensPerMs = known + (seen - known) * observationWeight;
  pace.lastGrantAt = now;
};

/**
 * Predicts the wait for `tokens`, those of all requests ahead included.
 *
 * @param rate - rate of the workspace over all VMs, in tokens per second
 *
 * @example
 * predictGrantWait(makeGrantPace(), 5_000, 100, 0); // 0: the workspace is not short
 */
export const predictGrantWait = (
  pace: GrantPace,
  tokens: number,
  rate: number,
  now: number,
): number => {
  if (pace.shortUntil <= now) return 0;
  const whole = rate / 1_000;
  return tokens / Math.min(whole, pace.tokensPerMs ?? whole);
};
