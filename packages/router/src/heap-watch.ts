import { getHeapStatistics } from 'node:v8';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** Part of the heap's limit in use from which on the process is short of memory. */
const shortShare = 0.7;

/** What the heap holds and may hold, in bytes. */
export interface HeapUse {
  readonly usedBytes: number;
  readonly limitBytes: number;
}

/** Looks at how full the heap is. */
export interface HeapWatch {
  /** Whether the process is short of memory now. */
  readonly isShort: () => boolean;
  /** Records how full the heap is, and logs when the process becomes short of memory. */
  readonly check: () => void;
}

/** Dependencies of the watch. */
export interface HeapWatchDeps {
  readonly readHeapUse: () => HeapUse;
  readonly metrics: Pick<RouterMetrics, 'heapBytes'>;
  readonly log: LogRouterEvent;
  /** Returns what callers hold by the router's own account. */
  readonly describeHolders: () => Readonly<Record<string, number>>;
}

/**
 * Reads how full the heap of this process is.
 *
 * @example
 * readHeapUse().usedBytes;
 */
export const readHeapUse = (): HeapUse => {
  const statistics = getHeapStatistics();
  return {
    usedBytes: statistics.used_heap_size,
    limitBytes: statistics.heap_size_limit,
  };
};

/**
 * Collects what the heap holds for nothing, if Node.js runs with `--expose-gc`. What is in use tells how much is needed
 * only then.
 *
 * @example
 * collectGarbage();
 */
export const collectGarbage = (): void => {
  globalThis.gc?.();
};

/**
 * Makes the watch of the heap. A process whose heap reaches its limit ends without a line of its own.
 *
 * @example
 * const heap = makeHeapWatch({ readHeapUse, metrics, log, describeHolders: () => ({}) });
 * setInterval(heap.check, 100);
 */
export const makeHeapWatch = (deps: HeapWatchDeps): HeapWatch => {
  let wasShort = false;
  const isOver = ({ usedBytes, limitBytes }: HeapUse): boolean =>
    usedBytes > limitBytes * shortShare;
  return {
    isShort: () => isOver(deps.readHeapUse()),
    check: () => {
      const use = deps.readHeapUse();
      deps.metrics.heapBytes.set(use.usedBytes);
      const isShort = isOver(use);
      if (isShort && !wasShort) deps.log(2010, { ...use, ...deps.describeHolders() });
      wasShort = isShort;
    },
  };
};
