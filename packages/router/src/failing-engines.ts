import { peerFailureCooldownMs } from '@hemlocksill/routing/server-health.js';

/**
 * Time since the last response of another server after which this VM may be cut off itself, so that it tells
 * nobody that a server can't be reached.
 */
const maxResponseAgeMs = 1_000;

/** Backend servers that failed at this VM, which the other VMs are told. */
export interface FailingEngines {
  /** Records that a server responded to this VM. */
  readonly recordResponse: (engine: string, now: number) => void;
  /** Records that a server accepted no connection; returns whether the other VMs have to be told. */
  readonly recordUnreachable: (engine: string, now: number) => boolean;
  /** Records a failure; returns whether the other VMs have to be told. */
  readonly record: (engine: string, now: number) => boolean;
  readonly list: (now: number) => readonly string[];
}

/**
 * Creates a record without failures.
 *
 * Load pattern: hundreds of VMs send a stream every few seconds each. If each of them had to find
 * out by itself that an engine loses its results or accepts no connection, the engine would recover before
 * they know.
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
  /** The server that responded last, and the time. */
  let lastResponse: { readonly engine: string; readonly at: number } | undefined;
  const record = (engine: string, now: number): boolean => {
    removeExpired(now);
    const isNew = !failingUntil.has(engine);
    failingUntil.set(engine, now + peerFailureCooldownMs);
    return isNew;
  };
  return {
    recordResponse: (engine, now) => {
      lastResponse = { engine, at: now };
    },
    recordUnreachable: (engine, now) => {
      const hasHeardOther =
        lastResponse !== undefined &&
        lastResponse.engine !== engine &&
        now - lastResponse.at <= maxResponseAgeMs;
      return hasHeardOther && record(engine, now);
    },
    record,
    list: (now) => {
      removeExpired(now);
      return [...failingUntil.keys()];
    },
  };
};
