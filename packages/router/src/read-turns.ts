import type { Socket } from 'node:net';

/** Number of requests and pieces of bodies in one read after which a connection waits for its turn. */
const maxPiecesPerRead = 128;

/** Number of requests that waited for their turn and are handled in it. */
const requestsPerTurn = 64;

/** What the turns need of a connection. */
export type TurnSocket = Pick<
  Socket,
  'bytesRead' | 'destroyed' | 'isPaused' | 'pause' | 'resume' | 'on' | 'emit'
>;

/** The reads of one connection. */
export interface ReadTurns {
  /** Records a request, or a piece of a body, that was read; a large head counts as several. */
  readonly recordPiece: (count?: number) => void;
  /** Handles a request, later if the connection has to wait for its turn. */
  readonly run: (handle: () => void) => void;
  /** Sets whether the connection is not read because of the requests that were sent ahead. */
  readonly setAhead: (isAhead: boolean) => void;
  /** Reads nothing more on the connection. */
  readonly stop: () => void;
  /** Returns how often the connection was not read because of others or of requests sent ahead. */
  readonly countHolds: () => number;
}

/** The reads of all connections. */
export interface AllReadTurns {
  readonly add: (socket: TurnSocket) => ReadTurns;
  /** Reads no connection until `release`. */
  readonly hold: () => void;
  readonly release: () => void;
}

interface Reader {
  readonly socket: TurnSocket;
  /** Bytes received up to the latest read, and the requests and pieces in it. */
  readBytes: number;
  piecesInRead: number;
  isWaiting: boolean;
  isAhead: boolean;
  isStopped: boolean;
  /** Place among all connections in the order of their opening, from 1. */
  readonly number: number;
  /** Whether a read had few pieces, and the place of the latest read that had many, from 1. */
  hasLightRead: boolean;
  latestHeavyRead: number;
  holds: number;
  /** Handles the requests that were read, but wait. */
  deferred: (() => void)[];
}

/**
 * Makes the turns in which connections are read. A read of 64 KB can hold thousands of requests or pieces; with
 * those of a whole crowd in one turn of the event loop, nobody else is served in time, leases lapse, and what the
 * connections hold adds up. After such a read a connection waits until others had their turn, and no other one is
 * read in the same turn of the event loop.
 *
 * @example
 * const turns = makeReadTurns();
 * server.on('connection', (socket) => turns.add(socket));
 */
export const makeReadTurns = (): AllReadTurns => {
  const readers = new Set<Reader>();
  /** Those that wait for their turn, in order. */
  const waiting = new Set<Reader>();
  /** Those that are not read for the rest of this turn of the event loop. */
  const held = new Set<Reader>();
  let areOthersHeld = false;
  let areAllHeld = false;
  let isEndScheduled = false;

  let connections = 0;
  let heavyReads = 0;

  /**
   * Compares who is read first: connections whose reads had few pieces, then new ones, the newest first, then those
   * that waited longest. A crowd would else keep a connection that came after it from being read.
   */
  const compareReaders = (a: Reader, b: Reader): number => {
    if (a.latestHeavyRead !== b.latestHeavyRead) return a.latestHeavyRead - b.latestHeavyRead;
    if (a.hasLightRead !== b.hasLightRead) return a.hasLightRead ? -1 : 1;
    return b.number - a.number;
  };

  const isPaused = ({ isWaiting, isAhead, isStopped }: Reader): boolean =>
    isWaiting || isAhead || isStopped;

  const resume = (reader: Reader): void => {
    if (!isPaused(reader)) reader.socket.resume();
  };

  const runTurn = (): void => {
    const [next] = waiting;
    if (!next) return;
    waiting.delete(next);
    next.deferred.splice(0, requestsPerTurn).forEach((handle) => handle());
    if (next.deferred.length > 0) waiting.add(next);
    else {
      next.isWaiting = false;
      resume(next);
    }
  };

  const releaseHeld = (): void => {
    if (areOthersHeld || areAllHeld) return;
    const released = [...held].sort(compareReaders);
    held.clear();
    released.forEach(resume);
  };

  /**
   * Ends a turn of the event loop. A connection that waits goes on only after one in which the others could be
   * read; it would else be read before them again.
   */
  const endTurn = (): void => {
    isEndScheduled = false;
    if (areOthersHeld) {
      areOthersHeld = false;
      releaseHeld();
    } else runTurn();
    if (waiting.size > 0) scheduleEnd();
  };

  const scheduleEnd = (): void => {
    if (isEndScheduled) return;
    isEndScheduled = true;
    setImmediate(endTurn);
  };

  const holdReader = (reader: Reader): void => {
    if (reader.socket.isPaused()) return;
    held.add(reader);
    reader.holds += 1;
    reader.socket.pause();
  };

  const holdOthers = (reader: Reader): void => {
    if (areOthersHeld) return;
    areOthersHeld = true;
    readers.forEach((other) => {
      if (other !== reader) holdReader(other);
    });
  };

  const recordPiece = (reader: Reader, count: number): void => {
    const { bytesRead } = reader.socket;
    if (reader.readBytes !== bytesRead) {
      if (reader.readBytes > 0 && !reader.isWaiting) reader.hasLightRead = true;
      reader.readBytes = bytesRead;
      reader.piecesInRead = 0;
    }
    reader.piecesInRead += count;
    if (reader.isWaiting || reader.piecesInRead <= maxPiecesPerRead) return;
    reader.isWaiting = true;
    heavyReads += 1;
    reader.latestHeavyRead = heavyReads;
    reader.socket.pause();
    holdOthers(reader);
    waiting.add(reader);
    scheduleEnd();
  };

  return {
    hold: () => {
      areAllHeld = true;
      readers.forEach(holdReader);
    },
    release: () => {
      areAllHeld = false;
      releaseHeld();
    },
    add: (socket) => {
      connections += 1;
      const reader: Reader = {
        socket,
        number: connections,
        hasLightRead: false,
        latestHeavyRead: 0,
        readBytes: 0,
        piecesInRead: 0,
        isWaiting: false,
        isAhead: false,
        isStopped: false,
        holds: 0,
        deferred: [],
      };
      readers.add(reader);
      // The HTTP server resumes a connection whenever the body of a request is read.
      socket.on('resume', () => {
        const isHeld = areOthersHeld || areAllHeld;
        if (!isHeld && !isPaused(reader)) return;
        if (isHeld) held.add(reader);
        // After a resume and a pause in one turn, the server's listener reads from a stream that counts as paused.
        if (socket.isPaused()) socket.emit('pause');
        else socket.pause();
      });
      socket.on('close', () => {
        [readers, waiting, held].forEach((set) => set.delete(reader));
        reader.deferred = [];
      });
      if (areAllHeld) holdReader(reader);
      return {
        recordPiece: (count = 1) => recordPiece(reader, count),
        run: (handle) => {
          if (reader.isWaiting) reader.deferred.push(handle);
          else handle();
        },
        countHolds: () => {
          // One that goes on counts again, so that the number differs from any before.
          if (isPaused(reader)) reader.holds += 1;
          return reader.holds;
        },
        stop: () => {
          if (reader.isStopped) return;
          reader.isStopped = true;
          socket.pause();
        },
        setAhead: (isAhead) => {
          if (isAhead === reader.isAhead) return;
          reader.isAhead = isAhead;
          reader.holds += 1;
          if (isAhead) socket.pause();
          else resume(reader);
        },
      };
    },
  };
};
