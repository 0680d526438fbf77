import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Socket } from 'node:net';
import { z } from 'zod';

const maxLineBytes = 2_048;
const handshakeTimeoutMs = 3_000;

/** Who is at the other end of a connection. */
export interface PeerIdentity {
  readonly vm: string;
  /** Changes with every start of the process. */
  readonly incarnation: string;
}

/** A connection whose ends have proved that they know the shared secret. */
export interface Session {
  readonly key: Buffer;
  readonly peer: PeerIdentity;
  /** Bytes that followed the handshake in the same chunk. */
  readonly remainder: Buffer;
}

const nonce = z.string().regex(/^[0-9a-f]{32}$/);
const helloSchema = z.strictObject({ nonce });
const proofSchema = z.strictObject({
  vm: z.string().max(64),
  incarnation: z.string().max(64),
  nonce,
  mac: z.string().max(64),
});
const acceptSchema = z.strictObject({
  vm: z.string().max(64),
  incarnation: z.string().max(64),
  mac: z.string().max(64),
});

const sign = (secret: string, ...parts: string[]): Buffer =>
  createHmac('sha256', secret).update(JSON.stringify(parts)).digest();

const verify = (mac: string, expected: Buffer): boolean => {
  const given = Buffer.from(mac, 'hex');
  return given.length === expected.length && timingSafeEqual(given, expected);
};

/** Reads one line from a socket that is not yet authenticated. */
const readLine = (socket: Socket, start: Buffer): Promise<{ line: string; rest: Buffer }> =>
  new Promise((resolve, reject) => {
    let pending = start;
    const cleanUp = () => {
      socket.off('data', onData);
      socket.off('close', onClose);
    };
    const tryRead = () => {
      const at = pending.indexOf(10);
      if (at >= 0) {
        cleanUp();
        socket.pause();
        resolve({ line: pending.subarray(0, at).toString(), rest: pending.subarray(at + 1) });
      } else if (pending.length > maxLineBytes) {
        cleanUp();
        reject(new Error('handshake line too long'));
      }
    };
    const onData = (chunk: Buffer) => {
      pending = Buffer.concat([pending, chunk]);
      tryRead();
    };
    const onClose = () => {
      cleanUp();
      reject(new Error('closed during handshake'));
    };
    socket.on('data', onData);
    socket.on('close', onClose);
    socket.resume();
    tryRead();
  });

const writeLine = (socket: Socket, message: unknown): void => {
  socket.write(`${JSON.stringify(message)}\n`);
};

const withTimeout = async <T>(socket: Socket, run: () => Promise<T>): Promise<T> => {
  const timer = setTimeout(() => socket.destroy(), handshakeTimeoutMs);
  try {
    return await run();
  } finally {
    clearTimeout(timer);
  }
};

/** Proves the secret to a connecting VM and checks its proof; rejects when it fails. */
export const acceptSession = (
  socket: Socket,
  self: PeerIdentity,
  secrets: readonly string[],
): Promise<Session> =>
  withTimeout(socket, async () => {
    const serverNonce = randomBytes(16).toString('hex');
    writeLine(socket, { nonce: serverNonce });
    const { line, rest } = await readLine(socket, Buffer.alloc(0));
    const proof = proofSchema.parse(JSON.parse(line));
    const parts = [serverNonce, proof.nonce, proof.vm, proof.incarnation];
    const secret = secrets.find((s) => verify(proof.mac, sign(s, 'client', ...parts)));
    if (secret === undefined) throw new Error('peer does not know the secret');
    const mac = sign(secret, 'server', ...parts, self.vm, self.incarnation).toString('hex');
    writeLine(socket, { vm: self.vm, incarnation: self.incarnation, mac });
    const key = sign(secret, 'session', ...parts);
    return { key, peer: { vm: proof.vm, incarnation: proof.incarnation }, remainder: rest };
  });

/** Proves the secret to a listening VM and checks its proof; rejects when it fails. */
export const openSession = (
  socket: Socket,
  self: PeerIdentity,
  secrets: readonly string[],
): Promise<Session> =>
  withTimeout(socket, async () => {
    const hello = await readLine(socket, Buffer.alloc(0));
    const { nonce: serverNonce } = helloSchema.parse(JSON.parse(hello.line));
    const clientNonce = randomBytes(16).toString('hex');
    const parts = [serverNonce, clientNonce, self.vm, self.incarnation];
    const secret = secrets[0] ?? '';
    writeLine(socket, {
      ...self,
      nonce: clientNonce,
      mac: sign(secret, 'client', ...parts).toString('hex'),
    });
    const { line, rest } = await readLine(socket, hello.rest);
    const accept = acceptSchema.parse(JSON.parse(line));
    const expected = sign(secret, 'server', ...parts, accept.vm, accept.incarnation);
    if (!verify(accept.mac, expected)) throw new Error('peer does not know the secret');
    const key = sign(secret, 'session', ...parts);
    return { key, peer: { vm: accept.vm, incarnation: accept.incarnation }, remainder: rest };
  });
