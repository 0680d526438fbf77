/** Time for which a VM through which no connection could be opened is left out. */
const avoidMs = 1_000;

/** The choice of the VM through which a connection to a server is opened. */
export interface RelayChoice {
  /** Returns the address of a VM; undefined if there is none to try. */
  readonly choose: (now: number) => string | undefined;
  /** Records that no connection could be opened through a VM, for a reason of its own. */
  readonly recordFailed: (relay: string, now: number) => void;
}

/**
 * Makes the choice among the VMs that `listRelays` returns, at random.
 *
 * @example
 * makeRelayChoice(() => ['10.1.0.26:8229'], Math.random).choose(now); // '10.1.0.26:8229'
 */
export const makeRelayChoice = (
  listRelays: () => readonly string[],
  random: () => number,
): RelayChoice => {
  const avoidedUntil = new Map<string, number>();
  return {
    choose: (now) => {
      avoidedUntil.forEach((until, relay) => {
        if (until <= now) avoidedUntil.delete(relay);
      });
      const relays = listRelays().filter((relay) => !avoidedUntil.has(relay));
      return relays[Math.floor(random() * relays.length)];
    },
    recordFailed: (relay, now) => {
      avoidedUntil.set(relay, now + avoidMs);
    },
  };
};
