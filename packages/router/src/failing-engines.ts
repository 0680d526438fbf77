import { peerFailureCooldownMs } from '@hemlocksill/routing/server-health.js';

/** Prefill engines that failed at this VM, which the other VMs are told. */
export interface FailingEngines {
  /** Records a failure; returns whether the other VMs have to be told. */
  readonly record: (engine: string, now: number) => boolean;
  readonly list: (now: number) => readonly string[];
}

/**
 * Creates a record without failures.
 *
 * Load pattern: hundreds of VMs send a stream every few seconds each. If each of them had to find
 * out by itself that an engine loses its results, the engine would recover before they know.
 *
 * @example
 * makeFailingEngines().list(now); // []
 */
export const makeFailingEngines = (): FailingEngines => {
  const failingUntil = new Map<string, number>();
  const removeExpired = (now: number): void =>
    failingUntil.forEach((until, engine) => {
      if (until <= now) failingUntil.delete(engine);
    });
  return {
    record: (engine, now) => {
      removeExpired(now);
      const isNew = !failingUntil.has(engine);
      failingUntil.set(engine, now + peerFailureCooldownMs);
      return isNew;
    },
    list: (now) => {
      removeExpired(now);
      return [...failingUntil.keys()];
    },
  };
};
