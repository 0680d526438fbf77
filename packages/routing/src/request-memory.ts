import { deriveAllCallersBytes } from './caller-memory.js';

/** Time without progress after which a caller goes before those whose requests still arrive. */
const stalledAfterMs = 1_000;

/** Multiple of the bound above which a caller may have to give way though it holds less than an equal share. */
const hardBoundFactor = 2;

/** Bytes of a request besides its body, and of the blocks that a body in chunks does not fill. */
const requestOverheadBytes = 256 * 1_024;

/**
 * Returns the bound on what the requests of all callers hold, which always leaves room for one with the largest
 * body allowed; 0 for no bound.
 *
 * @example
 * deriveRequestBytes(undefined, 2 ** 27, 4_194_304); // 16777216
 */
export const deriveRequestBytes = (
  setting: number | undefined,
  processBytes: number,
  maxBodyBytes: number,
): number =>
  setting === 0
    ? 0
    : Math.max(setting ?? deriveAllCallersBytes(processBytes), maxBodyBytes + requestOverheadBytes);

/** What a caller makes the VM hold. */
export interface HeldRequests {
  /** Bytes of its requests. */
  readonly bytes: number;
  /** Whether they can be given up: none of them runs, or more were sent ahead of their turn. */
  readonly canGiveWay: boolean;
}

/** The requests that all callers make the VM hold. */
export interface RequestMemory<T> {
  readonly update: (owner: T, held: HeldRequests, now: number) => void;
  readonly remove: (owner: T) => void;
  readonly getBytes: () => number;
  /** Returns who has to give way; undefined if there is room, or nobody can. `limitBytes` replaces the bound. */
  readonly chooseVictim: (now: number, limitBytes?: number) => T | undefined;
}

interface Holder {
  held: HeldRequests;
  /** Time at which it last held more than before. */
  grewAt: number;
}

/**
 * Makes the account of what callers' requests hold. Over the bound, those give way that hold at least an equal
 * share, first who has made no progress and then who holds most, so that ordinary requests are not touched by
 * a crowd. `getLimitBytes` returns 0 for no bound.
 *
 * @example
 * const memory = makeRequestMemory<string>(() => 1_048_576);
 * memory.update('caller', { bytes: 2_097_152, canGiveWay: true }, 0);
 * memory.chooseVictim(0); // 'caller'
 */
export const makeRequestMemory = <T>(getLimitBytes: () => number): RequestMemory<T> => {
  const holders = new Map<T, Holder>();
  let allBytes = 0;

  const isBefore = (a: Holder, b: Holder | undefined, now: number): boolean => {
    if (!b) return true;
    const isStalled = now - a.grewAt >= stalledAfterMs;
    const isOtherStalled = now - b.grewAt >= stalledAfterMs;
    return isStalled === isOtherStalled ? a.held.bytes > b.held.bytes : isStalled;
  };

  return {
    getBytes: () => allBytes,
    update: (owner, held, now) => {
      const holder = holders.get(owner) ?? { held: { bytes: 0, canGiveWay: false }, grewAt: now };
      allBytes += held.bytes - holder.held.bytes;
      if (held.bytes > holder.held.bytes) holder.grewAt = now;
      holder.held = held;
      if (held.bytes > 0) holders.set(owner, holder);
      else holders.delete(owner);
    },
    remove: (owner) => {
      allBytes -= holders.get(owner)?.held.bytes ?? 0;
      holders.delete(owner);
    },
    chooseVictim: (now, limitBytes = getLimitBytes()) => {
      if (limitBytes === 0 || allBytes <= limitBytes) return undefined;
      const minBytes = allBytes > limitBytes * hardBoundFactor ? 0 : limitBytes / holders.size;
      let victim: { readonly owner: T; readonly holder: Holder } | undefined;
      for (const [owner, holder] of holders) {
        const { bytes, canGiveWay } = holder.held;
        if (canGiveWay && bytes >= minBytes && isBefore(holder, victim?.holder, now))
          victim = { owner, holder };
      }
      return victim?.owner;
    },
  };
};
