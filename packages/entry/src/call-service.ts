import { err, ok } from 'neverthrow';
import { request } from 'undici';
import {
  assembleFailure,
  refuseBackendUnreachable,
  refuseNoCapacity,
} from '@hemlocksill/errors/refusals.js';
import { chooseOfTwo } from '@hemlocksill/placement/two-choices.js';
import { makeAnswerAgent } from '@hemlocksill/sockets/answer-agent.js';
import { makeConnector } from '@hemlocksill/sockets/make-connector.js';
import { collectAnswer } from '@hemlocksill/sockets/collect-answer.js';
import type { BackendServer, ServiceRoute } from '@hemlocksill/types/config-document.js';
import type { Random } from '@hemlocksill/types/ports.js';
import { readClock } from './clock.js';
import type { ServerStates } from './controllers/server-states.js';
import { classifyHttpError } from './engine-client.js';
import type { Handler, HandlerResult, RequestContext } from './request-context.js';
import { makeRetryBudget } from './retry-budget.js';

const connectTimeoutMs = 500;
const retryAfterMs = 1_000;

/** Maximum size of a response. */
const maxResponseBytes = 16 * 1_024 * 1_024;
const retriableStatuses = [502, 503, 504];

/** Time in milliseconds for which a server is avoided after a failed connection attempt. */
const unreachableAvoidMs = 2_000;

/** Request headers forwarded to a service; the key, cookies and all others are not forwarded. */
const forwardedRequestHeaders = ['content-type', 'accept', 'accept-language', 'if-none-match'];
const forwardedResponseHeaders = [
  'content-type',
  'etag',
  'location',
  'cache-control',
  'retry-after',
];

const assembleHeaders = (ctx: RequestContext): Record<string, string> => {
  const headers: Record<string, string> = { 'x-request-id': ctx.id };
  if (ctx.workspace) headers['x-workspace'] = ctx.workspace.name;
  forwardedRequestHeaders.forEach((name) => {
    const value = ctx.headers[name];
    if (typeof value === 'string') headers[name] = value;
  });
  return headers;
};

type CallFault = 'not-sent' | 'lost' | 'aborted';
type CallResult = { result: HandlerResult } | { fault: CallFault };

/** Dependencies of the service handler. */
export interface CallServiceOptions {
  readonly serverStates: () => ServerStates;
  readonly random: Random;
}

/** Creates the handler that sends a request to a backend server of its route's service. */
export const makeCallService = (
  opts: CallServiceOptions,
): { handler: Handler; close: () => void } => {
  const agent = makeAnswerAgent({ connect: makeConnector({ timeout: connectTimeoutMs }) });
  const openRequests = new Map<string, number>();
  const avoidUntil = new Map<string, number>();
  const retryBudget = makeRetryBudget();

  const chooseServer = (
    ctx: RequestContext,
    route: ServiceRoute,
    triedServers: ReadonlySet<string>,
  ): BackendServer | undefined => {
    const serverStates = opts.serverStates();
    const eligibleServers = [...ctx.snapshot.document.backendServers.values()].filter(
      (server) =>
        server.service === route.service &&
        !serverStates[server.name] &&
        !triedServers.has(server.name),
    );
    const reachableServers = eligibleServers.filter(
      (server) => (avoidUntil.get(server.name) ?? 0) <= readClock(),
    );
    const candidates = reachableServers.length > 0 ? reachableServers : eligibleServers;
    return chooseOfTwo(candidates, (server) => openRequests.get(server.name) ?? 0, opts.random);
  };

  const sendRequest = async (
    ctx: RequestContext,
    route: ServiceRoute,
    server: BackendServer,
  ): Promise<CallResult> => {
    openRequests.set(server.name, (openRequests.get(server.name) ?? 0) + 1);
    // `AbortSignal.timeout` can be collected, and never fire, while only `AbortSignal.any` refers to it.
    const timeout = new AbortController();
    // The head and the body may take the route's timeout each.
    const timer = setTimeout(
      () => timeout.abort(new Error('no answer in time')),
      2 * route.timeoutMs,
    );
    const answer = await collectAnswer(
      request(`${server.url}${ctx.path}${ctx.query}`, {
        method: route.method,
        headers: assembleHeaders(ctx),
        body: ctx.body.length > 0 ? ctx.body : null,
        dispatcher: agent,
        headersTimeout: route.timeoutMs,
        bodyTimeout: route.timeoutMs,
        // A non-idempotent call runs to its end even if the client disconnects.
        signal: route.idempotent
          ? AbortSignal.any([ctx.abort.signal, timeout.signal])
          : timeout.signal,
      }),
      maxResponseBytes,
    );
    clearTimeout(timer);
    openRequests.set(server.name, (openRequests.get(server.name) ?? 1) - 1);
    if (answer.isErr()) return { fault: classifyHttpError(answer.error.error) };
    const { status, headers: receivedHeaders, body } = answer.value;
    const headers: Record<string, string> = {};
    forwardedResponseHeaders.forEach((name) => {
      const value = receivedHeaders[name];
      if (typeof value === 'string') headers[name] = value;
    });
    return { result: ok({ kind: 'complete', status, headers, body }) };
  };

  const isNotSent = (result: CallResult): boolean =>
    'fault' in result && result.fault === 'not-sent';

  const isRetriable = (route: ServiceRoute, result: CallResult): boolean => {
    if (isNotSent(result)) return true;
    if (!route.idempotent) return false;
    if ('fault' in result) return result.fault !== 'aborted';
    const { result: handlerResult } = result;
    return (
      handlerResult.isOk() &&
      handlerResult.value.kind === 'complete' &&
      retriableStatuses.includes(handlerResult.value.status)
    );
  };

  const assembleFaultResult = (route: ServiceRoute, wasSent: boolean): HandlerResult => {
    if (!wasSent)
      return err(refuseBackendUnreachable('no backend server could be connected to', retryAfterMs));
    if (route.idempotent)
      return err(assembleFailure('failed', 'the backend server gave no answer', retryAfterMs));
    return err(
      assembleFailure('outcome-unknown', 'the backend server gave no answer; it may have run'),
    );
  };

  const handler: Handler = async (ctx) => {
    const { route } = ctx;
    if (!route) throw new Error('the service handler was called without a route');
    retryBudget.recordRequest();
    const triedServers = new Set<string>();
    let wasSent = false;
    let lastResult: CallResult | undefined;
    while (!lastResult || (isRetriable(route, lastResult) && retryBudget.tryTakeRetry())) {
      const server = chooseServer(ctx, route, triedServers);
      if (!server) break;
      triedServers.add(server.name);
      lastResult = await sendRequest(ctx, route, server);
      wasSent ||= !isNotSent(lastResult);
      if (isNotSent(lastResult)) avoidUntil.set(server.name, readClock() + unreachableAvoidMs);
    }
    if (!lastResult)
      return err(refuseNoCapacity('no backend server runs this service now', retryAfterMs));
    ctx.usedTokens = wasSent ? route.cost : 0;
    return 'fault' in lastResult ? assembleFaultResult(route, wasSent) : lastResult.result;
  };

  return { handler, close: () => void agent.destroy() };
};
