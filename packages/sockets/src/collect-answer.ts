import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { framingErrorCode } from './answer-client.js';
import { makeBodyBuffer } from './body-buffer.js';

/** Why an answer was not read. */
export type AnswerFault =
  /** Its body, or what is outside it, is larger than allowed. */
  | { readonly kind: 'too-large'; readonly error: Error }
  /** It was broken off, or did not come. */
  | { readonly kind: 'broken'; readonly error: Error };

/** A whole answer. */
export interface Answer {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData['headers'];
  readonly body: Buffer;
}

const toFault = (error: unknown): AnswerFault => {
  const { code } = error as { code?: string };
  return {
    kind: code === framingErrorCode ? 'too-large' : 'broken',
    error: error instanceof Error ? error : new Error('unknown error', { cause: error }),
  };
};

/**
 * Reads the body of an answer. The connection of one that is too large is closed, since the rest may have no end.
 *
 * @param maxBytes - maximum size of the body
 * @param onPiece - called when a part of it was received
 * @example
 * const body = await collectBody(res, 64 * 1_024);
 */
export const collectBody = (
  { body, headers }: Pick<Dispatcher.ResponseData, 'body' | 'headers'>,
  maxBytes: number,
  onPiece = (): void => {},
): Promise<Result<Buffer, AnswerFault>> =>
  new Promise((resolve) => {
    const buffer = makeBodyBuffer();
    const statedBytes = Number(headers['content-length'] ?? 0);
    const fail = (fault: AnswerFault): void => {
      buffer.clear();
      resolve(err(fault));
    };
    body.on('error', (error) => fail(toFault(error)));
    body.on('data', (piece: Buffer) => {
      if (Math.max(statedBytes, buffer.getBytes() + piece.length) > maxBytes) {
        fail({
          kind: 'too-large',
          error: new Error(`the body is larger than its max size of ${maxBytes} bytes`),
        });
        body.destroy();
        return;
      }
      buffer.append(piece);
      onPiece();
    });
    body.on('end', () => resolve(ok(buffer.take())));
    body.on('close', () => fail({ kind: 'broken', error: new Error('the answer was closed') }));
  });

/**
 * Reads a whole answer within a bound on the size of its body. The time limit is that of the request's `signal`.
 *
 * @param sent - the request as it was sent
 * @param maxBytes - maximum size of the body
 * @param onPiece - called when a part of the body was received
 * @example
 * const answer = await collectAnswer(request(url, { dispatcher, signal }), 64 * 1_024);
 * if (answer.isOk()) JSON.parse(answer.value.body.toString('utf8'));
 */
export const collectAnswer = async (
  sent: Promise<Dispatcher.ResponseData>,
  maxBytes: number,
  onPiece?: () => void,
): Promise<Result<Answer, AnswerFault>> => {
  try {
    const res = await sent;
    const body = await collectBody(res, maxBytes, onPiece);
    return body.map((bytes) => ({ status: res.statusCode, headers: res.headers, body: bytes }));
  } catch (error) {
    return err(toFault(error));
  }
};
