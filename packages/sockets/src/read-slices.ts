import type { Socket } from 'node:net';

/** Size of the slices of a new connection, and their limits. */
const initialSliceBytes = 4 * 1_024;
const minSliceBytes = 512;
const maxSliceBytes = 64 * 1_024;

/** Time that the handling of a slice may take; beyond it, the slices of the connection become smaller. */
const maxSliceMs = 1;

/** Time below which the slices of a connection become larger. */
const lightSliceMs = 0.25;

/** Time in a turn of the event loop after which what is left waits for the next one. */
const maxTurnMs = 4;

/** Time of a slice that counts at most: a process that stands still meanwhile takes longer, too. */
const maxCountedMs = 10;

/** Time spent on a connection from which on it is heavy, and the time in which what was spent counts half. */
const heavyMs = 20;
const spentHalfLifeMs = 1_000;

/** Share of the process's time that all heavy connections get together. */
const heavyShare = 0.25;

/** The handling of a slice. */
export interface SliceRecord {
  readonly bytes: number;
  /** Time that it took, in milliseconds. */
  readonly ms: number;
}

/** The reads of one connection. */
export interface SlicedReads {
  /** Number of bytes that were received, but wait to be handled. */
  readonly getWaitingBytes: () => number;
  /** Whether bytes, or the end of the data, wait to be handled. */
  readonly isWaiting: () => boolean;
  /** Time since the handling of the present slice began, in milliseconds; 0 if there is none. */
  readonly getSliceMs: () => number;
}

/** The reads of all connections on which answers arrive. */
export interface ReadSlices {
  /** Takes over the reads of a connection; to be called before it is read, as the last one that changes `push`. */
  readonly add: (socket: Socket, onSlice?: (record: SliceRecord) => void) => SlicedReads;
  /** Number of bytes of all connections that wait to be handled. */
  readonly getWaitingBytes: () => number;
  /** Whether a connection waits that has not taken much time. */
  readonly hasLightWaiting: () => boolean;
  /** Lets the connections that took much time rest until `release`. */
  readonly hold: () => void;
  readonly release: () => void;
}

interface Reader {
  readonly socket: Socket;
  readonly push: (chunk: Buffer | null) => boolean;
  readonly onSlice: (record: SliceRecord) => void;
  /** What waits, in order; null is the end of the data. */
  readonly pieces: (Buffer | null)[];
  waitingBytes: number;
  sliceBytes: number;
  /** Time spent on reads of several slices, less with its age, and when that was counted. */
  spentMs: number;
  spentAt: number;
  sliceStartedAt: number | undefined;
}

/** Dependencies of the slices. */
export interface ReadSliceDeps {
  /** Milliseconds on a monotonic clock. */
  readonly now: () => number;
}

/**
 * Makes the reads of a process. A read of 64 KB can hold thousands of chunks, each with a cost of its own, so that a
 * few servers that send without an end keep the event loop from everything else. What was read is handled in slices
 * whose size follows the time that they take. A read of one slice is handled at once. Of what waits, connections come first
 * that have taken little time; those that took much get only a share of the process's time together. While something waits, the connection is not read, which holds its server back.
 *
 * @example
 * const slices = makeReadSlices({ now: () => performance.now() });
 * slices.add(socket);
 */
