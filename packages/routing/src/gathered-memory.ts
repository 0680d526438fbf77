/**
 * Time that the largest answer has to end while others wait for memory. A sound server sends what can be passed on in
 * less; an answer without an end would make the others wait until their deadlines.
 */
const maxLeadMs = 1_000;

/** Multiple of the bound that all but the largest answer may hold together. */
const maxExcess = 2;

/** Part of the bound that answers may hold while the process is short of memory. */
const spareShare = 1 / 4;

/** The bytes of a response that is gathered whole before it is sent. */
export interface GatheredBytes {
  /** Records how many bytes are held for it. */
  readonly update: (heldBytes: number) => void;
  /** Whether no more of the response must be read for now. */
  readonly isFull: () => boolean;
  readonly close: () => void;
}

/** The bytes of all responses that are gathered. */
export interface GatheredMemory {
  /** `giveWay` breaks the response off. */
  readonly open: (giveWay: () => void) => GatheredBytes;
  readonly getBytes: () => number;
  /** Makes the response give way for which others have waited too long; to be called while some wait. */
  readonly check: (now: number) => void;
  /** Lets only small responses go on until `release`. */
  readonly hold: () => void;
  readonly release: () => void;
  /** Makes the largest responses give way until all hold half of what they do, or a small part of the bound. */
  readonly halve: () => void;
}

/** Dependencies of the account. */
export interface GatheredMemoryDeps {
  /** Bound on the bytes that responses hold, gathered or unread by their callers; 0 for none. */
  readonly limitBytes: number;
  /** Bytes of responses that callers have not read. */
  readonly getUnreadBytes: () => number;
}

interface Response {
  heldBytes: number;
  readonly giveWay: () => void;
}

/**
 * Makes the account of responses that are gathered whole. Over the bound, those that hold less than an equal share go
 * on, since they belong to ordinary callers, and the largest one, since all could else wait for each other. It gives
 * way if it does not end soon.
 *
 * @example
 * const bytes = makeGatheredMemory({ limitBytes: 2 ** 24, getUnreadBytes: () => 0 }).open(cancel);
 * bytes.update(65_536);
 */
export const makeGatheredMemory = (deps: GatheredMemoryDeps): GatheredMemory => {
  const { limitBytes, getUnreadBytes } = deps;
  const responses = new Set<Response>();
  let allBytes = 0;
  let isHeld = false;
  /** The response that goes on over the bound, and when it gives way, once that is set. */
  let leader: Response | undefined;
  let leadEndsAt: number | undefined;

  const isOver = (bytes: number): boolean => limitBytes > 0 && bytes > limitBytes;

  const setLeader = (response: Response | undefined): void => {
    leader = response;
    leadEndsAt = undefined;
  };

  const findLargest = (excluded?: Response): Response | undefined => {
    let largest: Response | undefined;
    responses.forEach((response) => {
      if (response !== excluded && response.heldBytes > (largest?.heldBytes ?? 0))
        largest = response;
    });
    return largest;
  };

  /** Returns the response that goes on over the bound; undefined if all do, or none. */
  const getLeader = (): Response | undefined => {
    const unreadBytes = getUnreadBytes();
    if (isHeld || isOver(unreadBytes) || !isOver(unreadBytes + allBytes)) setLeader(undefined);
    else if (!leader) setLeader(findLargest());
    return leader;
  };

  const remove = (response: Response): void => {
    if (!responses.delete(response)) return;
    allBytes -= response.heldBytes;
    if (response === leader) setLeader(undefined);
  };

  const makeGiveWay = (response: Response): void => {
    remove(response);
    response.giveWay();
  };

  /** Bounds the sum of many small responses that began one after another, each within an equal share of its time. */
  const enforceLimit = (): void => {
    const current = getLeader();
    while (current && isOver((allBytes - current.heldBytes) / maxExcess)) {
      const largest = findLargest(current);
      if (!largest) return;
      makeGiveWay(largest);
    }
  };

  return {
    open: (giveWay) => {
      const response: Response = { heldBytes: 0, giveWay };
      responses.add(response);
      return {
        update: (heldBytes) => {
          if (!responses.has(response)) return;
          allBytes += heldBytes - response.heldBytes;
          response.heldBytes = heldBytes;
          enforceLimit();
        },
        isFull: () => {
          if (response.heldBytes < limitBytes / responses.size) return false;
          if (isHeld || isOver(getUnreadBytes())) return true;
          const current = getLeader();
          return current !== undefined && current !== response;
        },
        close: () => remove(response),
      };
    },
    getBytes: () => allBytes,
    check: (now) => {
      const current = getLeader();
      if (!current) return;
      leadEndsAt ??= now + maxLeadMs;
      if (now >= leadEndsAt) makeGiveWay(current);
    },
    hold: () => {
      isHeld = true;
    },
    release: () => {
      isHeld = false;
    },
    halve: () => {
      const maxBytes = Math.max(allBytes / 2, limitBytes * spareShare);
      while (allBytes > maxBytes) {
        const largest = findLargest();
        if (!largest) return;
        makeGiveWay(largest);
      }
    },
  };
};
