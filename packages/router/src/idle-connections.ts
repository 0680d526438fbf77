import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { RunAfterReads } from '@hemlocksill/timers/run-after-reads.js';
import type { LogRouterEvent } from './events.js';

/** Time for which a connection stays open after its limit, for a request that is on its way. */
const closeDelayMs = 1_000;

/** What the idle limits need of a connection. */
export type IdleSocket = Pick<
  Socket,
  'bytesRead' | 'remotePort' | 'isPaused' | 'setTimeout' | 'destroy'
>;

/** When a connection became idle, and the limit that its caller was told then. */
interface IdleState {
  readonly since: number;
  readonly toldLimitMs: number;
}

/** Dependencies of the idle limits. */
export interface IdleConnectionsDeps {
  /** Current limit on the time between two requests, as it is told to callers. */
  readonly getLimitMs: () => number;
  readonly now: () => number;
  readonly log: LogRouterEvent;
  readonly runAfterReads: RunAfterReads;
}

/** Closes callers' connections that are idle for too long. */
export interface IdleConnections {
  /** Records a request: its response tells the limit, and the connection is idle when it ends. */
  readonly recordRequest: (socket: IdleSocket, res: Pick<ServerResponse, 'once'>) => void;
  /** Handles the timeout of a connection: waits on or closes it. */
  readonly onTimeout: (socket: IdleSocket) => void;
}

/**
 * Makes the limits on idle connections. The limit may change at any time: a connection is kept for
 * as long as its caller was told, and for as long as the current limit allows.
 *
 * @example
 * server.on('timeout', makeIdleConnections(deps).onTimeout);
 */
export const makeIdleConnections = (deps: IdleConnectionsDeps): IdleConnections => {
  const idleStates = new WeakMap<IdleSocket, IdleState>();
  return {
    recordRequest: (socket, res) => {
      const toldLimitMs = deps.getLimitMs();
      res.once('finish', () => {
        idleStates.set(socket, { since: deps.now(), toldLimitMs });
      });
    },
    onTimeout: (socket) => {
      const idle = idleStates.get(socket);
      const limitMs = Math.max(idle?.toldLimitMs ?? 0, deps.getLimitMs());
      const remainingMs = idle ? idle.since + limitMs + closeDelayMs - deps.now() : 0;
      if (remainingMs > 0) {
        socket.setTimeout(remainingMs);
        return;
      }
      const { bytesRead } = socket;
      deps.runAfterReads(() => {
        if (socket.bytesRead !== bytesRead) return;
        // A request may have arrived on a connection that is not read now.
        if (socket.isPaused()) {
          socket.setTimeout(closeDelayMs);
          return;
        }
        const idleMs = idle && Math.round(deps.now() - idle.since);
        deps.log(2322, { reason: 'idle-limit', idleMs, bytesRead, port: socket.remotePort });
        socket.destroy();
      });
    },
  };
};
