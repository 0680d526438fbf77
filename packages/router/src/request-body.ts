import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { makeBodyBuffer } from '@hemlocksill/sockets/body-buffer.js';
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
}

/**
 * Whether the head of a request announces a body.
 *
 * @example
 * hasBody(req); // false for most GET requests
 */
export const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/** Bounds on what is read of a refused body. */
export interface DiscardLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

/** The body of a request, which is read from its arrival on. */
export interface RequestBody {
  /**
   * Receives the body; the rest of one that exceeds its bounds is dropped. Calls back once, unless the connection
   * closes before.
   */
  readonly receive: (limits: BodyLimits, onDone: (body: Result<Buffer, BodyFault>) => void) => void;
  /**
   * Reads and discards what is left of the body of a request that was refused. A connection that is closed with
   * bytes unread is reset, and the reset may reach the caller before the refusal. Calls back once, with whether the
   * body has ended, unless the connection closes before.
   */
  readonly discard: (limits: DiscardLimits, onDone: (isWhole: boolean) => void) => void;
}

/**
 * Starts to read the body of a request. A body that nobody reads stays in the HTTP server in its pieces, with an
 * object for each, also while the request waits for its turn.
 *
 * @example
 * const body = readRequestBody(req, callerRequest);
 * body.receive({ maxBytes: 4_194_304, timeoutAt: now() + 14_000, now }, (result) => {});
 */
export const readRequestBody = (
  req: IncomingMessage,
  callerRequest: Pick<CallerRequest, 'recordBody' | 'onNoRoom' | 'stopReading'>,
): RequestBody => {
  const buffer = makeBodyBuffer();
  let isEnded = false;
  let onEnd = (): void => {};
  let cancelTimeout = (): void => {};

  const gather = (piece: Buffer): void => {
    buffer.append(piece);
    callerRequest.recordBody(buffer.getHeldBytes());
  };
  let onPiece = gather;

  /** Drops what was gathered and what comes. */
  const drop = (): void => {
    cancelTimeout();
    onPiece = () => {};
    onEnd = () => {};
    buffer.clear();
    callerRequest.recordBody(0);
  };

  req.on('data', (piece: Buffer) => onPiece(piece));
  req.on('end', () => {
    isEnded = true;
    onEnd();
  });
  // The responder handles the disconnect through the `close` event of the response.
  req.on('error', () => {});
  req.on('close', () => cancelTimeout());

  return {
    receive: ({ maxBytes, timeoutAt, now }, onDone) => {
      const fail = (fault: BodyFault): void => {
        // The request stays until its rest has been read.
        drop();
        onDone(err(fault));
      };
      const checkSize = (): void => {
        if (buffer.getBytes() > maxBytes) fail('too-large');
      };
      onPiece = (piece) => {
        gather(piece);
        checkSize();
      };
      onEnd = () => {
        cancelTimeout();
        const body = buffer.take();
        callerRequest.recordBody(body.length);
        onDone(ok(body));
      };
      if (hasBody(req) && !isEnded)
        cancelTimeout = startReadTimeout(() => fail('late'), Math.max(0, timeoutAt - now()));
      callerRequest.onNoRoom(() => fail('no-room'));
      if (isEnded) onEnd();
      else checkSize();
    },
    discard: ({ maxBytes, timeoutMs }, onDone) => {
      drop();
      if (isEnded) {
        onDone(true);
        return;
      }
      let bytes = 0;
      // A caller that goes on sending is left the time to read the refusal.
      const cancelWait = startReadTimeout(() => onDone(false), timeoutMs);
      cancelTimeout = () => {
        cancelWait();
        req.socket.off('close', cancelTimeout);
      };
      // A request whose response has ended is not closed with its connection.
      req.socket.once('close', cancelTimeout);
      onPiece = (piece) => {
        bytes += piece.length;
        if (bytes > maxBytes) callerRequest.stopReading();
      };
      onEnd = () => {
        cancelTimeout();
        onDone(true);
      };
    },
  };
};
