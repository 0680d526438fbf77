/** Part of the fleet's bound that the VMs use together; the rest covers uneven shares. */
const usedShare = 0.7;

/** The bound on repeated sends over all VMs. */
export interface RetryBound {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

/** This VM's share of the repeated sends that a service may get. */
export interface RetryBudget {
  readonly recordRequest: (now: number) => void;
  /** Takes one repeated send out of the share; false when it is spent. */
  readonly tryTakeRetry: (vms: number, now: number) => boolean;
  /** Counts a repeated send that happened whatever the share was. */
  readonly noteRepeat: (now: number) => void;
}

const dropOld = (times: number[], since: number): void => {
  while (times.length > 0 && (times[0] ?? 0) < since) times.shift();
};

/**
 * Makes the share of one VM for one service.
 *
 * Load pattern: many backend servers fail at once and every request would be repeated. The
 * slack is divided by the number of VMs; the ratio applies to the VM's own requests.
 *
 * @example
 * const repeats = makeRetryWindow({ ratio: 0.2, slack: 56, windowMs: 10_000 });
 * repeats.tryRepeat(8, now); // true
 */
export const makeRetryBudget = (bound: RetryBound): RetryBudget => {
  const requests: number[] = [];
  const repeats: number[] = [];
  return {
    recordRequest: (now) => {
      requests.push(now);
    },
    tryTakeRetry: (vms, now) => {
      dropOld(requests, now - bound.windowMs);
      dropOld(repeats, now - bound.windowMs);
      const most = usedShare * (bound.ratio * requests.length + bound.slack / Math.max(1, vms));
      if (repeats.length + 1 > most) return false;
      repeats.push(now);
      return true;
    },
    noteRepeat: (now) => {
      repeats.push(now);
    },
  };
};
