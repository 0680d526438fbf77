import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Route, RoutedWorkspace, ServiceInfo } from '@hemlocksill/types/routing.js';
import type { ResponseHead, ForwardedCall } from '@hemlocksill/types/routing-ports.js';
import type { RouteTable } from '@hemlocksill/routing/route-table.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** Shortest and longest time that a refusal asks a caller to wait. */
const leastRetryMs = 100;
const mostRetryMs = 10_000;

/** Share by which the time to return is spread, so that those refused don't come together. */
const retrySpread = 0.3;

/** A caller's request on its way through the router. */
export interface CallContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly arrivedAt: number;
  readonly table: RouteTable;
  readonly route: Route;
  readonly service: ServiceInfo;
  readonly workspace: RoutedWorkspace | undefined;
  readonly call: ForwardedCall;
  /** Time at which a final answer is due: the caller's deadline or the route's timeout. */
  readonly timeoutAt: number;
  /** What the request was charged. */
  readonly cost: number;
}

/** How a request ended, for logs and metrics. */
export type CallEnd = 'answered' | 'refused' | 'failed' | 'left';

/** Answers a caller exactly once. */
export interface Responder {
  readonly isOpen: () => boolean;
  readonly hasHead: () => boolean;
  readonly head: (head: ResponseHead) => void;
  readonly write: (bytes: Buffer) => void;
  readonly end: () => void;
  readonly whole: (head: ResponseHead, body: Buffer) => void;
  /** Says that the request has not run and when to come back. */
  readonly refuse: (
    status: 429 | 503,
    retryAfterMs: number,
    reason: string,
    inputs?: Readonly<Record<string, unknown>>,
  ) => void;
  /** Says that the outcome is not known, or breaks off an answer that has begun. */
  readonly fail: (status: 502 | 504, reason: string) => void;
  /** Calls back once when the caller leaves before the end. */
  readonly onLeave: (callback: () => void) => void;
}

/** What a responder reports to. */
export interface ResponderHooks {
  readonly log: LogRouterEvent;
  readonly metrics: RouterMetrics;
  readonly random: () => number;
  readonly now: () => number;
  /** Whether connections are to be closed after their answer. */
  readonly isLeaving: () => boolean;
}

/** Ends a request with an answer of the router's own. */
export const sendOwnAnswer = (
  res: ServerResponse,
  status: number,
  error: string,
  outcome: 'not-run' | 'outcome-unknown',
  headers: Readonly<Record<string, string>>,
): void => {
  const body = JSON.stringify({ error, outcome });
  res.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  res.end(body);
};

/**
 * Makes the responder of a request.
 *
 * @example
 * makeResponder(ctx, hooks).refuse(503, 800, 'no memory in time');
 */
export const makeResponder = (ctx: CallContext, hooks: ResponderHooks): Responder => {
  const { res, route } = ctx;
  const { log, metrics } = hooks;
  const leaveCallbacks: (() => void)[] = [];
  let ended = false;
  /** Pieces of the answer that were passed on. */
  let writes = 0;

  const record = (end: CallEnd, fields: Readonly<Record<string, unknown>>): void => {
    if (ended) return;
    ended = true;
    metrics.open.dec();
    metrics.ended.inc({ kind: route.kind, outcome: end });
    const ids = {
      id: ctx.call.metadata.id,
      route: route.name,
      kind: route.kind,
      workspace: ctx.workspace?.name,
      cost: ctx.cost,
      ms: Math.round(hooks.now() - ctx.arrivedAt),
      version: ctx.table.config.version,
    };
    const event = { answered: 2301, refused: 2302, failed: 2303, left: 2304 } as const;
    log(event[end], { ...ids, ...fields });
  };

  metrics.open.inc();
  res.on('close', () => {
    if (ended) return;
    record('left', { hadHead: res.headersSent });
    leaveCallbacks.forEach((callback) => callback());
  });
  // A caller's reset also closes the response, which is handled above.
  res.on('error', () => {});

  const writeHead = (head: ResponseHead, length?: number): void => {
    metrics.firstByteMs.observe({ kind: route.kind }, hooks.now() - ctx.arrivedAt);
    const headers = head.headers.flatMap(([name, value]) => [name, value]);
    const hasLength = head.headers.some(([name]) => name === 'content-length');
    if (!head.isFramed) {
      // Nobody can tell whether an answer that only ended with its connection was whole, so
      // it is passed on as it came.
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
    } else if (length !== undefined && !hasLength) headers.push('content-length', String(length));
    if (hooks.isLeaving()) headers.push('connection', 'close');
    res.writeHead(head.status, headers);
  };

  return {
    isOpen: () => !ended,
    hasHead: () => res.headersSent,
    head: writeHead,
    write: (bytes) => {
      writes += 1;
      res.write(bytes);
    },
    end: () => {
      record('answered', { status: res.statusCode, writes });
      res.end();
    },
    whole: (head, body) => {
      if (ended) return;
      record('answered', { status: head.status });
      writeHead(head, body.length);
      res.end(body);
    },
    refuse: (status, retryAfterMs, reason, inputs = {}) => {
      if (ended) return;
      const spread = retryAfterMs * (1 + retrySpread * hooks.random());
      const retryMs = Math.min(mostRetryMs, Math.max(leastRetryMs, spread));
      record('refused', { status, reason, retryMs: Math.round(retryMs), ...inputs });
      sendOwnAnswer(res, status, reason, 'not-run', {
        'retry-after': (retryMs / 1_000).toFixed(2),
        ...(hooks.isLeaving() ? { connection: 'close' } : {}),
      });
    },
    fail: (status, reason) => {
      if (ended) return;
      record('failed', { status, reason, hadHead: res.headersSent });
      if (res.headersSent) res.destroy();
      else sendOwnAnswer(res, status, reason, 'outcome-unknown', {});
    },
    onLeave: (callback) => {
      leaveCallbacks.push(callback);
    },
  };
};
