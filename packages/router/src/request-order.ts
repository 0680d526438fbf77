import type { IncomingMessage, ServerResponse } from 'node:http';
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
}

/**
 * Makes the order of requests. A request that was pipelined behind another one must wait: the first
 * response may have to close the connection, and the second request would have run without an answer.
 *
 * @example
 * makeRequestOrder().add(req, res)(() => run(req, res), () => {});
 */
export const makeRequestOrder = (): RequestOrder => {
  const openResponses = new WeakMap<Duplex, Set<ServerResponse>>();
  return {
    add: (req, res) => {
      const { socket } = req;
      const responses = openResponses.get(socket) ?? new Set();
      openResponses.set(socket, responses);
      const previous = [...responses].pop();
      responses.add(res);
      res.on('close', () => responses.delete(res));
      return (start, onClosed) => {
        const startIfOpen = (): void => (socket.writable ? start() : onClosed());
        if (!previous || previous.closed) startIfOpen();
        else previous.once('close', startIfOpen);
      };
    },
    isLast: (req, res) => [...(openResponses.get(req.socket) ?? [])].pop() === res,
    findOpenResponse: (socket) =>
      [...(openResponses.get(socket) ?? [])].filter(({ req }) => req.complete).pop(),
  };
};
