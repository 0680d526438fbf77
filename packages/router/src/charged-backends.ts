import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendClient } from '@hemlocksill/types/routing-ports.js';

/** Accounts of the requests to backend servers that name a limit. */
export interface SendAccounts {
  /** Charges a request that is sent; `request` is its id if it is a caller's. */
  readonly recordSend: (server: BackendServer, request?: string) => void;
  readonly hasRoom: (server: BackendServer) => boolean;
}

/**
 * Makes a client that charges each request that reaches a backend server, whatever it is for.
 *
 * Requests of callers have been given room before they are sent. A report waits for room. An order and
 * a release are sent in any case: they are rare, and what is not released is lost to others.
 *
 * @example
 * const backends = makeChargedBackends(makeBackendClient(150, onNotice), accounts);
 */
export const makeChargedBackends = (
  backends: BackendClient,
  { recordSend, hasRoom }: SendAccounts,
): BackendClient => ({
  send: (server, call, options, observer) => {
    recordSend(server, call.metadata.id);
    return backends.send(server, call, options, observer);
  },
  prefill: (server, call, remainingMs, onDone) => {
    recordSend(server, call.metadata.id);
    return backends.prefill(server, call, remainingMs, onDone);
  },
  releasePrefill: (result) => {
    recordSend(result.server);
    backends.releasePrefill(result);
  },
  reserve: (server, tokens, ttlMs, onDone) => {
    recordSend(server);
    backends.reserve(server, tokens, ttlMs, onDone);
  },
  releaseReservation: (server, reservation) => {
    recordSend(server);
    backends.releaseReservation(server, reservation);
  },
  report: (server, onDone) => {
    if (!hasRoom(server)) {
      onDone(undefined);
      return;
    }
    recordSend(server);
    backends.report(server, onDone);
  },
  order: (server, order, onDone) => {
    recordSend(server);
    backends.order(server, order, onDone);
  },
  closeConnections: backends.closeConnections,
});
