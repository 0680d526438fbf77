import { err } from 'neverthrow';
import {
  refuseBadRequest,
  refuseInvalidKey,
  refuseUnprovenConfiguration,
} from '@hemlocksill/errors/refusals.js';
import { findKey } from '@hemlocksill/revisions/keys.js';
import type { Filter, RequestContext } from '../request-context.js';

const unprovenRetryAfterMs = 2_000;
const singleValueHeaders = ['authorization', 'idempotency-key', 'content-length', 'content-type'];

const findDuplicateHeader = (rawHeaders: readonly string[]): string | undefined => {
  const names = rawHeaders.filter((_, i) => i % 2 === 0).map((name) => name.toLowerCase());
  return singleValueHeaders.find((name) => names.indexOf(name) !== names.lastIndexOf(name));
};

const decodeUriText = (text: string): string => {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
};

/** Whether the path, the query or a header other than Authorization contains the key. */
const isKeyOutsideAuthorization = (ctx: RequestContext, key: string): boolean => {
  const { authorization, ...otherHeaders } = ctx.headers;
  const texts = [ctx.path, ctx.query, decodeUriText(ctx.path), decodeUriText(ctx.query)];
  const headerTexts = Object.values(otherHeaders).map((value) => decodeUriText(String(value)));
  return [...texts, ...headerTexts].some((text) => text.includes(key));
};

/** Rejects duplicate headers, because HTTP implementations interpret them differently. */
export const rejectDuplicateHeaders: Filter = (ctx, next) => {
  const duplicate = findDuplicateHeader(ctx.incoming.rawHeaders);
  return duplicate === undefined
    ? next(ctx)
    : Promise.resolve(err(refuseBadRequest(`the header ${duplicate} is given twice`)));
};

/**
 * Creates the filter that finds the workspace by the key of the request. Requests with a key are
 * refused while the configuration is not proven current, because the key may have been withdrawn.
 */
export const makeAuthenticate =
  (isProven: () => boolean): Filter =>
  async (ctx, next) => {
    if (ctx.route?.open) return next(ctx);
    if (!isProven())
      return err(
        refuseUnprovenConfiguration(
          'the configuration is not proven current',
          unprovenRetryAfterMs,
        ),
      );
    const key = /^Bearer (\S+)$/i.exec(ctx.headers.authorization ?? '')?.[1] ?? '';
    const record = findKey(ctx.snapshot.keys, key);
    const workspace = record && ctx.snapshot.document.workspaces.get(record.workspace);
    if (!record || !workspace) return err(refuseInvalidKey('the key is not valid here'));
    if (isKeyOutsideAuthorization(ctx, key))
      return err(refuseBadRequest('the key may stand in the Authorization header only'));
    ctx.key = record;
    ctx.workspace = workspace;
    return next(ctx);
  };

/** Rejects bodies that contain the key, because a backend server would receive it. */
export const rejectKeyInBody: Filter = (ctx, next) => {
  const key = /^Bearer (\S+)$/i.exec(ctx.headers.authorization ?? '')?.[1];
  const body = ctx.body.toString('latin1');
  const hasKeyInBody =
    key !== undefined && (body.includes(key) || decodeUriText(body).includes(key));
  return hasKeyInBody
    ? Promise.resolve(err(refuseBadRequest('the body must not hold the key')))
    : next(ctx);
};
