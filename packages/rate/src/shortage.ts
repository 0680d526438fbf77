/** How long the holder's reply about a shortage is used, in milliseconds. */
const shortageLifetimeMs = 1_500;

/** What is known about a workspace that is short of tokens. */
export interface Shortage {
  /** Tokens that all VMs wait for, as a multiple of what this VM waits for. */
  contention: number;
  /** Time at which the information expires. */
  expiresAt: number;
}

/** Makes the state of a workspace that is not short of tokens. */
export const makeShortage = (): Shortage => ({ contention: 1, expiresAt: 0 });

/**
 * Records the holder's reply that tokens are short.
 *
 * @param backlog - tokens that all VMs wait for
 * @param localBacklog - tokens that this VM waits for
 */
export const recordShortage = (
  shortage: Shortage,
  backlog: number,
  localBacklog: number,
  now: number,
): void => {
  shortage.contention = Math.max(1, backlog / Math.max(1, localBacklog));
  shortage.expiresAt = now + shortageLifetimeMs;
};

/**
 * Predicts the wait for tokens, assuming that VMs share the rate in proportion to the tokens
 * that each waits for.
 *
 * @param tokens - tokens of the request and of all requests ahead of it on this VM
 * @param rate - rate of the workspace over all VMs, in tokens per second
 * @returns milliseconds; 0 if the workspace is not known to be short of tokens
 *
 * @example
 * predictShortageWait(makeShortage(), 5_000, 100, 0); // 0: the workspace is not short
 */
export const predictShortageWait = (
  shortage: Shortage,
  tokens: number,
  rate: number,
  now: number,
): number => (shortage.expiresAt <= now ? 0 : (tokens * shortage.contention * 1_000) / rate);
