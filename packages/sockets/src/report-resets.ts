import type { Socket } from 'node:net';

/** Code of the error of a reset. The HTTP client takes ECONNRESET for the end of a response without a length. */
const resetCode = 'ERR_CONNECTION_RESET';

const makeResetError = (cause?: Error): Error =>
  Object.assign(new Error('the connection was reset', { cause }), { code: resetCode });

type WriteCallback = (err?: NodeJS.ErrnoException | null) => void;

/**
 * Makes a reset an error of the socket, never its end; to be called before the socket is read. What the other side
 * sent before is read first, also if it is a write that fails. After a regular end, a reset is no error of what
 * was read.
 *
 * If data and a reset arrive together, libuv reports the end of the data and leaves the error to the next call. A
 * write gets it: ECONNRESET, or EPIPE if the other side had ended the connection before. So the end is reported only
 * after a write of no bytes, or after the turn of the event loop in which the pending writes get the error.
 *
 * @example
 * reportResets(socket);
 * socket.on('end', () => accept(body)); // the other side sent all of it
 * socket.on('error', () => discard(body));
 */
export const reportResets = (socket: Socket): void => {
  const push = socket.push.bind(socket);
  const destroy = socket.destroy.bind(socket);
  const { _write: write, _writev: writeAll } = socket;
  let isWriteClosed = false;
  let isReset = false;

  /** Discards what is written to a closed connection until all that it received is read. */
  const makeWriteCallback =
    (callback: WriteCallback): WriteCallback =>
    (err) => {
      const isClosed = err?.code === 'EPIPE' || err?.code === 'ECONNRESET';
      if (!isClosed || socket.readableEnded) {
        callback(err);
        return;
      }
      if (!isWriteClosed) {
        isWriteClosed = true;
        isReset = err.code === 'ECONNRESET';
        socket.once('end', () => setImmediate(destroy));
      }
      callback();
    };

  const pushEnd = (): void => {
    if (socket.destroyed) return;
    if (isReset) {
      destroy(makeResetError());
      return;
    }
    push(null);
    // Node.js reads once more after an end, so that a stream without data emits it.
    socket.read(0);
  };

  Object.assign(socket, {
    push: (chunk: unknown, encoding?: BufferEncoding): boolean => {
      if (chunk !== null) return push(chunk, encoding);
      if (socket.writableLength > 0) {
        setImmediate(pushEnd);
        return false;
      }
      // A write after the own end would be an error by itself.
      if (socket.writable) socket.write('');
      pushEnd();
      return false;
    },
    destroy: (err?: NodeJS.ErrnoException): Socket =>
      destroy(err?.code === 'ECONNRESET' ? makeResetError(err) : err),
    _write: (chunk: unknown, encoding: BufferEncoding, callback: WriteCallback): void =>
      write.call(socket, chunk, encoding, makeWriteCallback(callback)),
    _writev: (
      chunks: { chunk: unknown; encoding: BufferEncoding }[],
      callback: WriteCallback,
    ): void => writeAll?.call(socket, chunks, makeWriteCallback(callback)),
  });
};
