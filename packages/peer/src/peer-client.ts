import { connect, type Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { JSONRPCClient } from 'json-rpc-2.0';
import type { PeerFault } from '@hemlocksill/errors/peer-errors.js';
import { makeFrameReader, makeFrameWriter } from './frames.js';
import { openSession, type PeerIdentity } from './handshake.js';

const connectTimeoutMs = 1_000;

/** Address at which a peer listens. */
export interface PeerEndpoint {
  readonly host: string;
  readonly port: number;
}

/** Dependencies of a peer client. */
export interface PeerClientOptions {
  readonly self: PeerIdentity;
  /** Shared secrets, read at each connection; the client authenticates with the first. */
  readonly secrets: () => readonly string[];
  readonly countBytes: (bytes: number) => void;
}

/** A reply with the identity of the process that sent it. */
export interface PeerReply {
  readonly from: PeerIdentity;
  readonly value: unknown;
}

/** Calls methods of peers over one connection per peer address. */
export interface PeerClient {
  readonly call: (
    to: PeerEndpoint,
    method: string,
    params: unknown,
    timeoutMs: number,
  ) => Promise<Result<PeerReply, PeerFault>>;
  /** Sends a message that has no reply; it may be lost. */
  readonly notify: (to: PeerEndpoint, method: string, params: unknown) => void;
  readonly close: () => void;
}

interface Connection {
  readonly rpc: JSONRPCClient;
  readonly peer: PeerIdentity;
  readonly socket: Socket;
}

const openSocket = (to: PeerEndpoint): Promise<Socket> =>
  new Promise((resolve, reject) => {
    const socket = connect({ host: to.host, port: to.port, noDelay: true });
    const timer = setTimeout(() => socket.destroy(new Error('timeout')), connectTimeoutMs);
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(socket);
    });
    socket.once('error', (error) => {
      clearTimeout(timer);
      reject(error);
    });
    socket.on('error', () => socket.destroy());
  });

const openConnection = async (to: PeerEndpoint, opts: PeerClientOptions): Promise<Connection> => {
  const socket = await openSocket(to);
  try {
    const session = await openSession(socket, opts.self, opts.secrets());
    const write = makeFrameWriter(socket, session.key, 'to-server');
    const rpc = new JSONRPCClient((req) => {
      if (socket.destroyed) return Promise.reject(new Error('connection lost'));
      opts.countBytes(write(JSON.stringify(req)));
      return Promise.resolve();
    });
    const read = makeFrameReader(session.key, 'to-client', {
      onPayload: (text) => {
        opts.countBytes(text.length);
        rpc.receive(JSON.parse(text));
      },
      onInvalid: () => socket.destroy(),
    });
    socket.on('data', read);
    socket.on('close', () => rpc.rejectAllPendingRequests('connection lost'));
    read(session.remainder);
    socket.resume();
    return { rpc, peer: session.peer, socket };
  } catch (error) {
    socket.destroy();
    throw error;
  }
};

const classifyFailure = (error: unknown): PeerFault => {
  const { code, message } = error as { code?: unknown; message?: string };
  if (message === 'connection lost' || message === 'Request timeout') return 'lost';
  return typeof code === 'number' ? 'rejected' : 'lost';
};

/**
 * Creates a client that keeps one authenticated connection to each peer it has called.
 *
 * @example
 * const peers = makePeerClient({ self, secrets: () => ['0123456789abcdef'], countBytes });
 * const reply = await peers.call({ host: '127.0.0.1', port: 7101 }, 'sync', {}, 500);
 */
export const makePeerClient = (opts: PeerClientOptions): PeerClient => {
  const connections = new Map<string, Promise<Connection>>();

  const connectTo = (to: PeerEndpoint): Promise<Connection> => {
    const address = `${to.host}:${to.port}`;
    const existing = connections.get(address);
    if (existing) return existing;
    const opening = openConnection(to, opts);
    connections.set(address, opening);
    const removeConnection = () => {
      if (connections.get(address) === opening) connections.delete(address);
    };
    opening.then((c) => c.socket.on('close', removeConnection), removeConnection);
    return opening;
  };

  return {
    call: async (to, method, params, timeoutMs) => {
      let connection: Connection;
      try {
        connection = await connectTo(to);
      } catch (error) {
        const { code } = error as { code?: string };
        return err(code === 'ECONNREFUSED' ? 'refused' : 'unreachable');
      }
      try {
        const rpc = connection.rpc.timeout(timeoutMs);
        const value: unknown = await rpc.request(method, params);
        return ok({ from: connection.peer, value });
      } catch (error) {
        return err(classifyFailure(error));
      }
    },
    notify: (to, method, params) => {
      connectTo(to).then(
        (connection) => connection.rpc.notify(method, params as object),
        () => {},
      );
    },
    close: () => {
      connections.forEach((opening) => {
        opening.then(
          (c) => c.socket.destroy(),
          () => {},
        );
      });
    },
  };
};
