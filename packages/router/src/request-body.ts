import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { makeBodyBuffer } from '@hemlocksill/routing/body-buffer.js';
import { startReadTimeout } from '@hemlocksill/timers/read-timeout.js';
import type { CallerRequest } from './caller-connections.js';

/** Why the body of a request was not received. */
export type BodyFault = 'too-large' | 'late' | 'no-room';

/** Bounds of a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time by which the body must have arrived, on the clock of `now`. */
  readonly timeoutAt: number;
  readonly now: () => number;
  readonly callerRequest: CallerRequest;
}

/**
 * Whether the head of a request announces a body.
 *
 * @example
 * hasBody(req); // false for most GET requests
 */
export const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/**
 * Receives the body of a request; the rest of one that exceeds its bounds is left unread.
 *
 * @param onDone - called once, unless the connection closes before
 * @example
 * receiveBody(req, { maxBytes: 4_194_304, timeoutAt: now() + 14_000, now, callerRequest }, (body) => {});
 */
export const receiveBody = (
  req: IncomingMessage,
  { maxBytes, timeoutAt, now, callerRequest }: BodyLimits,
  onDone: (body: Result<Buffer, BodyFault>) => void,
): void => {
  const buffer = makeBodyBuffer();
  const stop = (): void => {
    cancelTimeout();
    req.off('data', onData);
    req.off('end', onEnd);
  };
  const finish = (body: Result<Buffer, BodyFault>): void => {
    stop();
    onDone(body);
  };
  const fail = (fault: BodyFault): void => {
    // The request stays until its rest has been read.
    buffer.clear();
    callerRequest.recordBody(0);
    finish(err(fault));
  };
  const onData = (piece: Buffer): void => {
    buffer.append(piece);
    if (buffer.getBytes() > maxBytes) fail('too-large');
    else callerRequest.recordBody(buffer.getHeldBytes());
  };
  const onEnd = (): void => {
    const body = buffer.take();
    callerRequest.recordBody(body.length);
    finish(ok(body));
  };
  const cancelTimeout = hasBody(req)
    ? startReadTimeout(() => fail('late'), Math.max(0, timeoutAt - now()))
    : () => {};
  callerRequest.onNoRoom(() => fail('no-room'));
  req.on('data', onData);
  req.on('end', onEnd);
  // The responder handles the disconnect through the `close` event of the response.
  req.on('error', () => {});
  req.on('close', stop);
};

/**
 * Reads and discards what is left of the body of a request that was refused. A connection that is closed with
 * bytes unread is reset, and the reset may reach the caller before the refusal.
 *
 * @param onDone - called once, with whether the body has ended; not if the connection closes before
 * @example
 * discardBody(req, { maxBytes: 65_536, timeoutMs: 2_000 }, (isWhole) => {});
 */
export const discardBody = (
  req: IncomingMessage,
  { maxBytes, timeoutMs }: { readonly maxBytes: number; readonly timeoutMs: number },
  onDone: (isWhole: boolean) => void,
): void => {
  let bytes = 0;
  const finish = (isWhole: boolean): void => {
    cancelTimeout();
    onDone(isWhole);
  };
  // A caller that goes on sending is left the time to read the refusal.
  const cancelTimeout = startReadTimeout(() => finish(false), timeoutMs);
  req.on('data', (piece: Buffer) => {
    bytes += piece.length;
    if (bytes > maxBytes) req.pause();
  });
  req.on('end', () => finish(true));
  req.on('error', () => {});
  req.on('close', cancelTimeout);
  req.resume();
};
