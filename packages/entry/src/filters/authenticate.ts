import { err } from 'neverthrow';
import {
  refuseBadRequest,
  refuseInvalidKey,
  refuseUnprovenConfiguration,
} from '@hemlocksill/errors/refusals.js';
import { findKey } from '@hemlocksill/revisions/keys.js';
import type { Filter, RequestContext } from '../request-context.js';

const staleRetryAfterMs = 2_000;
const singleHeaders = ['authorization', 'idempotency-key', 'content-length', 'content-type'];

const findDoubledHeader = (rawHeaders: readonly string[]): string | undefined => {
  const names = rawHeaders.filter((_, i) => i % 2 === 0).map((name) => name.toLowerCase());
  return singleHeaders.find((name) => names.indexOf(name) !== names.lastIndexOf(name));
};

const decodeText = (text: string): string => {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
};

/** Whether a key stands anywhere but in the Authorization header. */
const isKeyElsewhere = (ctx: RequestContext, key: string): boolean => {
  const { authorization, ...others } = ctx.headers;
  const texts = [ctx.path, ctx.query, decodeText(ctx.path), decodeText(ctx.query)];
  const headerTexts = Object.values(others).map((v) => decodeText(String(v)));
  return [...texts, ...headerTexts].some((text) => text.includes(key));
};

/** Turns away requests with doubled headers, whose meaning differs between readers. */
export const checkHeaders: Filter = (ctx, next) => {
  const doubled = findDoubledHeader(ctx.incoming.rawHeaders);
  return doubled === undefined
    ? next(ctx)
    : Promise.resolve(err(refuseBadRequest(`the header ${doubled} is given twice`)));
};

/**
 * Finds the workspace by the key of the request. Nothing is answered for a key while the
 * configuration is not proven current.
 */
export const makeIdentify =
  (isProven: () => boolean): Filter =>
  async (ctx, next) => {
    if (ctx.route?.open) return next(ctx);
    if (!isProven())
      return err(
        refuseUnprovenConfiguration('the configuration is not proven current', staleRetryAfterMs),
      );
    const text = /^Bearer (\S+)$/i.exec(ctx.headers.authorization ?? '')?.[1] ?? '';
    const record = findKey(ctx.snapshot.keys, text);
    const workspace = record && ctx.snapshot.document.workspaces.get(record.workspace);
    if (!record || !workspace) return err(refuseInvalidKey('the key is not valid here'));
    if (isKeyElsewhere(ctx, text))
      return err(refuseBadRequest('the key may stand in the Authorization header only'));
    ctx.key = record;
    ctx.workspace = workspace;
    return next(ctx);
  };

/** Turns away bodies that hold the key, since a backend server would see it. */
export const checkBodyForKey: Filter = (ctx, next) => {
  const text = /^Bearer (\S+)$/i.exec(ctx.headers.authorization ?? '')?.[1];
  const body = ctx.body.toString('latin1');
  const found = text !== undefined && (body.includes(text) || decodeText(body).includes(text));
  return found
    ? Promise.resolve(err(refuseBadRequest('the body must not hold the key')))
    : next(ctx);
};
