import type { Socket } from 'node:net';

/**
 * Whether the connection of a socket that just ended was reset. If data and a reset arrive
 * together, libuv reports the end of the data and leaves the error of the reset to the next call;
 * a write of no bytes fetches it.
 *
 * @example
 * socket.on('end', () => isResetPending(socket));
 */
export const isResetPending = (socket: Socket): boolean => {
  // A write after the own end would be an error by itself.
  if (socket.writable) socket.write('');
  return socket.errored !== null;
};
