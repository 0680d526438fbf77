import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { makeRequestMemory } from '@hemlocksill/routing/request-memory.js';
import type { RunAfterReads } from '@hemlocksill/timers/run-after-reads.js';
import type { LogRouterEvent } from './events.js';
import { makeMemoryRelief } from './memory-relief.js';
import { makeReadTurns, type ReadTurns } from './read-turns.js';
import type { RouterMetrics } from './router-metrics.js';

/** Number of open requests on a connection from which on it is not read, and below which it is read again. */
const maxOpenRequests = 16;
const resumeOpenRequests = 8;

/** What a request costs besides its head and body: objects of the HTTP server and of the router. */
const requestBytes = 8 * 1_024;

/**
 * Multiple of the maximum number of connections above which the oldest one is closed at once. Below it, that waits
 * for reads: a request may have arrived on a connection that seems to have none.
 */
const maxExcess = 1.2;

/** Part of the bound on what requests hold that refused ones may hold besides while their callers read the refusal. */
const lingeringShare = 0.5;

/** Interval of the checks. */
export const connectionCheckPeriodMs = 1_000;

/** Time that a head has that is late because the VM did not read it, or stood still. */
const lateHeadMs = 1_000;

/** What is needed of a caller's connection. */
export type CallerSocket = Pick<
  Socket,
  | 'bytesRead'
  | 'bytesWritten'
  | 'writableLength'
  | 'destroyed'
  | 'remoteAddress'
  | 'remotePort'
  | 'isPaused'
  | 'pause'
  | 'resume'
  | 'on'
  | 'emit'
  | 'destroy'
  | 'resetAndDestroy'
>;

/** What is needed of a request and of its response. */
export type CallerMessage = Pick<IncomingMessage, 'rawHeaders' | 'url' | 'once' | 'on'> & {
  readonly socket: CallerSocket;
};
export type CallerResponse = Pick<ServerResponse, 'once'>;

/** A request on a connection, until its response has ended. */
export interface CallerRequest {
  /** Handles the request, later if its connection has to wait for its turn. */
  readonly run: (handle: () => void) => void;
  /** Records how many bytes are held for the body. */
  readonly recordBody: (heldBytes: number) => void;
  /** Reads nothing more on the connection, which has to be closed. */
  readonly stopReading: () => void;
  /** Registers what is done in place of closing the connection if there is no room for the body. */
  readonly onNoRoom: (refuse: () => void) => void;
  /** Registers what is done when the connection closes; the response of a request that waits for its turn has no event. */
  readonly onClosed: (callback: () => void) => void;
}

/** The connections of callers, and what their requests make the VM hold. */
export interface CallerConnections {
  readonly add: (socket: CallerSocket) => void;
  /** Adds a request; undefined if its connection had to give way. */
  readonly addRequest: (req: CallerMessage, res: CallerResponse) => CallerRequest | undefined;
  /** Counts what heads hold that have not ended, and looks whether the process is short of memory. */
  readonly checkMemory: () => void;
  /** Looks for callers that don't read. */
  readonly check: () => void;
  /** Calls back if the head of a request does not end, though the VM reads it. */
  readonly awaitHead: (socket: CallerSocket, onLate: () => void) => void;
  /** Number of open connections. */
  readonly count: () => number;
  /** Number of open requests. */
  readonly countRequests: () => number;
  /** Bytes that all requests hold. */
  readonly getRequestBytes: () => number;
}

/** Dependencies of the connections. */
export interface CallerConnectionsDeps {
  /** Bound on what all requests hold together, in bytes; 0 for none. */
  readonly getMaxRequestBytes: () => number;
  readonly maxConnections: number;
  /** Time without progress after which a caller that does not read is disconnected; 0 for never. */
  readonly stallMs: number;
  readonly log: LogRouterEvent;
  readonly metrics: Pick<
    RouterMetrics,
    'callerConnections' | 'callerLimits' | 'requestBytes' | 'stalledCallers'
  >;
  /** Whether the process is short of memory. */
  readonly isShortOfMemory: () => boolean;
  readonly collectGarbage: () => void;
  /** Reads no more of the answers of servers than small ones until `releaseAnswers`. */
  readonly holdAnswers: () => void;
  readonly releaseAnswers: () => void;
  /** Makes answers give way until they hold half of what they do. */
  readonly halveAnswers: () => void;
  readonly runAfterReads: RunAfterReads;
  readonly now: () => number;
}

