/** Minimum time from the start of one read to the start of the next. */
const readPeriodMs = 250;

/** Dependencies of the reads. */
export interface FreshReadsDeps {
  /** Reads; false if that failed. */
  readonly read: () => Promise<boolean>;
  readonly now: () => number;
}

/** Reads for callers that need to know what holds now. */
export interface FreshReads {
  /**
   * Calls back when a read that began after the call has ended, or in time: with true if it has succeeded.
   *
   * @param until - time until which the caller can wait
   */
  readonly await: (until: number, onDone: (isFresh: boolean) => void) => void;
}

/**
 * Makes the reads of a VM. All that wait share one read, since they come together after a loss of VMs.
 *
 * @example
 * makeFreshReads(deps).await(now() + 1_000, (isFresh) => {});
 */
export const makeFreshReads = ({ read, now }: FreshReadsDeps): FreshReads => {
  const waiting = new Set<(isFresh: boolean) => void>();
  let lastReadAt = Number.NEGATIVE_INFINITY;
  let isScheduled = false;

  const schedule = (): void => {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    const run = async (): Promise<void> => {
      lastReadAt = now();
      const served = [...waiting];
      const isFresh = await read();
      isScheduled = false;
      served.forEach((finish) => finish(isFresh));
      schedule();
    };
    setTimeout(() => void run(), Math.max(0, lastReadAt + readPeriodMs - now()));
  };

  return {
    await: (until, onDone) => {
      const finish = (isFresh: boolean): void => {
        if (!waiting.delete(finish)) return;
        clearTimeout(timer);
        onDone(isFresh);
      };
      const timer = setTimeout(() => finish(false), Math.max(0, until - now()));
      waiting.add(finish);
      schedule();
    },
  };
};
