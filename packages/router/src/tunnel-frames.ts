import type { Socket } from 'node:net';

/**
 * Field of a CONNECT request, and of its answer, by which both VMs agree on frames. VMs of earlier versions don't know
 * it; the bytes are forwarded unframed between them.
 */
export const framingField = 'Tunnel-Framing';
export const framing = 'length-prefix';

/** Size of the length that comes before the bytes of a frame. A frame of length 0 is the end. */
const lengthBytes = 4;

const makeLength = (length: number): Buffer => {
  const prefix = Buffer.alloc(lengthBytes);
  prefix.writeUInt32BE(length);
  return prefix;
};

const endFrame = makeLength(0);

/** Reads frames from pieces that are cut anywhere. */
interface FrameDecoder {
  /** Returns the bytes that a piece holds, joined, or undefined if it goes on behind the end. */
  readonly decode: (piece: Buffer) => Buffer | undefined;
  /** Whether the end was received. */
  readonly hasEnded: () => boolean;
}

const makeFrameDecoder = (): FrameDecoder => {
  const prefix = Buffer.alloc(lengthBytes);
  let prefixBytes = 0;
  let missingBytes = 0;
  let isEnded = false;
  return {
    hasEnded: () => isEnded,
    decode: (piece) => {
      // A piece can hold a frame for each byte, and a buffer for each would take a hundred times its content.
      let joined: Buffer | undefined;
      let joinedBytes = 0;
      let at = 0;
      while (at < piece.length) {
        if (isEnded) return undefined;
        if (missingBytes > 0) {
          const end = Math.min(piece.length, at + missingBytes);
          if (joinedBytes === 0 && end === piece.length) joined = piece.subarray(at);
          else {
            joined ??= Buffer.allocUnsafe(piece.length - at);
            piece.copy(joined, joinedBytes, at, end);
          }
          joinedBytes += end - at;
          missingBytes -= end - at;
          at = end;
        } else {
          const copied = piece.copy(prefix, prefixBytes, at);
          at += copied;
          prefixBytes += copied;
          if (prefixBytes === lengthBytes) {
            prefixBytes = 0;
            missingBytes = prefix.readUInt32BE();
            isEnded = missingBytes === 0;
          }
        }
      }
      return joined?.subarray(0, joinedBytes) ?? Buffer.alloc(0);
    },
  };
};

/**
 * Forwards what a socket receives as frames, and its end as a frame of its own.
 *
 * @example
 * forwardAsFrames(server, otherVm);
 */
export const forwardAsFrames = (from: Socket, to: Socket): void => {
  from.on('data', (chunk: Buffer) => {
    if (to.destroyed) return;
    to.cork();
    to.write(makeLength(chunk.length));
    const hasRoom = to.write(chunk);
    to.uncork();
    if (!hasRoom) from.pause();
  });
  to.on('drain', () => from.resume());
  from.on('end', () => to.end(endFrame));
};

const makeBreakError = (): Error =>
  Object.assign(new Error('the VM that forwards the connection broke it off'), {
    code: 'ERR_TUNNEL_BROKEN',
  });

/**
 * Makes a socket return the bytes of the frames that it receives; to be called before it is read. The operating system
 * ends the connections of a killed process in the regular way: an end without its frame is an error, reported once
 * what came before it is read.
 *
 * @example
 * readFrames(socket);
 * socket.on('end', () => accept(body)); // the other VM forwarded all of it
 * socket.on('error', () => discard(body));
 */
export const readFrames = (socket: Socket): void => {
  const decoder = makeFrameDecoder();
  const push = socket.push.bind(socket);
  const read = socket.read.bind(socket);
  let readBytes = 0;
  let isBroken = false;

  const destroyOnceRead = (): void =>
    process.nextTick(() => {
      if (socket.readableLength === 0) socket.destroy(makeBreakError());
    });

  const breakOff = (): boolean => {
    isBroken = true;
    destroyOnceRead();
    return false;
  };

  Object.assign(socket, {
    push: (piece: Buffer | null): boolean => {
      if (isBroken) return false;
      if (piece === null) return decoder.hasEnded() ? push(null) : breakOff();
      const bytes = decoder.decode(piece);
      if (!bytes) return breakOff();
      readBytes += bytes.length;
      // Also a part without bytes tells the stream that its read has ended; it would not read again.
      return push(bytes);
    },
    read: (size?: number): unknown => {
      const chunk: unknown = read(size);
      if (isBroken) destroyOnceRead();
      return chunk;
    },
  });
  // Callers measure by it what a server sends.
  Object.defineProperty(socket, 'bytesRead', { get: () => readBytes });
};
