import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { makeRequestMemory } from '@hemlocksill/routing/request-memory.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** What a request costs besides its head and body: objects of the HTTP server and of the router. */
const requestBytes = 8 * 1_024;

/** Number of requests and pieces of bodies in one read after which a connection waits for its turn. */
const maxPiecesPerRead = 128;

/** Number of requests that waited for their turn and are handled in it. */
const requestsPerTurn = 64;

/** Number of open requests on a connection from which on it is not read, and below which it is read again. */
const maxOpenRequests = 16;
const resumeOpenRequests = 8;

/** A request on a connection, until its response has ended. */
export interface CallerRequest {
  /** Handles the request, later if its connection has to wait for its turn. */
  readonly run: (handle: () => void) => void;
  /** Records how many bytes are held for the body. */
  readonly recordBody: (heldBytes: number) => void;
  /** Registers what is done in place of closing the connection if there is no room for the body. */
  readonly onNoRoom: (refuse: () => void) => void;
}

/** The connections of callers, and what their requests make the VM hold. */
export interface CallerConnections {
  readonly add: (socket: Socket) => void;
  /** Adds a request; undefined if its connection has been closed. */
  readonly addRequest: (req: IncomingMessage, res: ServerResponse) => CallerRequest | undefined;
}

/** Dependencies of the connections. */
export interface CallerConnectionsDeps {
  /** Bound on what all requests hold together, in bytes; 0 for none. */
  readonly getMaxRequestBytes: () => number;
  readonly log: LogRouterEvent;
  readonly metrics: Pick<RouterMetrics, 'callerLimits' | 'requestBytes'>;
  readonly now: () => number;
}

interface Connection {
  readonly socket: Socket;
  openRequests: number;
  /** Requests whose bodies have not ended. */
  arrivingRequests: number;
  /** Bytes of heads and bodies. */
  heldBytes: number;
  /** Refuses the request whose body arrives. */
  refuse: (() => void) | undefined;
  /** Whether it had to give way: it is closed, or will be. */
  isGivenUp: boolean;
  /** Bytes received up to the latest read, and the requests and pieces in it. */
  readBytes: number;
  piecesInRead: number;
  /** Whether it is not read until others had their turn. */
  isWaiting: boolean;
  /** Handles the requests that were read, but wait, too. */
  readonly deferred: (() => void)[];
  /** Whether it is not read because of the requests that were sent ahead. */
  isAhead: boolean;
}

const countHeadBytes = ({ rawHeaders, url }: IncomingMessage): number =>
  rawHeaders.reduce((sum, text) => sum + text.length, (url ?? '').length);

/**
 * Makes the registry of callers' connections. It bounds what their requests hold together, how far requests are
 * read ahead of their turn, and how much is read from one connection before others are.
 *
 * @example
 * const connections = makeCallerConnections(deps);
 * server.on('connection', connections.add);
 */