export const makeReadSlices = ({ now }: ReadSliceDeps): ReadSlices => {
  /** Those whose bytes wait. */
  const waiting = new Set<Reader>();
  let allWaitingBytes = 0;
  let turnMs = 0;
  let isTurnScheduled = false;
  /** Time before which heavy connections rest. */
  let heavyFrom = 0;
  let restTimer: NodeJS.Timeout | undefined;
  let isHeld = false;

  /** Returns the time spent on a connection as it counts now. */
  const getSpentMs = ({ spentMs, spentAt }: Reader): number =>
    spentMs * 2 ** ((spentAt - now()) / spentHalfLifeMs);

  /** Whether connections on which much time was spent have to rest. */
  const areHeavyResting = (): boolean => isHeld || heavyFrom > now();

  const getSliceMs = ({ sliceStartedAt }: Reader): number =>
    sliceStartedAt === undefined ? 0 : now() - sliceStartedAt;

  const startTurn = (): void => {
    isTurnScheduled = false;
    turnMs = 0;
    runNext();
  };

  const scheduleTurn = (): void => {
    if (isTurnScheduled) return;
    isTurnScheduled = true;
    setImmediate(startTurn);
  };

  const countWaiting = (reader: Reader, bytes: number): void => {
    reader.waitingBytes += bytes;
    allWaitingBytes += bytes;
  };

  const countSpent = (reader: Reader, ms: number): void => {
    reader.spentMs = getSpentMs(reader) + ms;
    reader.spentAt = now();
    if (reader.spentMs > heavyMs) heavyFrom = Math.max(heavyFrom, now() - ms) + ms / heavyShare;
  };

  const record = (reader: Reader, bytes: number, isPart: boolean): void => {
    const handlingMs = getSliceMs(reader);
    reader.sliceStartedAt = undefined;
    const ms = Math.min(handlingMs, maxCountedMs);
    turnMs += ms;
    if (ms > maxSliceMs) reader.sliceBytes = Math.max(minSliceBytes, reader.sliceBytes / 2);
    else if (ms < lightSliceMs && bytes * 2 > reader.sliceBytes)
      reader.sliceBytes = Math.min(maxSliceBytes, reader.sliceBytes * 2);
    if (isPart) countSpent(reader, ms);
    // The time of a turn counts from zero in the next one.
    if (turnMs > lightSliceMs) scheduleTurn();
    reader.onSlice({ bytes, ms: handlingMs });
  };

  /** Hands a slice on, and calls back once it was handled; `isPart` says that its read has others. */
  const deliver = (
    reader: Reader,
    slice: Buffer,
    isPart: boolean,
    onHandled = (): void => {},
  ): boolean => {
    reader.sliceStartedAt = now();
    const hasRoom = reader.push(slice);
    // The stream tells its reader in the next tick, which may hand joined pieces on in the one after it.
    process.nextTick(process.nextTick, () => {
      record(reader, slice.length, isPart);
      onHandled();
    });
    return hasRoom;
  };

  const deliverNext = (reader: Reader): void => {
    const [piece] = reader.pieces;
    if (!piece) {
      reader.pieces.shift();
      if (piece === null) reader.push(null);
      runNext();
      return;
    }
    const slice = piece.subarray(0, reader.sliceBytes);
    if (slice.length === piece.length) reader.pieces.shift();
    else reader.pieces[0] = piece.subarray(slice.length);
    countWaiting(reader, -slice.length);
    deliver(reader, slice, true, () => {
      if (reader.pieces.length > 0) waiting.add(reader);
      runNext();
    });
  };

  /** Returns the connection on which the least time was spent of those that needn't rest. */
  const chooseNext = (): Reader | undefined => {
    let next: Reader | undefined;
    let leastMs = Number.POSITIVE_INFINITY;
    const areResting = areHeavyResting();
    waiting.forEach((reader) => {
      const spentMs = getSpentMs(reader);
      if (spentMs >= leastMs || (areResting && spentMs > heavyMs)) return;
      next = reader;
      leastMs = spentMs;
    });
    return next;
  };

  /** Handles the next slice of this turn. */
  const runNext = (): void => {
    if (waiting.size === 0) return;
    if (turnMs >= maxTurnMs) {
      scheduleTurn();
      return;
    }
    const next = chooseNext();
    if (next) {
      waiting.delete(next);
      deliverNext(next);
      return;
    }
    // The release of those that are held schedules a turn.
    if (isHeld) return;
    restTimer ??= setTimeout(
      () => {
        restTimer = undefined;
        scheduleTurn();
      },
      Math.ceil(heavyFrom - now()),
    ).unref();
  };

  const wait = (reader: Reader, piece: Buffer | null): false => {
    reader.pieces.push(piece);
    countWaiting(reader, piece?.length ?? 0);
    waiting.add(reader);
    scheduleTurn();
    return false;
  };

  return {
    getWaitingBytes: () => allWaitingBytes,
    hasLightWaiting: () => [...waiting].some((reader) => getSpentMs(reader) <= heavyMs),
    hold: () => {
      isHeld = true;
    },
    release: () => {
      isHeld = false;
      scheduleTurn();
    },
    add: (socket, onSlice = () => {}) => {
      const push = socket.push.bind(socket);
      const { _read: read } = socket;
      const reader: Reader = {
        socket,
        push,
        onSlice,
        pieces: [],
        waitingBytes: 0,
        sliceBytes: initialSliceBytes,
        spentMs: 0,
        spentAt: now(),
        sliceStartedAt: undefined,
      };
      Object.assign(socket, {
        push: (piece: Buffer | null): boolean => {
          if (reader.pieces.length > 0) return wait(reader, piece);
          if (piece === null) return push(null);
          if (piece.length <= reader.sliceBytes) return deliver(reader, piece, false);
          // Whoever waits for the answer learns at once that it goes on.
          const firstBytes = turnMs < maxTurnMs ? reader.sliceBytes : minSliceBytes;
          wait(reader, piece.subarray(firstBytes));
          deliver(reader, piece.subarray(0, firstBytes), true);
          return false;
        },
        _read: (size: number): void => {
          // A stream that is read before the rest was handled would let the rest grow.
          if (reader.pieces.length === 0) read.call(socket, size);
        },
      });
      socket.once('close', () => {
        waiting.delete(reader);
        countWaiting(reader, -reader.waitingBytes);
        reader.pieces.length = 0;
      });
      return {
        getWaitingBytes: () => reader.waitingBytes,
        isWaiting: () => reader.pieces.length > 0,
        getSliceMs: () => getSliceMs(reader),
      };
    },
  };
};
