import type { ServerResponse } from 'node:http';
import { makeBodyBuffer, type BodyBuffer } from '@hemlocksill/sockets/body-buffer.js';

/** Pieces from this size on are written as they are; as many bytes of smaller ones are written together. */
const minOwnWriteBytes = 4 * 1_024;
const maxJoinedBytes = 16 * 1_024;

/** Writes pieces of one response. */
export interface JoinedWrites {
  readonly write: (piece: Buffer) => void;
  /** Writes what waits for an earlier write. */
  readonly flush: () => void;
  /** Number of bytes that wait for an earlier write. */
  readonly getWaitingBytes: () => number;
}

/**
 * Makes the writes of a response. A piece is written at once unless an earlier one is on its way; small ones that
 * come meanwhile are then written together, since each write costs some hundred bytes until its caller has read.
 *
 * @param onWritten - runs when nothing is on its way any more, and what waited has been written
 * @example
 * makeJoinedWrites(res, () => {}).write(Buffer.from('id: 1\n\n'));
 */
export const makeJoinedWrites = (
  res: Pick<ServerResponse, 'write' | 'destroyed'>,
  onWritten: () => void,
): JoinedWrites => {
  let waiting: BodyBuffer | undefined;
  /** Number of writes that the socket has not taken. */
  let openWrites = 0;

  const flush = (): void => {
    const joined = waiting?.take();
    waiting = undefined;
    if (joined) writeNow(joined);
  };

  const endWrite = (): void => {
    openWrites -= 1;
    if (openWrites > 0) return;
    flush();
    onWritten();
  };

  const writeNow = (bytes: Buffer): void => {
    if (res.destroyed) return;
    openWrites += 1;
    res.write(bytes, endWrite);
  };

  return {
    flush,
    getWaitingBytes: () => waiting?.getBytes() ?? 0,
    write: (piece) => {
      if (openWrites === 0 || piece.length >= minOwnWriteBytes) {
        flush();
        writeNow(piece);
        return;
      }
      waiting ??= makeBodyBuffer();
      waiting.append(piece);
      if (waiting.getBytes() >= maxJoinedBytes) flush();
    },
  };
};
