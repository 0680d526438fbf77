import { createServer, type AddressInfo, type Socket } from 'node:net';
import { JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import { makeFrameReader, makeFrameWriter } from './frames.js';
import { acceptSession, type PeerIdentity, type Session } from './handshake.js';

/** A method that peers can call; it resolves to a JSON value. */
export type PeerMethod = (params: unknown, from: PeerIdentity) => Promise<unknown>;

/** Options of a peer server. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly self: PeerIdentity;
  /** Read at each handshake, so that secrets can be rotated without a restart. */
  readonly secrets: () => readonly string[];
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Called with the reason when a connection is rejected. */
  readonly onRejected: (reason: string) => void;
  readonly countBytes: (bytes: number) => void;
}

/** A running server for calls from peers. */
export interface PeerServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

const invalidParamsCode = -32_602;

/** Rejects a peer call with the JSON-RPC error "invalid params" and the given message. */
export const throwInvalidParams = (message: string): never => {
  throw new JSONRPCErrorException(message, invalidParamsCode);
};

const serveSession = (socket: Socket, session: Session, opts: PeerServerOptions): void => {
  const rpc = new JSONRPCServer<PeerIdentity>({ errorListener: () => {} });
  Object.entries(opts.methods).forEach(([name, method]) =>
    rpc.addMethod(name, (params, from) => method(params, from)),
  );
  const write = makeFrameWriter(socket, session.key, 'to-client');
  const handleMessage = async (text: string): Promise<void> => {
    opts.countBytes(text.length);
    const reply = await rpc.receiveJSON(text, session.peer);
    if (reply && !socket.destroyed) opts.countBytes(write(JSON.stringify(reply)));
  };
  const read = makeFrameReader(session.key, 'to-server', {
    onPayload: (text) => void handleMessage(text),
    onInvalid: (reason) => {
      opts.onRejected(reason);
      socket.destroy();
    },
  });
  socket.on('data', read);
  read(session.remainder);
  socket.resume();
};

/** Listens for peers and serves JSON-RPC 2.0 to those that know a shared secret. */
export const startPeerServer = (opts: PeerServerOptions): Promise<PeerServer> => {
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    acceptSession(socket, opts.self, opts.secrets())
      .then((session) => serveSession(socket, session, opts))
      .catch((error: Error) => {
        opts.onRejected(error.message);
        socket.destroy();
      });
  });
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen(opts.port, opts.host, () =>
      resolve({
        port: (server.address() as AddressInfo).port,
        close: () =>
          new Promise((resolveClosed) => {
            server.close(() => resolveClosed());
            sockets.forEach((s) => s.destroy());
          }),
      }),
    );
  });
};
