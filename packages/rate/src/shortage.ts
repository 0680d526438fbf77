/** How long an answer of the holder about a shortage counts, in milliseconds. */
const holdsMs = 1_500;

/** What is known about a workspace that is short of tokens. */
export interface Shortage {
  /** Tokens that all VMs wait for, as a multiple of what this VM waits for. */
  contention: number;
  until: number;
}

/** Makes the state of a workspace that is not short. */
export const makeShortage = (): Shortage => ({ contention: 1, until: 0 });

/**
 * Records the holder's answer that tokens are short.
 *
 * @param backlog - tokens that all VMs wait for
 * @param ownWaiting - tokens that this VM waits for
 */
export const recordShortage = (
  shortage: Shortage,
  backlog: number,
  ownWaiting: number,
  now: number,
): void => {
  shortage.contention = Math.max(1, backlog / Math.max(1, ownWaiting));
  shortage.until = now + holdsMs;
};

/**
 * Predicts the wait for `tokens`, those of all requests ahead on this VM included; the
 * rate is taken to be shared in proportion to what the VMs wait for.
 *
 * @param rate - rate of the workspace over all VMs, in tokens per second
 *
 * @example
 * predictShortageWait(makeShortage(), 5_000, 100, 0); // 0: the workspace is not short
 */
export const predictShortageWait = (
  shortage: Shortage,
  tokens: number,
  rate: number,
  now: number,
): number => (shortage.until <= now ? 0 : (tokens * shortage.contention * 1_000) / rate);
