import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

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
  /** Closes the connections between two requests, whose last response was flushed. */
  readonly closeIdleConnections: () => void;
}

/** A caller's connection that has carried a request. */
interface CallerConnection {
  readonly socket: Socket;
  /** Responses that aren't flushed, in the order of their requests. */
  readonly openResponses: Set<ServerResponse>;
  /** Number of requests that haven't arrived whole; a response may end before. */
  arrivingRequests: number;
  /** Bytes received when the last request or response ended; more belong to the next request. */
  readBytes: number;
}

/**
 * Makes the order of requests. A request that was pipelined behind another one must wait: the first
 * response may have to close the connection, and the second request would have run without an answer.
 *
 * @example
 * makeRequestOrder().add(req, res)(() => run(req, res), () => {});
 */
export const makeRequestOrder = (): RequestOrder => {
  const connections = new Map<Duplex, CallerConnection>();

  const findConnection = (req: IncomingMessage): CallerConnection => {
    const { socket } = req;
    const known = connections.get(socket);
    if (known) return known;
    const openResponses = new Set<ServerResponse>();
    const connection = { socket, openResponses, arrivingRequests: 0, readBytes: 0 };
    connections.set(socket, connection);
    socket.once('close', () => connections.delete(socket));
    return connection;
  };

  const listOpenResponses = (socket: Duplex): ServerResponse[] => [
    ...(connections.get(socket)?.openResponses ?? []),
  ];

  return {
    add: (req, res) => {
      const { socket } = req;
      const connection = findConnection(req);
      const previous = listOpenResponses(socket).pop();
      connection.openResponses.add(res);
      connection.arrivingRequests += 1;
      req.on('end', () => {
        connection.arrivingRequests -= 1;
        connection.readBytes = socket.bytesRead;
      });
      res.on('close', () => {
        connection.openResponses.delete(res);
        connection.readBytes = socket.bytesRead;
      });
      return (start, onClosed) => {
        const startIfOpen = (): void => (socket.writable ? start() : onClosed());
        if (!previous || previous.closed) startIfOpen();
        else previous.once('close', startIfOpen);
      };
    },
    isLast: (req, res) => listOpenResponses(req.socket).pop() === res,
    findOpenResponse: (socket) =>
      listOpenResponses(socket)
        .filter(({ req }) => req.complete)
        .pop(),
    closeIdleConnections: () => {
      connections.forEach(({ socket, openResponses, arrivingRequests, readBytes }) => {
        const isBusy = openResponses.size > 0 || arrivingRequests > 0;
        if (!isBusy && socket.bytesRead === readBytes) socket.destroy();
      });
    },
  };
};