interface Connection {
  readonly socket: CallerSocket;
  readonly turns: ReadTurns;
  requests: number;
  openRequests: number;
  /** Requests whose bodies have not ended. */
  arrivingRequests: number;
  /** Bytes of heads and bodies. */
  heldBytes: number;
  /** Bytes of the latest head. */
  headBytes: number;
  /** Bytes received when the connection became idle; more belong to an unfinished head. */
  idleReadBytes: number;
  /** Bytes that the operating system has taken of responses, and when it last took some or there were none. */
  takenBytes: number;
  takenAt: number;
  /** Refuses the request whose body arrives. */
  refuse: (() => void) | undefined;
  /** Called when the connection closes. */
  readonly closeCallbacks: Set<() => void>;
  /** Whether it had to give way: it is closed, or will be. */
  isGivenUp: boolean;
}

/**
 * What a field of a head costs besides its characters: two strings, their places in the list of fields and an entry
 * of the parsed headers, 75 to 125 bytes on Node.js 20, and as much again for the copy that is forwarded.
 */
const headerFieldBytes = 256;

/** Characters of the shortest field with its separators, in a head as the configuration limits it. */
const minFieldBytes = 5;

/**
 * Returns the number of fields that a head within a limit can have, and one more: the HTTP server drops the fields
 * behind that number, and a head with so many is over the limit.
 *
 * @example
 * countMaxFields(16_384); // 3277
 */
export const countMaxFields = (maxHeaderBytes: number): number =>
  Math.floor(maxHeaderBytes / minFieldBytes) + 1;

/** Fields of an ordinary head, and the number of further ones that cost as much as a request or a piece of a body. */
const ordinaryFields = 32;
const fieldsPerPiece = 4;

/** Counts a head as the pieces that it costs as much as. */
const countPieces = ({ rawHeaders }: CallerMessage): number =>
  1 + Math.max(0, Math.floor((rawHeaders.length / 2 - ordinaryFields) / fieldsPerPiece));

/** What a head that has not ended may take for each byte; nothing tells how many fields it has. */
const unfinishedHeadFactor = 1 + headerFieldBytes / minFieldBytes;

const countHeadBytes = ({ rawHeaders, url }: CallerMessage): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + headerFieldBytes / 2, (url ?? '').length);

/**
 * Makes the registry of callers' connections. It bounds their number, what their requests hold together, and how
 * far requests are read ahead of their answers.
 *
 * @example
 * const connections = makeCallerConnections(deps);
 * server.on('connection', connections.add);
 * setInterval(connections.check, connectionCheckPeriodMs);
 */
