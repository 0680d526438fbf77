import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Route, RoutedWorkspace, ServiceInfo } from '@hemlocksill/types/routing.js';
import type {
  ResponseFlow,
  ResponseHead,
  ForwardedCall,
} from '@hemlocksill/types/routing-ports.js';
import type { StreamOrigin } from '@hemlocksill/routing/stream-origins.js';
import type { RouteTable } from '@hemlocksill/routing/route-table.js';
import { startReadTimeout } from '@hemlocksill/timers/read-timeout.js';
import type { CallerFlows } from './caller-flows.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** Limits of the Retry-After of a refusal, including its jitter. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 10_000;

/**
 * Random share added to Retry-After, so that refused callers do not return all at the same time.
 */
export const retryAfterJitter = 0.3;

/**
 * Adds jitter to the time after which a caller may come back and keeps it within limits.
 *
 * @example
 * spreadRetryAfterMs(1_000, () => 0); // 1000
 */
export const spreadRetryAfterMs = (retryAfterMs: number, random: () => number): number =>
  Math.min(
    maxRetryAfterMs,
    Math.max(minRetryAfterMs, retryAfterMs * (1 + retryAfterJitter * random())),
  );

/** A request in progress, after the filters. */
export interface CallContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly arrivedAt: number;
  /** Time from which the latency objective counts; later than the arrival if the origin was sought. */
  readonly objectiveFrom: number;
  readonly table: RouteTable;
  readonly route: Route;
  readonly service: ServiceInfo;
  readonly workspace: RoutedWorkspace | undefined;
  readonly call: ForwardedCall;
  /** Identifies the request among others, see `fingerprintRequest`. */
  readonly fingerprint: string;
  /** What a backend server may crash on: the parts of a stream's prompt, and the whole request. */
  readonly crashParts: readonly string[];
  /**
   * Time by which the response must be complete: the earlier of the caller's deadline and the
   * route's timeout.
   */
  readonly timeoutAt: number;
  /** Where the stream began that the caller takes up; undefined for a new one. */
  readonly origin: StreamOrigin | undefined;
  /** Cost charged to the workspace. */
  readonly cost: number;
}

/** Outcome of a request, for logs and metrics; `left` means that the client disconnected. */
export type RequestOutcome = 'answered' | 'refused' | 'failed' | 'left';

/** Sends a caller exactly one response. */
export interface Responder {
  readonly isOpen: () => boolean;
  readonly hasSentHead: () => boolean;
  readonly sendHead: (head: ResponseHead) => void;
  readonly write: (bytes: Buffer) => void;
  /** Whether the caller reads what was written. */
  readonly flow: ResponseFlow;
  readonly end: () => void;
  /** `server` is the backend server that the response comes from. */
  readonly sendComplete: (head: ResponseHead, body: Buffer, server: string) => void;
  /** Responds that the request has not run, with a Retry-After. */
  readonly refuse: (
    status: 429 | 503,
    retryAfterMs: number,
    reason: string,
    inputs?: Readonly<Record<string, unknown>>,
  ) => void;
  /** Responds that the outcome is unknown, or breaks the response off if its head was sent. */
  readonly fail: (status: 502 | 504, reason: string) => void;
  /** Registers a callback that runs if the client disconnects before the response ends. */
  readonly onDisconnect: (callback: () => void) => void;
  /** Registers the callback that abandons the request: at its timeout, or when the VM stops. */
  readonly onAbandon: (callback: AbandonRequest) => void;
}

/** Ends a request for which there is no more time, with this status if it may have run. */
export type AbandonRequest = (
  status: 502 | 504,
  when: 'before the timeout' | 'before the VM stopped',
) => void;

/** Dependencies of a responder. */
export interface ResponderHooks {
  readonly log: LogRouterEvent;
  readonly metrics: RouterMetrics;
  readonly random: () => number;
  readonly now: () => number;
  /** Whether connections must be closed after their last response. */
  readonly isShuttingDown: () => boolean;
  /** Whether no request has arrived behind the one of a response. */
  readonly isLast: (res: ServerResponse) => boolean;
  /** Callbacks that abandon the responses in progress, for the end of the grace period. */
  readonly abandonAtStop: Set<() => void>;
  readonly flows: CallerFlows;
}

/** Whether the connection is to be closed after a response; requests that have arrived behind it are answered first. */
export const isLastAtStop = (
  { isShuttingDown, isLast }: Pick<ResponderHooks, 'isShuttingDown' | 'isLast'>,
  res: ServerResponse,
): boolean => isShuttingDown() && isLast(res);

/** Writes the head of an error response that the router itself produced, and returns its body. */
const writeErrorHead = (
  res: ServerResponse,
  status: number,
  error: string,
  outcome: 'not-run' | 'outcome-unknown',
  headers: Readonly<Record<string, string>>,
): string => {
  const body = JSON.stringify({ error, outcome });
  res.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  return body;
};

/** Sends an error response that the router itself produced. */
export const sendRouterResponse = (...args: Parameters<typeof writeErrorHead>): void => {
  args[0].end(writeErrorHead(...args));
};

/** Sends an error response without ending it, which would close the connection. */
export const beginRouterResponse = (...args: Parameters<typeof writeErrorHead>): void => {
  args[0].write(writeErrorHead(...args));
};

