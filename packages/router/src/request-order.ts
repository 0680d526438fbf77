import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Calls `start` in turn, or `onClosed` if the connection closed before and can carry no response. */
export type AwaitTurn = (start: () => void, onClosed: () => void) => void;

/** The order of the requests on each caller's connection. */
export interface RequestOrder {
  /** Adds a request that has arrived behind those on its connection. */
  readonly add: (req: IncomingMessage, res: ServerResponse) => AwaitTurn;
  /** Whether no request has arrived behind this one. */
  readonly isLast: (req: IncomingMessage, res: ServerResponse) => boolean;
}

/**
 * Makes the order of requests. A request that was pipelined behind another one must wait: the first
 * response may have to close the connection, and the second request would have run without an answer.
 *
 * @example
 * makeRequestOrder().add(req, res)(() => run(req, res), () => {});
 */
export const makeRequestOrder = (): RequestOrder => {
  const lastResponses = new WeakMap<Socket, ServerResponse>();
  return {
    add: (req, res) => {
      const { socket } = req;
      const previous = lastResponses.get(socket);
      lastResponses.set(socket, res);
      return (start, onClosed) => {
        const startIfOpen = (): void => (socket.writable ? start() : onClosed());
        if (!previous || previous.closed) startIfOpen();
        else previous.once('close', startIfOpen);
      };
    },
    isLast: (req, res) => lastResponses.get(req.socket) === res,
  };
};