export const makeCallerConnections = (deps: CallerConnectionsDeps): CallerConnections => {
  const { log, metrics, now, stallMs } = deps;
  const memory = makeRequestMemory<Connection>(deps.getMaxRequestBytes);
  const readTurns = makeReadTurns();
  const connections = new Map<CallerSocket, Connection>();
  /** Bytes of requests that gave way and whose callers have some time to read the refusal. */
  let lingeringBytes = 0;
  /** Connections without a request, and those with one that arrives, in the order in which they became so. */
  const idle = new Set<Connection>();
  const arriving = new Set<Connection>();

  const describe = ({ socket, openRequests }: Connection) => ({
    openRequests,
    address: socket.remoteAddress,
    port: socket.remotePort,
  });

  const remove = (connection: Connection): void => {
    connections.delete(connection.socket);
    memory.remove(connection);
    idle.delete(connection);
    arriving.delete(connection);
  };

  const giveWay = (connection: Connection): void => {
    const { socket, openRequests, heldBytes, refuse } = connection;
    const allBytes = memory.getBytes();
    log(2321, { limit: 'request-memory', heldBytes, allBytes, ...describe(connection) });
    metrics.callerLimits.inc({ limit: 'request-memory' });
    connection.isGivenUp = true;
    memory.remove(connection);
    const lingerBytes = connection.headBytes + requestBytes;
    const hasRoom = lingeringBytes + lingerBytes <= deps.getMaxRequestBytes() * lingeringShare;
    // Behind other responses a refusal would have to wait for its turn.
    if (refuse && openRequests === 1 && hasRoom) {
      lingeringBytes += lingerBytes;
      connection.closeCallbacks.add(() => {
        lingeringBytes -= lingerBytes;
      });
      refuse();
    } else socket.resetAndDestroy();
  };

  const updateMemory = (connection: Connection): void => {
    if (connection.isGivenUp) return;
    const { heldBytes, openRequests, arrivingRequests } = connection;
    const bytesAhead = Math.max(0, openRequests - 1) * requestBytes;
    // A single request that has arrived may run.
    const canGiveWay = arrivingRequests > 0 || openRequests !== 1;
    memory.update(connection, { bytes: heldBytes + bytesAhead, canGiveWay }, now());
    for (let victim = memory.chooseVictim(now()); victim; victim = memory.chooseVictim(now()))
      giveWay(victim);
  };

  const halveRequests = (): void => {
    const limitBytes = memory.getBytes() / 2;
    const choose = (): Connection | undefined => memory.chooseVictim(now(), limitBytes);
    for (let victim = choose(); victim; victim = choose()) giveWay(victim);
  };

  const relief = makeMemoryRelief({
    isShort: deps.isShortOfMemory,
    collectGarbage: deps.collectGarbage,
    holdReads: () => {
      readTurns.hold();
      deps.holdAnswers();
    },
    releaseReads: () => {
      readTurns.release();
      deps.releaseAnswers();
    },
    halveHeld: () => {
      halveRequests();
      deps.halveAnswers();
    },
    metrics,
    now,
  });

  const updateIdle = (connection: Connection): void => {
    const { openRequests, arrivingRequests, socket } = connection;
    if (arrivingRequests === 0) arriving.delete(connection);
    if (openRequests > 0 || arrivingRequests > 0 || !connections.has(socket)) return;
    connection.idleReadBytes = socket.bytesRead;
    idle.add(connection);
  };

  /** Finds the connection before `newest` without a request for longest, one that is read if there is one. */
  const findOldestIdle = (newest: Connection): Connection | undefined => {
    let oldest: Connection | undefined;
    for (const connection of idle) {
      if (connection === newest) break;
      if (!connection.socket.isPaused()) return connection;
      oldest ??= connection;
    }
    return oldest;
  };

  /** Closes the connection that has had no request for longest, else the one whose request arrives for longest. */
  const closeOldest = (newest: Connection): void => {
    const oldestIdle = findOldestIdle(newest);
    const [oldestArriving] = arriving;
    const oldest = oldestIdle ?? oldestArriving ?? newest;
    log(2321, { limit: 'connections', connections: connections.size, ...describe(oldest) });
    metrics.callerLimits.inc({ limit: 'connections' });
    oldest.isGivenUp = true;
    remove(oldest);
    oldest.socket.destroy();
  };

  const countTaken = ({ socket }: Connection): number =>
    socket.bytesWritten - socket.writableLength;

  /** Disconnects a caller that still takes nothing once the writes that are due were made. */
  const closeUnread = (connection: Connection): void =>
    deps.runAfterReads(() => {
      const { socket } = connection;
      const isTaking = countTaken(connection) !== connection.takenBytes;
      if (isTaking || socket.writableLength === 0 || socket.destroyed) return;
      log(2315, { unread: socket.writableLength, ...describe(connection) });
      metrics.stalledCallers.inc();
      socket.resetAndDestroy();
    });

  const checkUnread = (connection: Connection): void => {
    const takenBytes = countTaken(connection);
    if (connection.socket.writableLength === 0 || takenBytes !== connection.takenBytes) {
      connection.takenBytes = takenBytes;
      connection.takenAt = now();
    } else if (stallMs > 0 && now() - connection.takenAt >= stallMs) closeUnread(connection);
  };

  return {
    add: (socket) => {
      const connection: Connection = {
        socket,
        turns: readTurns.add(socket),
        requests: 0,
        openRequests: 0,
        arrivingRequests: 0,
        heldBytes: 0,
        headBytes: 0,
        idleReadBytes: 0,
        takenBytes: 0,
        takenAt: now(),
        refuse: undefined,
        closeCallbacks: new Set(),
        isGivenUp: false,
      };
      connections.set(socket, connection);
      if (connections.size > deps.maxConnections * maxExcess) closeOldest(connection);
      if (connection.isGivenUp) return;
      idle.add(connection);
      socket.on('close', () => {
        remove(connection);
        connection.closeCallbacks.forEach((callback) => callback());
      });
      if (connections.size <= deps.maxConnections) return;
      deps.runAfterReads(() => {
        if (connections.size > deps.maxConnections) closeOldest(connection);
      });
    },
    addRequest: (req, res) => {
      const { socket } = req;
      const connection = connections.get(socket);
      if (!connection || connection.isGivenUp) return undefined;
      if (idle.delete(connection)) connection.heldBytes = 0;
      arriving.add(connection);
      let requestHeldBytes = 0;
      /** Whether the body has ended, and the response. */
      let hasArrived = false;
      let isAnswered = false;
      const hold = (bytes: number): void => {
        if (bytes === requestHeldBytes) return;
        connection.heldBytes += bytes - requestHeldBytes;
        requestHeldBytes = bytes;
        updateMemory(connection);
      };
      const headBytes = countHeadBytes(req);
      connection.headBytes = headBytes;
      connection.requests += 1;
      connection.openRequests += 1;
      connection.arrivingRequests += 1;
      // The head of a request that was refused stays in memory until its body has ended.
      const release = (): void => {
        if (hasArrived && isAnswered) hold(0);
      };
      req.once('end', () => {
        hasArrived = true;
        connection.arrivingRequests -= 1;
        connection.refuse = undefined;
        release();
        updateMemory(connection);
        updateIdle(connection);
      });
      res.once('close', () => {
        isAnswered = true;
        connection.openRequests -= 1;
        release();
        if (connection.openRequests < resumeOpenRequests) connection.turns.setAhead(false);
        updateIdle(connection);
      });
      hold(headBytes);
      if (connection.isGivenUp) return undefined;
      relief.check();
      connection.turns.recordPiece(countPieces(req));
      req.on('data', () => connection.turns.recordPiece());
      if (connection.openRequests >= maxOpenRequests) connection.turns.setAhead(true);
      return {
        run: (handle) =>
          connection.turns.run(() => {
            if (!socket.destroyed) handle();
          }),
        stopReading: connection.turns.stop,
        recordBody: (heldBytes) => hold(headBytes + heldBytes),
        onNoRoom: (refuse) => {
          connection.refuse = refuse;
        },
        onClosed: (callback) => {
          connection.closeCallbacks.add(callback);
          res.once('close', () => connection.closeCallbacks.delete(callback));
        },
      };
    },
    awaitHead: (socket, onLate) => {
      const connection = connections.get(socket);
      if (!connection) return;
      const { requests, turns } = connection;
      const wait = (): void => {
        const { bytesRead } = socket;
        const holds = turns.countHolds();
        setTimeout(() => {
          if (!connections.has(socket) || connection.requests !== requests) return;
          if (socket.bytesRead === bytesRead && turns.countHolds() !== holds) wait();
          else onLate();
        }, lateHeadMs);
      };
      wait();
    },
    count: () => connections.size,
    countRequests: () =>
      [...connections.values()].reduce((sum, { openRequests }) => sum + openRequests, 0),
    getRequestBytes: memory.getBytes,
    checkMemory: () => {
      idle.forEach((connection) => {
        const headBytes = connection.socket.bytesRead - connection.idleReadBytes;
        const heldBytes = headBytes * unfinishedHeadFactor;
        if (heldBytes === connection.heldBytes) return;
        connection.heldBytes = heldBytes;
        updateMemory(connection);
      });
      relief.check();
    },
    check: () => {
      connections.forEach(checkUnread);
      metrics.callerConnections.set(connections.size);
      metrics.requestBytes.set(memory.getBytes());
    },
  };
};
