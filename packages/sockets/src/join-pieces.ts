import type { Dispatcher } from 'undici';
import { makeBodyBuffer, type BodyBuffer } from './body-buffer.js';

/** Pieces from this size on are passed on as they are. */
const minOwnPieceBytes = 4 * 1_024;

/**
 * Joins the small pieces of a response that one read brings. A server may send a chunk for each byte; what is done
 * for a piece, and what holds it, would cost a hundred times its content.
 *
 * @param handler - gets joined pieces in the next tick, before the end of the response
 * @example
 * client.dispatch(options, joinPieces(handler));
 */
export const joinPieces = (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler => {
  let controller: Dispatcher.DispatchController | undefined;
  /** The first piece of a read, and all of them once there are several. */
  let first: Buffer | undefined;
  let joined: BodyBuffer | undefined;

  const flush = (): void => {
    const pieces = joined?.take() ?? first;
    first = undefined;
    joined = undefined;
    if (pieces && controller) handler.onResponseData?.(controller, pieces);
  };

  /** An exception, which the HTTP client takes for a fault of the response, would end the process here. */
  const flushLater = (): void => {
    try {
      flush();
    } catch (error) {
      controller?.abort(error instanceof Error ? error : new Error(String(error)));
    }
  };

  return {
    onRequestStart: (startController, context) =>
      handler.onRequestStart?.(startController, context),
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (dataController, piece) => {
      controller = dataController;
      if (piece.length >= minOwnPieceBytes) {
        flush();
        handler.onResponseData?.(dataController, piece);
        return;
      }
      if (!first) {
        first = piece;
        process.nextTick(flushLater);
        return;
      }
      if (!joined) {
        joined = makeBodyBuffer();
        joined.append(first);
      }
      joined.append(piece);
    },
    onResponseEnd: (endController, trailers) => {
      flush();
      handler.onResponseEnd?.(endController, trailers);
    },
    onResponseError: (errorController, err) => {
      flush();
      handler.onResponseError?.(errorController, err);
    },
  };
};