/**
 * Makes the responder of a request and counts the request as open.
 *
 * @example
 * makeResponder(ctx, hooks).refuse(503, 800, 'no memory in time');
 */
export const makeResponder = (ctx: CallContext, hooks: ResponderHooks): Responder => {
  const { res, route } = ctx;
  const { log, metrics } = hooks;
  const disconnectCallbacks: (() => void)[] = [];
  let isEnded = false;
  /** Time from the arrival of the request to the head of its response, once it was sent. */
  let firstMs: number | undefined;
  /** Number of chunks of the response that were forwarded. */
  let writes = 0;
  /** Whether the caller recognizes a truncated response, by its length or by its chunks. */
  let isFramed = true;

  const recordEnd = (outcome: RequestOutcome, fields: Readonly<Record<string, unknown>>): void => {
    if (isEnded) return;
    isEnded = true;
    metrics.openRequests.dec();
    metrics.requestsEnded.inc({ kind: route.kind, outcome });
    const ids = {
      id: ctx.call.metadata.id,
      route: route.name,
      kind: route.kind,
      workspace: ctx.workspace?.name,
      request: ctx.fingerprint,
      resumed: ctx.call.metadata.resumedRequest,
      cost: ctx.cost,
      ms: Math.round(hooks.now() - ctx.arrivedAt),
      firstMs,
      version: ctx.table.config.version,
    };
    const event = { answered: 2301, refused: 2302, failed: 2303, left: 2304 } as const;
    log(event[outcome], { ...ids, ...fields });
  };

  const flow = hooks.flows.open(res, { id: ctx.call.metadata.id, route: route.name });

  metrics.openRequests.inc();
  res.on('close', () => {
    if (isEnded) return;
    recordEnd('left', { hadHead: res.headersSent });
    disconnectCallbacks.forEach((callback) => callback());
  });
  // A connection reset also emits `close`, which is handled above.
  res.on('error', () => {});

  const isLength = ([name]: readonly [string, string]): boolean => name === 'content-length';

  /**
   * Sends the head of a response whose body has this length, or follows in pieces. Node sends pieces
   * in chunks: without them, a stream would look complete if this VM were lost between two events.
   */
  const writeHead = (head: ResponseHead, length?: number): void => {
    firstMs = Math.round(hooks.now() - ctx.arrivedAt);
    metrics.firstByteMs.observe({ kind: route.kind }, firstMs);
    // Another engine may go on with a stream, which then has another length.
    const isStream = head.hasBody && length === undefined && head.status < 300;
    const headers = head.headers.filter((header) => !isStream || !isLength(header));
    if (head.hasBody && length !== undefined) {
      if (!head.isFramed) {
        // A backend server that dies may have truncated the response unnoticed. It is forwarded in
        // the same way: with a length it would look complete to the caller.
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
      } else if (!headers.some(isLength)) headers.push(['content-length', String(length)]);
    }
    if (isLastAtStop(hooks, res)) headers.push(['connection', 'close']);
    res.writeHead(head.status, headers.flat());
    isFramed = res.chunkedEncoding || headers.some(isLength);
  };

  /** Closes the connection of a response that was begun, so that it does not look complete. */
  const breakOff = (): void => {
    flow.flush();
    // What was written in this turn is corked until the next tick, when it would be lost.
    res.socket?.uncork();
    if (isFramed) res.destroy();
    else res.socket?.resetAndDestroy();
  };

  return {
    isOpen: () => !isEnded,
    hasSentHead: () => res.headersSent,
    sendHead: writeHead,
    write: (bytes) => {
      writes += 1;
      flow.write(bytes);
    },
    flow,
    end: () => {
      recordEnd('answered', { status: res.statusCode, writes });
      flow.flush();
      res.end();
    },
    sendComplete: (head, body, server) => {
      if (isEnded) return;
      recordEnd('answered', { status: head.status, server });
      writeHead(head, body.length);
      res.end(body);
      flow.recordWrite(body.length);
    },
    refuse: (status, retryAfterMs, reason, inputs = {}) => {
      if (isEnded) return;
      const spreadMs = spreadRetryAfterMs(retryAfterMs, hooks.random);
      recordEnd('refused', { status, reason, retryMs: Math.round(spreadMs), ...inputs });
      sendRouterResponse(res, status, reason, 'not-run', {
        'retry-after': (spreadMs / 1_000).toFixed(2),
        ...(isLastAtStop(hooks, res) ? { connection: 'close' } : {}),
      });
    },
    fail: (status, reason) => {
      if (isEnded) return;
      recordEnd('failed', { status, reason, hadHead: res.headersSent });
      if (res.headersSent) breakOff();
      else sendRouterResponse(res, status, reason, 'outcome-unknown', {});
    },
    onDisconnect: (callback) => {
      disconnectCallbacks.push(callback);
    },
    onAbandon: (callback) => {
      const cancelTimeout = startReadTimeout(
        () => {
          if (!isEnded) callback(504, 'before the timeout');
        },
        Math.max(0, ctx.timeoutAt - hooks.now()),
      );
      const abandonAtStop = (): void => {
        if (!isEnded) callback(502, 'before the VM stopped');
        else breakOff();
      };
      hooks.abandonAtStop.add(abandonAtStop);
      res.on('close', () => {
        cancelTimeout();
        hooks.abandonAtStop.delete(abandonAtStop);
      });
    },
  };
};
