import type { Socket } from 'node:net';
import { Client, type buildConnector, type Dispatcher } from 'undici';
import { joinPieces } from './join-pieces.js';
import { makeConnector } from './make-connector.js';

/**
 * Maximum number of bytes of an answer outside its body: heads, informational responses and the framing of chunks,
 * which grows with the body.
 */
const maxFramingBytes = 256 * 1_024;
const framingBytesPerBodyByte = 8;

/** Code of the error of an answer with too many bytes outside its body. */
export const framingErrorCode = 'ERR_ANSWER_FRAMING';

const makeFramingError = (): Error =>
  Object.assign(new Error('the answer has too many bytes outside its body'), {
    code: framingErrorCode,
  });

/** The bytes of the answer that is read from a connection. */
interface AnswerBytes {
  /** Number of bytes that the connection had received before. */
  readonly readBefore: number;
  body: number;
  /** Stops if there are too many bytes outside the body. */
  readonly abort: (err: Error) => void;
}

/** Options of the HTTP client, with a connector. */
export interface AnswerClientOptions extends Client.Options {
  readonly connect?: buildConnector.connector;
}

/**
 * Creates a client of one connection that joins the small pieces of an answer, and breaks off one with too many bytes
 * outside its body. It is a `factory` of the HTTP client's pools, too.
 *
 * @example
 * const client = makeAnswerClient('http://127.0.0.1:8229', { headersTimeout: 0 });
 * const answer = await collectAnswer(client.request({ method: 'GET', path: '/' }), 1_024);
 */
export const makeAnswerClient = (
  origin: string | URL,
  { connect = makeConnector(), ...options }: AnswerClientOptions,
): Client => {
  let socket: Socket | undefined;
  let answer: AnswerBytes | undefined;

  const checkFraming = (): void => {
    if (!answer || !socket) return;
    const framingBytes = socket.bytesRead - answer.readBefore - answer.body;
    if (framingBytes <= maxFramingBytes + framingBytesPerBodyByte * answer.body) return;
    const { abort } = answer;
    answer = undefined;
    abort(makeFramingError());
  };

  const countBytes = (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler => {
    let own: AnswerBytes | undefined;
    const end = (): void => {
      if (answer === own) answer = undefined;
    };
    return {
      onRequestStart: (controller, context) => {
        own = {
          readBefore: socket?.bytesRead ?? 0,
          body: 0,
          abort: (err) => controller.abort(err),
        };
        answer = own;
        handler.onRequestStart?.(controller, context);
      },
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart: (...args) => handler.onResponseStart?.(...args),
      onResponseData: (controller, piece) => {
        if (own) own.body += piece.length;
        handler.onResponseData?.(controller, piece);
      },
      onResponseEnd: (...args) => {
        end();
        handler.onResponseEnd?.(...args);
      },
      onResponseError: (...args) => {
        end();
        handler.onResponseError?.(...args);
      },
    };
  };

  const client = new Client(origin, {
    ...options,
    connect: (target, callback) =>
      connect(target, (...result) => {
        socket = result[1] ?? undefined;
        socket?.on('readable', checkFraming);
        callback(...result);
      }),
  });
  const { dispatch } = client.compose(
    (next) => (opts, handler) => next(opts, countBytes(joinPieces(handler))),
  );
  return Object.assign(client, { dispatch });
};
