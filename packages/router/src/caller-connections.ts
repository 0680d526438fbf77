import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { makeRequestMemory } from '@hemlocksill/routing/request-memory.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** What a request costs besides its head and body: objects of the HTTP server and of the router. */
const requestBytes = 8 * 1_024;

/** A request on a connection, until its response has ended. */
export interface CallerRequest {
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
}

const countHeadBytes = ({ rawHeaders, url }: IncomingMessage): number =>
  rawHeaders.reduce((sum, text) => sum + text.length, (url ?? '').length);

/**
 * Makes the registry of callers' connections, which bounds what their requests hold together.
 *
 * @example
 * const connections = makeCallerConnections(deps);
 * server.on('connection', connections.add);
 */
export const makeCallerConnections = (deps: CallerConnectionsDeps): CallerConnections => {
  const { log, metrics, now } = deps;
  const memory = makeRequestMemory<Connection>(deps.getMaxRequestBytes);
  const connections = new Map<Socket, Connection>();

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
      };
      connections.set(socket, connection);
      socket.on('close', () => {
        connections.delete(socket);
        memory.remove(connection);
      });
    },
    addRequest: (req, res) => {
      const connection = connections.get(req.socket);
      if (!connection || connection.isGivenUp || req.socket.destroyed) return undefined;
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
      });
      hold(headBytes);
      if (connection.isGivenUp) return undefined;
      return {
        recordBody: (heldBytes) => hold(headBytes + heldBytes),
        onNoRoom: (refuse) => {
          connection.refuse = refuse;
        },
      };
    },
  };
};
