import { request, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { framing, framingField, readFrames } from './tunnel-frames.js';

/** Why no connection was opened through a VM. */
export type TunnelFault =
  /** The VM answered that it can't reach the server. */
  | 'server-unreachable'
  /** The VM did not answer, or opens no connections for others. */
  | 'relay-unavailable';

const openedStatus = 200;
const serverUnreachableStatus = 502;

/** A field name of HTTP. The parser of Node.js accepts names with blanks, too. */
const fieldNamePattern = /^[\w!#$%&'*+.^`|~-]+$/;

const hasValidHead = ({ rawHeaders }: IncomingMessage): boolean =>
  rawHeaders.every((text, index) => index % 2 === 1 || fieldNamePattern.test(text));

/**
 * Opens a connection to a backend server through another VM, by a CONNECT request to its peers' endpoint. Calls back
 * once.
 *
 * @param relay - peers' address of the VM
 * @param address - address of the server
 * @returns a function that gives the attempt up
 * @example
 * const cancel = openTunnel('10.1.0.26:8229', '10.1.64.9:8080', (result) => {});
 */
export const openTunnel = (
  relay: string,
  address: string,
  onDone: (result: Result<Socket, TunnelFault>) => void,
): (() => void) => {
  const [, host, port] = /^(.+):(\d+)$/.exec(relay) ?? [];
  let isDone = false;
  const finish = (result: Result<Socket, TunnelFault>): void => {
    if (isDone) return;
    isDone = true;
    onDone(result);
  };
  const req = request({
    host,
    port,
    method: 'CONNECT',
    path: address,
    headers: { [framingField]: framing },
    agent: false,
  });
  req.on('connect', (res, socket: Socket, head) => {
    const statusCode = hasValidHead(res) ? res.statusCode : undefined;
    if (statusCode === openedStatus && !isDone) {
      socket.setNoDelay(true);
      if (res.headers[framingField.toLowerCase()] === framing) {
        readFrames(socket);
        if (head.length > 0) socket.push(head);
      }
      finish(ok(socket));
      return;
    }
    socket.destroy();
    finish(
      err(statusCode === serverUnreachableStatus ? 'server-unreachable' : 'relay-unavailable'),
    );
  });
  req.on('error', () => finish(err('relay-unavailable')));
  req.end();
  return () => {
    isDone = true;
    req.destroy();
  };
};
