import type { RouterMetrics } from './router-metrics.js';

/** Interval at which a process that is short of memory looks whether it still is. */
const stepMs = 50;

/** Time for which callers and servers are not read at most; what is left then is not theirs to free. */
const maxHoldMs = 1_000;

/** Time after that in which they are read though the process is short of memory. */
const pauseMs = 5_000;

/** Relief of a process that is short of memory. */
export interface MemoryRelief {
  /** Looks whether the process is short of memory, and stops to read callers and servers if it is. */
  readonly check: () => void;
}

/** Dependencies of the relief. */
export interface MemoryReliefDeps {
  readonly isShort: () => boolean;
  readonly collectGarbage: () => void;
  readonly holdReads: () => void;
  readonly releaseReads: () => void;
  /** Makes callers and answers of servers give way until they hold half of what they do. */
  readonly halveHeld: () => void;
  readonly metrics: Pick<RouterMetrics, 'callerLimits'>;
  readonly now: () => number;
}

/**
 * Makes the relief of a process that is short of memory. Accounts count what they know; the heap's limit, at which the
 * process ends, counts everything. Callers and servers are not read while the heap is nearly full, garbage is collected, and if
 * that is not enough, those give way that hold most.
 *
 * @example
 * const relief = makeMemoryRelief(deps);
 * server.on('request', relief.check);
 */
export const makeMemoryRelief = (deps: MemoryReliefDeps): MemoryRelief => {
  let isHolding = false;
  let nextHoldAt = 0;

  const release = (): void => {
    isHolding = false;
    deps.releaseReads();
  };

  const scheduleStep = (endsAt: number): void => {
    setTimeout(() => {
      deps.collectGarbage();
      if (!deps.isShort()) release();
      else if (deps.now() >= endsAt) {
        nextHoldAt = deps.now() + pauseMs;
        release();
      } else {
        deps.halveHeld();
        scheduleStep(endsAt);
      }
    }, stepMs);
  };

  return {
    check: () => {
      if (isHolding || !deps.isShort() || deps.now() < nextHoldAt) return;
      isHolding = true;
      deps.metrics.callerLimits.inc({ limit: 'heap' });
      deps.holdReads();
      scheduleStep(deps.now() + maxHoldMs);
    },
  };
};
