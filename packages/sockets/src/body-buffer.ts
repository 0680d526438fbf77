/** Pieces from this size on are kept as they are; smaller ones are copied into blocks. */
const minOwnPieceBytes = 4 * 1_024;

/** Multiple of its size that a piece may keep in memory; what was read around it stays as long as the piece. */
const maxOwnPieceFactor = 2;

const isKeptAsItIs = (piece: Buffer): boolean =>
  piece.length >= minOwnPieceBytes && piece.buffer.byteLength <= maxOwnPieceFactor * piece.length;

/** Limits of the size of a block, which otherwise doubles what is held. */
const minBlockBytes = 1_024;
const maxBlockBytes = 64 * 1_024;

/** The bytes of a body that is received in pieces. */
export interface BodyBuffer {
  readonly append: (piece: Buffer) => void;
  /** Number of bytes received. */
  readonly getBytes: () => number;
  /** Number of bytes allocated for them. */
  readonly getHeldBytes: () => number;
  /** Returns the whole body and releases the pieces. */
  readonly take: () => Buffer;
  /** Releases the pieces. */
  readonly clear: () => void;
}

/**
 * Makes an empty buffer. Each piece of its own costs more than a hundred bytes besides its content, so that small
 * ones are joined as they come.
 *
 * @example
 * const buffer = makeBodyBuffer();
 * buffer.append(Buffer.from('a'));
 * buffer.take(); // Buffer of 'a'
 */
export const makeBodyBuffer = (): BodyBuffer => {
  let pieces: Buffer[] = [];
  let bytes = 0;
  let heldBytes = 0;
  /** The block at the end of the pieces that is not full, and the number of its bytes in use. */
  let block: Buffer | undefined;
  let usedBytes = 0;
  /** Whether there is only one piece, kept though it is not fit for it: most bodies have no other. */
  let isLone = false;

  /** Ends the block, so that the next piece follows it. */
  const closeBlock = (): void => {
    if (block) pieces[pieces.length - 1] = block.subarray(0, usedBytes);
    block = undefined;
  };

  const keep = (piece: Buffer): void => {
    pieces.push(piece);
    heldBytes += piece.length;
  };

  const openBlock = (): Buffer => {
    // A slice of the shared pool would keep all of it in memory.
    const size = Math.min(maxBlockBytes, Math.max(minBlockBytes, bytes));
    const opened = Buffer.allocUnsafeSlow(size);
    keep(opened);
    block = opened;
    usedBytes = 0;
    return opened;
  };

  const copy = (piece: Buffer): void => {
    let copiedBytes = 0;
    while (copiedBytes < piece.length) {
      const target = block ?? openBlock();
      const count = piece.copy(target, usedBytes, copiedBytes);
      copiedBytes += count;
      usedBytes += count;
      if (usedBytes === target.length) closeBlock();
    }
  };

  /** Copies the lone piece, since another one follows. */
  const copyLone = (): void => {
    const [lone] = pieces;
    if (!isLone || !lone) return;
    clear();
    copy(lone);
  };

  const clear = (): void => {
    isLone = false;
    pieces = [];
    block = undefined;
    heldBytes = 0;
  };

  return {
    clear,
    append: (piece) => {
      copyLone();
      isLone = pieces.length === 0 && !isKeptAsItIs(piece);
      if (isLone || isKeptAsItIs(piece)) {
        closeBlock();
        keep(piece);
      } else copy(piece);
      bytes += piece.length;
    },
    getBytes: () => bytes,
    getHeldBytes: () => heldBytes,
    take: () => {
      closeBlock();
      const [first, ...others] = pieces;
      const whole = first && others.length === 0 ? first : Buffer.concat(pieces, bytes);
      clear();
      return whole;
    },
  };
};
