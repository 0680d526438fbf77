import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ReadCallMetadata } from '@hemlocksill/types/routing-ports.js';
import type { RouteTable } from '@hemlocksill/routing/route-table.js';
import {
  beginRouterResponse,
  isLastAtStop,
  sendRouterResponse,
  spreadRetryAfterMs,
  type ResponderHooks,
} from './call-context.js';
import { describePart } from './crash-watch.js';
import { hasBody, type BodyFault, type RequestBody } from './request-body.js';

/** Error response of a filter; the request is not run. */
export interface Rejection {
  readonly status: 400 | 401 | 404 | 408 | 413 | 417 | 429 | 431 | 503;
  readonly reason: string;
  readonly retryAfterMs?: number;
  readonly workspace?: string;
  readonly cost?: number;
  /** Level of the workspace's token bucket, in cost units. */
  readonly bucketLevel?: number;
  /** Blocked part of the request. */
  readonly part?: string;
  /** Whether the connection is closed, since the rest of the body may have no end. */
  readonly closesConnection?: boolean;
  /** Limit of the VM that the caller met. */
  readonly limit?: 'body-time';
}

/** Refuses a request whose body exceeds the limit of the configuration. */
export const tooLargeRejection: Rejection = {
  status: 413,
  reason: 'the body is too large',
  closesConnection: true,
};

/** Refuses a request whose body has not ended when its time is over. */
const lateRejection: Rejection = {
  status: 408,
  reason: 'the body did not arrive in time',
  closesConnection: true,
  limit: 'body-time',
};

/** Refuses a request for whose body there is no memory; another VM may have some. */
const noRoomRejection: Rejection = {
  status: 503,
  reason: 'no memory for the body',
  retryAfterMs: 1_000,
  closesConnection: true,
};

/** The refusals of requests whose bodies were not received. */
export const bodyRejections: Readonly<Record<BodyFault, Rejection>> = {
  'too-large': tooLargeRejection,
  late: lateRejection,
  'no-room': noRoomRejection,
};

/** Dependencies of a rejection. */
export interface RejectDeps {
  readonly getTable: () => RouteTable | undefined;
  readonly readMetadata: ReadCallMetadata;
  readonly hooks: Pick<ResponderHooks, 'log' | 'metrics' | 'random' | 'isShuttingDown' | 'isLast'>;
}

/** Bytes of a refused body that are read until a configuration is known. */
const defaultMaxDiscardedBytes = 4 * 1_024 * 1_024;

/** Time in which the rest of a refused body must arrive if its connection is kept. */
const discardTimeoutMs = 5_000;

/** Time that a caller has to read its refusal before the connection is closed. */
const lingerTimeoutMs = 2_000;

/** A request that is refused. */
export interface RejectedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly body: RequestBody;
}

const sendRejection = (
  { getTable, hooks }: RejectDeps,
  { req, res, body }: RejectedRequest,
  { status, reason, retryAfterMs, closesConnection = false }: Rejection,
  id: string | undefined,
): void => {
  // The end of the grace period refuses what is still waiting for its turn.
  if (res.headersSent) return;
  const { log, random, metrics } = hooks;
  const isLast = closesConnection || isLastAtStop(hooks, res);
  const headers = {
    ...(retryAfterMs === undefined
      ? {}
      : {
          'retry-after': (spreadRetryAfterMs(retryAfterMs, random) / 1_000).toFixed(2),
        }),
    ...(isLast ? { connection: 'close' } : {}),
  };
  const maxBytes = getTable()?.config.limits.maxBodyBytes ?? defaultMaxDiscardedBytes;
  if (req.complete || !hasBody(req)) sendRouterResponse(res, status, reason, 'not-run', headers);
  else if (isLast) {
    // The end of the response closes the connection.
    beginRouterResponse(res, status, reason, 'not-run', headers);
    body.discard({ maxBytes, timeoutMs: lingerTimeoutMs }, () => res.end());
  } else {
    sendRouterResponse(res, status, reason, 'not-run', headers);
    body.discard({ maxBytes, timeoutMs: discardTimeoutMs }, (isWhole) => {
      if (isWhole) return;
      log(2321, { limit: 'rest-of-body', id, port: req.socket.remotePort });
      metrics.callerLimits.inc({ limit: 'rest-of-body' });
      req.socket.destroy();
    });
  }
};

/**
 * Refuses a request, and reads what is left of its body within bounds.
 *
 * @example
 * rejectRequest(deps, { req, res, body }, { status: 404, reason: 'no route matches' });
 */
export const rejectRequest = (
  deps: RejectDeps,
  request: RejectedRequest,
  rejection: Rejection,
): void => {
  const { req, res } = request;
  const { getTable, readMetadata, hooks } = deps;
  const { log, metrics } = hooks;
  const { status, reason } = rejection;
  const config = getTable()?.config;
  const readResult = readMetadata(req.rawHeaders);
  const id = 'metadata' in readResult ? readResult.metadata.id : undefined;
  log(2308, {
    id,
    status,
    reason,
    version: config?.version ?? null,
    workspace: rejection.workspace,
    cost: rejection.cost,
    bucketLevel: rejection.bucketLevel,
    ...(rejection.part === undefined ? {} : describePart(rejection.part)),
    method: req.method,
    port: req.socket.remotePort,
  });
  if (rejection.limit !== undefined) metrics.callerLimits.inc({ limit: rejection.limit });
  const send = (): void => sendRejection(deps, request, rejection, id);
  // While a VM stops, a refusal behind others waits for them: it closes the connection if nothing has come behind it.
  if (res.socket === null && hooks.isShuttingDown()) res.once('socket', send);
  else send();
};
