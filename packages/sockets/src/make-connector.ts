import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { readAnswers } from './read-answers.js';

/**
 * Creates a connector of the HTTP client by which a response whose connection is reset is an error, also one
 * without a length, and by which what is read is handled in slices.
 *
 * @param options - those of the HTTP client's own connector, such as `timeout` in milliseconds
 * @param prepare - prepares each connection
 * @example
 * const agent = new Agent({ connect: makeConnector({ timeout: 500 }) });
 */
export const makeConnector = (
  options: buildConnector.BuildOptions = {},
  prepare: (socket: Socket) => unknown = readAnswers,
): buildConnector.connector => {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      if (socket) prepare(socket);
      callback(...result);
    });
};
