import type { RouterEventLevel } from './events.js';

/** Lines a second for events of each level; warnings and errors are kept first. */
const infoPerS = 300;
const warnPerS = 600;

/** Decides which lines are written under load. */
export interface LogRateLimiter {
  readonly admit: (level: RouterEventLevel, now: number) => boolean;
  /** Lines left out since the last question. */
  readonly takeDroppedCount: () => number;
}

/**
 * Makes a budget that starts full.
 *
 * @example
 * makeLineBudget().admit('info', performance.now()); // true
 */
export const makeLogRateLimiter = (): LogRateLimiter => {
  let second = 0;
  let written = 0;
  let leftOut = 0;
  return {
    admit: (level, now) => {
      const current = Math.floor(now / 1_000);
      if (current !== second) {
        second = current;
        written = 0;
      }
      const most = level === 'warn' || level === 'error' ? warnPerS : infoPerS;
      if (written >= most) {
        leftOut += 1;
        return false;
      }
      written += 1;
      return true;
    },
    takeDroppedCount: () => {
      const count = leftOut;
      leftOut = 0;
      return count;
    },
  };
};
