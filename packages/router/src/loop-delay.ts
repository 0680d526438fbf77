import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/**
 * Minimum delay that is logged, in milliseconds. A VM that stands still for longer no longer answers
 * within half a second of a route's timeout.
 */
const minLoggedDelayMs = 500;

/** Measures by how much a periodic task runs late. */
export interface LoopDelay {
  /** Records a run of the task. */
  readonly recordTick: (now: number) => void;
  /** Returns the time of the run before the latest one; what is handled now has not arrived earlier. */
  readonly getTickBeforeLatestAt: () => number | undefined;
}

/** Dependencies of the measurement. */
export interface LoopDelayDeps {
  /** Interval of the task, in milliseconds. */
  readonly periodMs: number;
  readonly metrics: Pick<RouterMetrics, 'loopDelayMs'>;
  readonly log: LogRouterEvent;
}

/**
 * Makes the measurement of the event loop's delay. Nothing else shows whether a VM that does not
 * answer was busy in one turn or had no connection.
 *
 * @example
 * const loopDelay = makeLoopDelay({ periodMs: 100, metrics, log });
 * setInterval(() => loopDelay.recordTick(performance.now()), 100);
 */
export const makeLoopDelay = ({ periodMs, metrics, log }: LoopDelayDeps): LoopDelay => {
  let expectedAt: number | undefined;
  let latestAt: number | undefined;
  let beforeLatestAt: number | undefined;
  return {
    getTickBeforeLatestAt: () => beforeLatestAt,
    recordTick: (now) => {
      beforeLatestAt = latestAt;
      latestAt = now;
      const delayMs = Math.max(0, now - (expectedAt ?? now));
      expectedAt = now + periodMs;
      metrics.loopDelayMs.observe(delayMs);
      if (delayMs >= minLoggedDelayMs) log(2009, { delayMs: Math.round(delayMs) });
    },
  };
};
