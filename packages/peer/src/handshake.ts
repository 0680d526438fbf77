import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Socket } from 'node:net';
import { z } from 'zod';

const maxLineBytes = 2_048;
const handshakeTimeoutMs = 3_000;

/** Identity of the process at one end of a connection. */
export interface PeerIdentity {
  readonly vm: string;
  /** Different for every start of the process. */
  readonly incarnation: string;
}

/** An authenticated connection: both ends have proved that they know the shared secret. */
export interface Session {
  readonly key: Buffer;
  readonly peer: PeerIdentity;
  /** Bytes received after the handshake in the same chunk. */
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
  const actual = Buffer.from(mac, 'hex');
  return actual.length === expected.length && timingSafeEqual(actual, expected);
};

/** Reads one line from an unauthenticated socket; rejects if the line is too long. */
const readLine = (socket: Socket, initial: Buffer): Promise<{ line: string; remainder: Buffer }> =>
  new Promise((resolve, reject) => {
    let pending = initial;
    const removeListeners = () => {
      socket.off('data', onData);
      socket.off('close', onClose);
    };
    const readPending = () => {
      const lineEnd = pending.indexOf(10);
      if (lineEnd >= 0) {
        removeListeners();
        socket.pause();
        resolve({
          line: pending.subarray(0, lineEnd).toString(),
          remainder: pending.subarray(lineEnd + 1),
        });
      } else if (pending.length > maxLineBytes) {
        removeListeners();
        reject(new Error('handshake line too long'));
      }
    };
    const onData = (chunk: Buffer) => {
      pending = Buffer.concat([pending, chunk]);
      readPending();
    };
    const onClose = () => {
      removeListeners();
      reject(new Error('closed during handshake'));
    };
    socket.on('data', onData);
    socket.on('close', onClose);
    socket.resume();
    readPending();
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

/** Authenticates a connecting VM and this VM to each other; rejects when that fails. */
export const acceptSession = (
  socket: Socket,
  self: PeerIdentity,
  secrets: readonly string[],
): Promise<Session> =>
  withTimeout(socket, async () => {
    const serverNonce = randomBytes(16).toString('hex');
    writeLine(socket, { nonce: serverNonce });
    const { line, remainder } = await readLine(socket, Buffer.alloc(0));
    const proof = proofSchema.parse(JSON.parse(line));
    const parts = [serverNonce, proof.nonce, proof.vm, proof.incarnation];
    const secret = secrets.find((s) => verify(proof.mac, sign(s, 'client', ...parts)));
    if (secret === undefined) throw new Error('peer does not know the secret');
    const mac = sign(secret, 'server', ...parts, self.vm, self.incarnation).toString('hex');
    writeLine(socket, { vm: self.vm, incarnation: self.incarnation, mac });
    const key = sign(secret, 'session', ...parts);
    return { key, peer: { vm: proof.vm, incarnation: proof.incarnation }, remainder };
  });

/** Authenticates this VM and the VM it connected to; rejects when that fails. */
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
    const { line, remainder } = await readLine(socket, hello.remainder);
    const accept = acceptSchema.parse(JSON.parse(line));
    const expected = sign(secret, 'server', ...parts, accept.vm, accept.incarnation);
    if (!verify(accept.mac, expected)) throw new Error('peer does not know the secret');
    const key = sign(secret, 'session', ...parts);
    return { key, peer: { vm: accept.vm, incarnation: accept.incarnation }, remainder };
  });
