import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import {
  refuseBadRequest,
  refuseRequestTimeout,
  refuseTooLarge,
} from '@hemlocksill/errors/refusals.js';
import { makeBodyBuffer } from '@hemlocksill/sockets/body-buffer.js';
import type { Refusal } from '@hemlocksill/types/requests.js';
import type { Filter } from '../request-context.js';

/** Maximum time for receiving the request body, in milliseconds. */
const bodyTimeoutMs = 10_000;

const collectBody = (
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Refusal>> =>
  new Promise((resolve) => {
    const received = makeBodyBuffer();
    const finish = (result: Result<Buffer, Refusal>): void => {
      clearTimeout(timer);
      incoming.removeAllListeners('data');
      resolve(result);
    };
    const timer = setTimeout(
      () => finish(err(refuseRequestTimeout('the body did not arrive in time'))),
      bodyTimeoutMs,
    );
    if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
      finish(err(refuseTooLarge(`the body has more than ${maxBytes} bytes`)));
      return;
    }
    incoming.on('data', (chunk: Buffer) => {
      if (received.getBytes() + chunk.length > maxBytes)
        finish(err(refuseTooLarge(`the body has more than ${maxBytes} bytes`)));
      else received.append(chunk);
    });
    incoming.on('end', () => finish(ok(received.take())));
    incoming.on('error', () => finish(err(refuseBadRequest('the body broke off'))));
    incoming.on('close', () => finish(err(refuseBadRequest('the body broke off'))));
  });

/** Reads the request body, with limits on its size and time. */
export const readBody: Filter = async (ctx, next) => {
  const { maxBodyBytes } = ctx.snapshot.document.limits;
  const body = await collectBody(ctx.incoming, maxBodyBytes);
  if (body.isErr()) return err(body.error);
  ctx.body = body.value;
  return next(ctx);
};