export const makeCallerConnections = (deps: CallerConnectionsDeps): CallerConnections => {
  const { log, metrics, now } = deps;
  const memory = makeRequestMemory<Connection>(deps.getMaxRequestBytes);
  const connections = new Map<Socket, Connection>();

  /** Connections that wait to be read, in order. */
  const waiting = new Set<Connection>();

  const isPaused = ({ isWaiting, isAhead }: Connection): boolean => isWaiting || isAhead;

  const resume = (connection: Connection): void => {
    if (!isPaused(connection)) connection.socket.resume();
  };

  /**
   * Lets one connection go on in each turn of the event loop. A read of 64 KB can hold thousands of requests or
   * pieces; with those of a whole crowd in one turn, nobody else is served in time and leases lapse.
   */
  const scheduleTurn = (): void => {
    setImmediate(() => {
      const [next] = waiting;
      if (!next) return;
      waiting.delete(next);
      next.deferred.splice(0, requestsPerTurn).forEach((handle) => handle());
      if (next.deferred.length > 0) waiting.add(next);
      else {
        next.isWaiting = false;
        resume(next);
      }
      if (waiting.size > 0) scheduleTurn();
    });
  };

  /** Connections that are not read for the rest of this turn of the event loop. */
  const held = new Set<Connection>();
  let areOthersHeld = false;

  const releaseOthers = (): void => {
    areOthersHeld = false;
    const released = [...held];
    held.clear();
    released.forEach(resume);
  };

  /** Leaves the reads of all others to the next turn; the memory of this one is released in between. */
  const holdOthers = (connection: Connection): void => {
    if (areOthersHeld) return;
    areOthersHeld = true;
    connections.forEach((other) => {
      if (other === connection || other.socket.isPaused()) return;
      held.add(other);
      other.socket.pause();
    });
    setImmediate(releaseOthers);
  };

  const recordPiece = (connection: Connection): void => {
    const { bytesRead } = connection.socket;
    if (connection.readBytes !== bytesRead) {
      connection.readBytes = bytesRead;
      connection.piecesInRead = 0;
    }
    connection.piecesInRead += 1;
    if (connection.isWaiting || connection.piecesInRead <= maxPiecesPerRead) return;
    connection.isWaiting = true;
    connection.socket.pause();
    holdOthers(connection);
    if (waiting.size === 0) scheduleTurn();
    waiting.add(connection);
  };

  const updateAhead = (connection: Connection): void => {
    const { openRequests, isAhead, socket } = connection;
    if (!isAhead && openRequests >= maxOpenRequests) {
      connection.isAhead = true;
      socket.pause();
    } else if (isAhead && openRequests < resumeOpenRequests) {
      connection.isAhead = false;
      resume(connection);
    }
  };

  const giveWay = (connection: Connection): void => {
    const { socket, openRequests, heldBytes, refuse } = connection;
    log(2321, {
      limit: 'request-memory',
      heldBytes,
      allBytes: memory.getBytes(),
      openRequests,
      address: socket.remoteAddress,
      port: socket.remotePort,
    });
    metrics.callerLimits.inc({ limit: 'request-memory' });
    connection.isGivenUp = true;
    memory.remove(connection);
    // Behind other responses a refusal would have to wait for its turn.
    if (refuse && openRequests === 1) refuse();
    else socket.resetAndDestroy();
  };

  const makeRoom = (): void => {
    for (let victim = memory.chooseVictim(now()); victim; victim = memory.chooseVictim(now()))
      giveWay(victim);
  };

  const update = (connection: Connection): void => {
    if (connection.isGivenUp) return;
    const { heldBytes, openRequests, arrivingRequests } = connection;
    const bytesAhead = Math.max(0, openRequests - 1) * requestBytes;
    const canGiveWay = arrivingRequests > 0 || openRequests > 1;
    memory.update(connection, { bytes: heldBytes + bytesAhead, canGiveWay }, now());
    makeRoom();
    metrics.requestBytes.set(memory.getBytes());
  };

  return {
    add: (socket) => {
      const connection: Connection = {
        socket,
        openRequests: 0,
        arrivingRequests: 0,
        heldBytes: 0,
        refuse: undefined,
        isGivenUp: false,
        readBytes: 0,
        piecesInRead: 0,
        isWaiting: false,
        deferred: [],
        isAhead: false,
      };
      connections.set(socket, connection);
      // The HTTP server resumes a connection whenever the body of a request is read.
      socket.on('resume', () => {
        if (areOthersHeld) held.add(connection);
        if (areOthersHeld || isPaused(connection)) socket.pause();
      });
      socket.on('close', () => {
        connections.delete(socket);
        waiting.delete(connection);
        held.delete(connection);
        connection.deferred.length = 0;
        memory.remove(connection);
      });
    },
    addRequest: (req, res) => {
      const { socket } = req;
      const connection = connections.get(socket);
      if (!connection || connection.isGivenUp || socket.destroyed) return undefined;
      let requestHeldBytes = 0;
      const hold = (bytes: number): void => {
        if (bytes === requestHeldBytes) return;
        connection.heldBytes += bytes - requestHeldBytes;
        requestHeldBytes = bytes;
        update(connection);
      };
      const headBytes = countHeadBytes(req);
      connection.openRequests += 1;
      connection.arrivingRequests += 1;
      req.once('end', () => {
        connection.arrivingRequests -= 1;
        connection.refuse = undefined;
        update(connection);
      });
      res.once('close', () => {
        connection.openRequests -= 1;
        hold(0);
        updateAhead(connection);
      });
      hold(headBytes);
      if (connection.isGivenUp) return undefined;
      recordPiece(connection);
      updateAhead(connection);
      return {
        run: (handle) => {
          const handleOpen = (): void => {
            if (socket.destroyed) return;
            req.on('data', () => recordPiece(connection));
            handle();
          };
          if (connection.isWaiting) connection.deferred.push(handleOpen);
          else handleOpen();
        },
        recordBody: (heldBytes) => hold(headBytes + heldBytes),
        onNoRoom: (refuse) => {
          connection.refuse = refuse;
        },
      };
    },
  };
};
