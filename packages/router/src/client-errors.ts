import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { CallerConnections } from './caller-connections.js';
import type { LogRouterEvent } from './events.js';
import type { RequestOrder } from './request-order.js';

const connectCode = 'CONNECT_NOT_SUPPORTED';

/** Error of a CONNECT request; the router opens no tunnels. */
export const connectError: NodeJS.ErrnoException = Object.assign(
  new Error('CONNECT is not supported'),
  { code: connectCode },
);

const lateHeadCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Statuses for errors of the HTTP parser; 400 for all others. */
const statusLines: Readonly<Record<string, string>> = {
  [connectCode]: '501 Not Implemented',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  [lateHeadCode]: '408 Request Timeout',
};

/**
 * Makes the handler of bytes that are no request, and of requests that don't arrive in time. Their
 * connection is closed, but not before the requests that it carried earlier are answered.
 *
 * @example
 * server.on('clientError', makeClientErrorHandler(order, connections, log));
 */
export const makeClientErrorHandler = (
  order: RequestOrder,
  connections: Pick<CallerConnections, 'awaitHead'>,
  log: LogRouterEvent,
) => {
  const closing = new WeakSet<Duplex>();
  const handle = (error: NodeJS.ErrnoException, socket: Duplex): void => {
    if (closing.has(socket)) return;
    closing.add(socket);
    const close = (): void => {
      if (!socket.writable) {
        socket.destroy();
        return;
      }
      const status = statusLines[error.code ?? ''] ?? '400 Bad Request';
      log(2308, { status: Number.parseInt(status, 10), reason: error.message });
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () =>
        socket.destroy(),
      );
    };
    // A caller that ended its side inside a request has left.
    const hasLeft = error.code === 'HPE_INVALID_EOF_STATE';
    const openResponse = order.findOpenResponse(socket);
    if (openResponse && socket.writable && !hasLeft) openResponse.once('close', close);
    else close();
  };
  return (error: NodeJS.ErrnoException, socket: Socket | Duplex): void => {
    if (error.code === lateHeadCode && 'bytesRead' in socket)
      connections.awaitHead(socket, () => handle(error, socket));
    else handle(error, socket);
  };
};
