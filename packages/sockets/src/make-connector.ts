import { buildConnector } from 'undici';
import { reportResets } from './report-resets.js';

/**
 * Creates a connector of the HTTP client by which a response whose connection is reset is an error, also one
 * without a length.
 *
 * @param options - those of the HTTP client's own connector, such as `timeout` in milliseconds
 * @example
 * const agent = new Agent({ connect: makeConnector({ timeout: 500 }) });
 */
export const makeConnector = (
  options: buildConnector.BuildOptions = {},
): buildConnector.connector => {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      if (socket) reportResets(socket);
      callback(...result);
    });
};
