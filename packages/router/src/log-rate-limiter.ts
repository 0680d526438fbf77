import type { RouterEventLevel } from './events.js';

/**
 * Maximum number of log lines per second, counted over all levels. Info and debug lines have the
 * lower limit, so that warnings and errors can still be written when it is reached.
 */
const maxInfoLinesPerS = 300;
const maxWarnLinesPerS = 600;

/** Limits the number of log lines per second. */
export interface LogRateLimiter {
  /** Counts a line and returns whether it may be written; `now` is in milliseconds. */
  readonly admit: (level: RouterEventLevel, now: number) => boolean;
  /** Returns the number of lines dropped since the last call. */
  readonly takeDroppedCount: () => number;
}

/**
 * Makes a rate limiter that has not admitted any line yet.
 *
 * @example
 * makeLogRateLimiter().admit('info', performance.now()); // true
 */
export const makeLogRateLimiter = (): LogRateLimiter => {
  let currentSecond = 0;
  let admittedCount = 0;
  let droppedCount = 0;
  return {
    admit: (level, now) => {
      const elapsedSeconds = Math.floor(now / 1_000);
      if (elapsedSeconds !== currentSecond) {
        currentSecond = elapsedSeconds;
        admittedCount = 0;
      }
      const limit = level === 'warn' || level === 'error' ? maxWarnLinesPerS : maxInfoLinesPerS;
      if (admittedCount >= limit) {
        droppedCount += 1;
        return false;
      }
      admittedCount += 1;
      return true;
    },
    takeDroppedCount: () => {
      const count = droppedCount;
      droppedCount = 0;
      return count;
    },
  };
};
