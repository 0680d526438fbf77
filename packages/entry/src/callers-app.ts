import { randomBytes } from 'node:crypto';
import { Hono } from 'hono';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { err } from 'neverthrow';
import {
  assembleFailure,
  refuseBadRequest,
  refuseVmLeaving,
  refuseNotFound,
  refuseUnprovenConfiguration,
} from '@hemlocksill/errors/refusals.js';
import type { Snapshot } from '@hemlocksill/types/config-document.js';
import type { Refusal } from '@hemlocksill/types/requests.js';
import { readClock } from './clock.js';
import { assembleErrorBody } from './completion-writer.js';
import type { LogEvent } from './events.js';
import { findRoute } from './match-route.js';
import type { Handler, HandlerResult, RequestContext } from './request-context.js';

const retryAfterMs = 2_000;
const requestIdBytes = 12;

/** Handlers of the callers' endpoints, each with its filters composed. */
export interface CallerHandlers {
  readonly text: Handler;
  readonly chat: Handler;
  readonly resume: Handler;
  readonly issueKey: Handler;
  readonly service: Handler;
}

/** Dependencies of the callers' application. */
export interface CallersAppOptions {
  readonly handlers: CallerHandlers;
  readonly snapshot: () => Snapshot | undefined;
  /** Whether the platform's load balancer should send new connections to this VM. */
  readonly isReady: () => boolean;
  /** Whether new requests are refused because the last stage of the shutdown has started. */
  readonly isClosed: () => boolean;
  readonly logEvent: LogEvent;
}

interface CallersEnv {
  Bindings: HttpBindings;
}

const makeContext = (
  env: HttpBindings,
  path: string,
  query: string,
  snapshot: Snapshot,
): RequestContext => {
  const { incoming, outgoing } = env;
  const abort = new AbortController();
  outgoing.on('close', () => {
    if (!outgoing.writableFinished) abort.abort();
  });
  return {
    id: `req-${randomBytes(requestIdBytes).toString('hex')}`,
    receivedAt: readClock(),
    incoming,
    outgoing,
    method: incoming.method ?? 'GET',
    path,
    query,
    headers: incoming.headers,
    snapshot,
    abort,
    isKeyWithdrawn: false,
    hasTimedOut: false,
    hasStreamFailed: false,
    body: Buffer.alloc(0),
    key: undefined,
    workspace: undefined,
    class: 'patient',
    completion: undefined,
    route: undefined,
    usedTokens: 0,
    firstTokenAt: undefined,
    maxTokenGapMs: 0,
    outputTokens: 0,
    wastedPrefillTokens: 0,
  };
};

const writeComplete = (
  ctx: RequestContext,
  status: number,
  headers: Readonly<Record<string, string>>,
  body: string | Buffer,
): void => {
  const { outgoing } = ctx;
  if (outgoing.headersSent || outgoing.destroyed) return;
  outgoing.writeHead(status, {
    ...headers,
    'content-length': Buffer.byteLength(body),
    'x-request-id': ctx.id,
  });
  outgoing.end(body);
};

const writeRefusal = (ctx: RequestContext, refusal: Refusal): void => {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-outcome': refusal.outcome,
  };
  if (refusal.retryAfterMs !== undefined)
    headers['retry-after'] = String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000)));
  // The connection cannot be reused while an unread part of the body is still arriving.
  if (!ctx.incoming.complete) headers.connection = 'close';
  writeComplete(ctx, refusal.status, headers, JSON.stringify(assembleErrorBody(refusal)));
};

/** Writes a result to the caller, unless it was already sent as a stream. */
export const writeResult = (ctx: RequestContext, result: HandlerResult): void => {
  if (result.isErr()) writeRefusal(ctx, result.error);
  else if (result.value.kind === 'complete')
    writeComplete(ctx, result.value.status, result.value.headers, result.value.body);
};

const chooseHandler = (handlers: CallerHandlers, ctx: RequestContext): Handler | undefined => {
  const builtInHandlers: Readonly<Record<string, Handler>> = {
    'POST /v1/completions': handlers.text,
    'POST /v1/chat/completions': handlers.chat,
    'GET /v1/resume': handlers.resume,
    'POST /v1/idempotency-keys': handlers.issueKey,
  };
  const handler = builtInHandlers[`${ctx.method} ${ctx.path}`];
  if (handler) return handler;
  ctx.route = findRoute(ctx.snapshot.document.routes, ctx.method, ctx.path);
  ctx.class = ctx.route?.class ?? 'patient';
  return ctx.route ? handlers.service : undefined;
};

const makeRefusalHandler =
  (refusal: Refusal): Handler =>
  () =>
    Promise.resolve(err(refusal));

/** Creates the HTTP application that serves callers. */
export const makeCallersApp = (opts: CallersAppOptions): Hono<CallersEnv> => {
  const app = new Hono<CallersEnv>();

  app.get('/hemlocksill/health', (c) => c.text('ok'));
  app.get('/hemlocksill/ready', (c) =>
    opts.isReady() ? c.text('ready') : c.text('not ready', 503),
  );

  app.all('*', async (c) => {
    const url = c.env.incoming.url ?? '/';
    const queryStart = url.indexOf('?');
    const path = queryStart < 0 ? url : url.slice(0, queryStart);
    const query = queryStart < 0 ? '' : url.slice(queryStart);
    const snapshot = opts.snapshot();
    if (!snapshot) {
      const refusal = refuseUnprovenConfiguration('this VM has no configuration yet', retryAfterMs);
      c.header('retry-after', '2');
      return c.json(assembleErrorBody(refusal), 503);
    }
    const ctx = makeContext(c.env, path, query, snapshot);
    let handler =
      chooseHandler(opts.handlers, ctx) ?? makeRefusalHandler(refuseNotFound('no such route'));
    if (opts.isClosed())
      handler = makeRefusalHandler(refuseVmLeaving('this VM is leaving', retryAfterMs));
    if (!path.startsWith('/'))
      handler = makeRefusalHandler(refuseBadRequest('the path is not valid'));
    try {
      writeResult(ctx, await handler(ctx));
    } catch (error) {
      opts.logEvent(1006, { request: ctx.id, error: (error as Error).stack });
      writeResult(ctx, err(assembleFailure('outcome-unknown', 'internal error')));
    }
    return RESPONSE_ALREADY_SENT;
  });
  return app;
};
