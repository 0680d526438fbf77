import { makeGatheredMemory, type GatheredMemory } from './gathered-memory.js';

/** Bounds on bytes of responses that callers have not read; 0 means no bound. */
export interface CallerMemoryLimits {
  readonly callerBytes: number;
  readonly allCallersBytes: number;
  /** Time without progress after which a caller is disconnected. */
  readonly stallMs: number;
}

/** Share of the process's memory for all callers together, and its limits. */
const allCallersShare = 1 / 8;
const minAllCallersBytes = 4 * 1_024 * 1_024;
const maxAllCallersBytes = 32 * 1_024 * 1_024;

/** Share of that for one caller: 32 callers that don't read leave the others without room. */
const callerShare = 1 / 32;

/**
 * Time without progress after which a caller is disconnected while all callers together are over their
 * bound and it holds more than its share.
 */
const pressedStallMs = 1_000;

/**
 * Returns the part of the process's memory that callers may hold in one direction, in bytes.
 *
 * @example
 * deriveAllCallersBytes(2 ** 27); // 16777216
 */
export const deriveAllCallersBytes = (processBytes: number): number =>
  Math.min(
    maxAllCallersBytes,
    Math.max(minAllCallersBytes, Math.floor(processBytes * allCallersShare)),
  );

/**
 * Completes the limits from the memory that the process may use.
 *
 * @example
 * deriveMemoryLimits({ callerBytes: undefined, allCallersBytes: undefined, callerStallMs: 15_000 }, 2 ** 27);
 */
export const deriveMemoryLimits = (
  settings: {
    readonly callerBytes: number | undefined;
    readonly allCallersBytes: number | undefined;
    readonly callerStallMs: number;
  },
  processBytes: number,
): CallerMemoryLimits => {
  const derived = deriveAllCallersBytes(processBytes);
  const allCallersBytes = settings.allCallersBytes ?? derived;
  const callerBytes =
    settings.callerBytes ?? Math.floor((allCallersBytes || derived) * callerShare);
  return { callerBytes, allCallersBytes, stallMs: settings.callerStallMs };
};

/** The bytes of one response. */
export interface CallerAccount {
  /** Records the bytes written so far and those among them that the caller has not read. */
  readonly update: (written: number, unread: number, now: number) => void;
  /** Whether the response must be read no faster than its caller reads it. */
  readonly isFull: () => boolean;
  /** Whether the caller has made no progress for too long. */
  readonly hasStalled: (now: number) => boolean;
  readonly close: () => void;
}

/** The bytes of all responses. */
export interface CallerMemory {
  readonly open: () => CallerAccount;
  /** Those that are gathered whole before they are sent. */
  readonly gathered: GatheredMemory;
  readonly getUnreadBytes: () => number;
}

/**
 * Makes the account of bytes that callers have not read. If all callers together are over their bound, only
 * those that hold more than an equal share are affected; callers that read hold next to nothing.
 *
 * @example
 * makeCallerMemory({ callerBytes: 65_536, allCallersBytes: 1_048_576, stallMs: 15_000 }).open();
 */
export const makeCallerMemory = (limits: CallerMemoryLimits): CallerMemory => {
  let allUnread = 0;
  /** Number of callers with unread bytes. */
  let holders = 0;
  const gathered = makeGatheredMemory({
    limitBytes: limits.allCallersBytes,
    getUnreadBytes: () => allUnread,
  });

  const isOver = (bytes: number): boolean =>
    limits.allCallersBytes > 0 && bytes > limits.allCallersBytes;

  const isOverShare = (unread: number): boolean =>
    isOver(allUnread) && unread >= limits.allCallersBytes / holders;

  const count = (before: number, after: number): void => {
    allUnread += after - before;
    holders += Number(after > 0) - Number(before > 0);
  };

  return {
    getUnreadBytes: () => allUnread,
    gathered,
    open: () => {
      let unreadBytes = 0;
      let readBytes = 0;
      let progressAt = 0;
      return {
        update: (written, unread, now) => {
          // A caller that had nothing to read has not stalled.
          if (unreadBytes === 0 || written - unread > readBytes) progressAt = now;
          readBytes = written - unread;
          count(unreadBytes, unread);
          unreadBytes = unread;
        },
        isFull: () =>
          (limits.callerBytes > 0 && unreadBytes > limits.callerBytes) || isOverShare(unreadBytes),
        hasStalled: (now) => {
          if (unreadBytes === 0 || limits.stallMs === 0) return false;
          const stallMs = isOverShare(unreadBytes)
            ? Math.min(pressedStallMs, limits.stallMs)
            : limits.stallMs;
          return now - progressAt >= stallMs;
        },
        close: () => {
          count(unreadBytes, 0);
          unreadBytes = 0;
        },
      };
    },
  };
};
