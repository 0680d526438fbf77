import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { LogRouterEvent } from './events.js';

/** Calls `start` in turn, or `onClosed` if the connection closed before and can carry no response. */
export type AwaitTurn = (start: () => void, onClosed: () => void) => void;

/** The order of the requests on each caller's connection. */
export interface RequestOrder {
  /** Adds a request that has arrived behind those on its connection. */
  readonly add: (req: IncomingMessage, res: ServerResponse) => AwaitTurn;
  /** Whether no request has arrived behind this one. */
  readonly isLast: (req: IncomingMessage, res: ServerResponse) => boolean;
  /** Returns the response to the last request on a connection that was read whole, if it is open. */
  readonly findOpenResponse: (socket: Duplex) => ServerResponse | undefined;
  /**
   * Closes the connections between two requests, whose last response was flushed; to be called after reads.
   * One that is not read now is left open, since a request may have arrived on it, and so is one whose last
   * response has just ended: its caller may be sending the next request.
   *
   * @param endedFrom - earliest end of the last request or response of those that are closed; all by default
   */
  readonly closeIdleConnections: (endedFrom?: number) => void;
}

/** Dependencies of the order. */
export interface RequestOrderDeps {
  readonly log: LogRouterEvent;
  readonly now: () => number;
}

/** A request whose response isn't flushed. */
interface OpenRequest {
  readonly res: ServerResponse;
  /** Runs when all requests before it are answered; unset until it may run. */
  start: (() => void) | undefined;
}

/** Time after a response within which callers mostly send the next request, if they have one. */
const reuseMs = 200;

/** A caller's connection that has carried a request. */
interface CallerConnection {
  readonly socket: Socket;
  /** In the order of their arrival. */
  readonly openRequests: Set<OpenRequest>;
  latestResponse: ServerResponse | undefined;
  /** Number of requests that haven't arrived whole; a response may end before. */
  arrivingRequests: number;
  /** Bytes received when the last request or response ended; more belong to the next request. */
  readBytes: number;
  /** Time at which the last request or response ended. */
  endedAt: number;
}

/**
 * Makes the order of requests. A request that was pipelined behind another one must wait: the first
 * response may have to close the connection, and the second request would have run without an answer.
 *
 * @example
 * makeRequestOrder({ log, now }).add(req, res)(() => run(req, res), () => {});
 */
export const makeRequestOrder = ({ log, now }: RequestOrderDeps): RequestOrder => {
  const connections = new Map<Duplex, CallerConnection>();

  const findConnection = (req: IncomingMessage): CallerConnection => {
    const { socket } = req;
    const known = connections.get(socket);
    if (known) return known;
    const connection: CallerConnection = {
      socket,
      openRequests: new Set(),
      latestResponse: undefined,
      arrivingRequests: 0,
      readBytes: 0,
      endedAt: now(),
    };
    connections.set(socket, connection);
    socket.once('close', () => connections.delete(socket));
    return connection;
  };

  const recordEnd = (connection: CallerConnection): void => {
    connection.readBytes = connection.socket.bytesRead;
    connection.endedAt = now();
  };

  const getFirst = ({ openRequests }: CallerConnection): OpenRequest | undefined => {
    const [first] = openRequests;
    return first;
  };

  return {
    add: (req, res) => {
      const { socket } = req;
      const connection = findConnection(req);
      const open: OpenRequest = { res, start: undefined };
      connection.latestResponse = res;
      connection.openRequests.add(open);
      connection.arrivingRequests += 1;
      req.on('end', () => {
        connection.arrivingRequests -= 1;
        recordEnd(connection);
      });
      res.on('close', () => {
        connection.openRequests.delete(open);
        if (connection.latestResponse === res) connection.latestResponse = undefined;
        recordEnd(connection);
        getFirst(connection)?.start?.();
      });
      return (start, onClosed) => {
        const startOnce = (): void => {
          open.start = undefined;
          if (socket.writable) start();
          else onClosed();
        };
        if (getFirst(connection) === open) startOnce();
        else open.start = startOnce;
      };
    },
    isLast: (req, res) => connections.get(req.socket)?.latestResponse === res,
    findOpenResponse: (socket) =>
      [...(connections.get(socket)?.openRequests ?? [])]
        .map(({ res }) => res)
        .filter(({ req }) => req.complete)
        .pop(),
    closeIdleConnections: (endedFrom = 0) => {
      connections.forEach(({ socket, openRequests, arrivingRequests, readBytes, endedAt }) => {
        const isBusy = openRequests.size > 0 || arrivingRequests > 0;
        const mayBeReused = now() - endedAt < reuseMs;
        if (isBusy || mayBeReused || endedAt < endedFrom) return;
        if (socket.isPaused() || socket.bytesRead !== readBytes) return;
        log(2322, { reason: 'shutdown', bytesRead: readBytes, port: socket.remotePort });
        socket.destroy();
      });
    },
  };
};
