import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Socket } from 'node:net';
import { makeBodyBuffer } from '@hemlocksill/sockets/body-buffer.js';

/** Maximum payload size of one frame, in bytes. */
export const maxFrameBytes = 4 * 1_024 * 1_024;
const lengthBytes = 4;
const macBytes = 16;

/** Direction of a frame; covered by its authentication code. */
export type FrameDirection = 'to-server' | 'to-client';

const computeMac = (
  key: Buffer,
  direction: FrameDirection,
  seq: number,
  payload: Buffer,
): Buffer => {
  const seqBytes = Buffer.alloc(8);
  seqBytes.writeBigUInt64BE(BigInt(seq));
  return createHmac('sha256', key)
    .update(direction)
    .update(seqBytes)
    .update(payload)
    .digest()
    .subarray(0, macBytes);
};

/**
 * Creates a function that writes a text as an authenticated frame (length, authentication
 * code, payload) and returns the number of bytes written.
 *
 * The code covers the direction and a sequence number, so that a frame that is replayed,
 * reflected or reordered fails verification.
 */
export const makeFrameWriter = (socket: Socket, key: Buffer, direction: FrameDirection) => {
  let seq = 0;
  return (text: string): number => {
    const payload = Buffer.from(text);
    const header = Buffer.alloc(lengthBytes);
    header.writeUInt32BE(payload.length);
    socket.write(Buffer.concat([header, computeMac(key, direction, seq, payload), payload]));
    seq += 1;
    return lengthBytes + macBytes + payload.length;
  };
};

/** Callbacks of a frame reader. */
export interface FrameHandlers {
  readonly onPayload: (text: string) => void;
  /** Called once, when a frame is too large or fails verification; later input is ignored. */
  readonly onInvalid: (reason: 'too-large' | 'bad-mac') => void;
}

/** Creates a function that decodes frames; call it with each chunk received from the socket. */
export const makeFrameReader = (
  key: Buffer,
  direction: FrameDirection,
  handlers: FrameHandlers,
) => {
  let pending: Buffer = Buffer.alloc(0);
  /** What was received behind `pending`, which is joined with it once the frame is whole. */
  let received = makeBodyBuffer();
  let neededBytes = lengthBytes + macBytes;
  let seq = 0;
  let hasFailed = false;

  const fail = (reason: 'too-large' | 'bad-mac'): void => {
    hasFailed = true;
    handlers.onInvalid(reason);
  };

  const readFrame = (): boolean => {
    neededBytes = lengthBytes + macBytes;
    if (hasFailed || pending.length < neededBytes) return false;
    const size = pending.readUInt32BE(0);
    if (size > maxFrameBytes) {
      fail('too-large');
      return false;
    }
    const end = lengthBytes + macBytes + size;
    neededBytes = end;
    if (pending.length < end) return false;
    const mac = pending.subarray(lengthBytes, lengthBytes + macBytes);
    const payload = pending.subarray(lengthBytes + macBytes, end);
    if (!timingSafeEqual(mac, computeMac(key, direction, seq, payload))) {
      fail('bad-mac');
      return false;
    }
    seq += 1;
    pending = pending.subarray(end);
    handlers.onPayload(payload.toString());
    return true;
  };

  return (chunk: Buffer): void => {
    if (hasFailed) return;
    received.append(chunk);
    if (pending.length + received.getBytes() < neededBytes) return;
    const taken = received.take();
    pending = pending.length === 0 ? taken : Buffer.concat([pending, taken]);
    received = makeBodyBuffer();
    while (readFrame());
  };
};
