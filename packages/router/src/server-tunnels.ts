import type { Server } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { reportResets } from '@hemlocksill/sockets/report-resets.js';
import { forwardAsFrames, framing, framingField } from './tunnel-frames.js';

/** Time limit for opening the connection to the server; the other VM waits somewhat longer. */
const connectTimeoutMs = 100;

/** Connections to servers that other VMs have open through this one. */
export interface ServerTunnels {
  readonly count: () => number;
  /** Resets those that are open. At the end of the process they would end as if their servers had closed them. */
  readonly reset: () => void;
}

/** Dependencies of the tunnels. */
export interface ServerTunnelsDeps {
  /** Whether an address is that of a backend server that may get requests. */
  readonly isServer: (address: string) => boolean;
  /** Whether this VM reaches the servers and is not about to stop. */
  readonly acceptsTunnels: () => boolean;
  readonly maxTunnels: number;
}

const statusLines = {
  opened: '200 OK',
  notFound: '404 Not Found',
  unreachable: '502 Bad Gateway',
  refused: '503 Service Unavailable',
} as const;

const formatHead = (status: keyof typeof statusLines, lines: readonly string[] = []): string =>
  [`HTTP/1.1 ${statusLines[status]}`, 'Content-Length: 0', ...lines, '\r\n'].join('\r\n');

const forwardBytes = (from: Socket, to: Socket): void => {
  from.pipe(to, { end: false });
  from.on('end', () => to.end());
};

/** Forwards one connection to the other, and the way in which it ends. */
const forward = (from: Socket, to: Socket, forwardData = forwardBytes): void => {
  forwardData(from, to);
  from.on('error', () => to.resetAndDestroy());
  from.on('close', () => {
    if (!from.readableEnded) to.resetAndDestroy();
  });
  // A socket that is no longer read would not notice that the other side closes it.
  to.on('close', () => from.resume());
};

/**
 * Lets other VMs open connections to backend servers through this one, by CONNECT requests to the peers' endpoint.
 * A VM that has lost its own links serves its callers that way.
 *
 * @example
 * const tunnels = serveServerTunnels(peerServer, { isServer, acceptsTunnels: () => true, maxTunnels: 256 });
 */
export const serveServerTunnels = (server: Server, deps: ServerTunnelsDeps): ServerTunnels => {
  const tunnels = new Set<Socket>();

  const openTunnel = (address: string, socket: Socket, isFramed: boolean): void => {
    const [, host, port] = /^(.+):(\d+)$/.exec(address) ?? [];
    const target = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
    tunnels.add(socket);
    socket.allowHalfOpen = true;
    socket.setNoDelay(true);
    const refuse = (): void => {
      target.destroy();
      if (socket.writable) socket.end(formatHead('unreachable'));
    };
    const timer = setTimeout(refuse, connectTimeoutMs);
    socket.on('close', () => {
      clearTimeout(timer);
      tunnels.delete(socket);
      target.destroy();
    });
    target.once('error', refuse);
    target.once('connect', () => {
      clearTimeout(timer);
      target.off('error', refuse);
      socket.write(formatHead('opened', isFramed ? [`${framingField}: ${framing}`] : []));
      // Taken for a regular end, a reset would make a response without a length look complete.
      reportResets(target);
      forward(target, socket, isFramed ? forwardAsFrames : forwardBytes);
      forward(socket, target);
      // A reset of the other VM, too, can be reported as its end; a write of no bytes gets the error.
      socket.on('end', () => socket.writable && socket.write(''));
    });
  };

  server.on('connect', (req, socket: Duplex) => {
    socket.on('error', () => {});
    const address = req.url ?? '';
    if (!deps.acceptsTunnels() || tunnels.size >= deps.maxTunnels)
      socket.end(formatHead('refused'));
    else if (!deps.isServer(address)) socket.end(formatHead('notFound'));
    else {
      const isFramed = req.headers[framingField.toLowerCase()] === framing;
      openTunnel(address, socket as Socket, isFramed);
    }
  });

  return {
    count: () => tunnels.size,
    reset: () => tunnels.forEach((socket) => socket.resetAndDestroy()),
  };
};
