import { err, ok } from 'neverthrow';
import { Agent, request } from 'undici';
import {
  assembleFailure,
  refuseBackendUnreachable,
  refuseNoCapacity,
} from '@hemlocksill/errors/refusals.js';
import { chooseOfTwo } from '@hemlocksill/placement/two-choices.js';
import type { BackendServer, ServiceRoute } from '@hemlocksill/types/config-document.js';
import type { Random } from '@hemlocksill/types/ports.js';
import { readClock } from './clock.js';
import type { ServerStates } from './controllers/server-states.js';
import { classifyHttpError } from './engine-client.js';
import type { Handler, ReplyResult, RequestContext } from './request-context.js';
import { makeRetryBudget } from './retry-budget.js';

const connectTimeoutMs = 500;
const retryAfterMs = 1_000;
const retriedStatus = [502, 503, 504];

/** How long a server that could not be connected to is passed over. */
const avoidMs = 2_000;

/** Request headers that a service sees; a key, cookies and all others stay here. */
const passedHeaders = ['content-type', 'accept', 'accept-language', 'if-none-match'];
const passedReplyHeaders = ['content-type', 'etag', 'location', 'cache-control', 'retry-after'];

const assembleHeaders = (ctx: RequestContext): Record<string, string> => {
  const headers: Record<string, string> = { 'x-request-id': ctx.id };
  if (ctx.workspace) headers['x-workspace'] = ctx.workspace.name;
  passedHeaders.forEach((name) => {
    const value = ctx.headers[name];
    if (typeof value === 'string') headers[name] = value;
  });
  return headers;
};

type CallFault = 'not-sent' | 'lost' | 'aborted';
type CallResult = { reply: ReplyResult } | { fault: CallFault };

/** What calls of services need. */
export interface CallServiceOptions {
  readonly serverStates: () => ServerStates;
  readonly random: Random;
}

/** Makes the handler that sends a request to one of its route's services. */
export const makeCallService = (
  opts: CallServiceOptions,
): { handler: Handler; close: () => void } => {
  const agent = new Agent({ connect: { timeout: connectTimeoutMs } });
  const open = new Map<string, number>();
  const avoidUntil = new Map<string, number>();
  const budget = makeRetryBudget();

  const chooseServer = (
    ctx: RequestContext,
    route: ServiceRoute,
    tried: ReadonlySet<string>,
  ): BackendServer | undefined => {
    const leaving = opts.serverStates();
    const usable = [...ctx.snapshot.document.backendServers.values()].filter(
      (s) => s.service === route.service && !leaving[s.name] && !tried.has(s.name),
    );
    const near = usable.filter((s) => (avoidUntil.get(s.name) ?? 0) <= readClock());
    const candidates = near.length > 0 ? near : usable;
    return chooseOfTwo(candidates, (s) => open.get(s.name) ?? 0, opts.random);
  };

  const sendOnce = async (
    ctx: RequestContext,
    route: ServiceRoute,
    server: BackendServer,
  ): Promise<CallResult> => {
    open.set(server.name, (open.get(server.name) ?? 0) + 1);
    try {
      const res = await request(`${server.url}${ctx.path}${ctx.query}`, {
        method: route.method,
        headers: assembleHeaders(ctx),
        body: ctx.body.length > 0 ? ctx.body : null,
        dispatcher: agent,
        headersTimeout: route.timeoutMs,
        bodyTimeout: route.timeoutMs,
        // A call that may not be repeated runs to its end, whether its caller stays or not.
        signal: route.idempotent ? ctx.abort.signal : undefined,
      });
      const body = Buffer.from(await res.body.arrayBuffer());
      const headers: Record<string, string> = {};
      passedReplyHeaders.forEach((name) => {
        const value = res.headers[name];
        if (typeof value === 'string') headers[name] = value;
      });
      return { reply: ok({ kind: 'whole', status: res.statusCode, headers, body }) };
    } catch (error) {
      return { fault: classifyHttpError(error) };
    } finally {
      open.set(server.name, (open.get(server.name) ?? 1) - 1);
    }
  };

  const isNotSent = (result: CallResult): boolean =>
    'fault' in result && result.fault === 'not-sent';

  const isRetriable = (route: ServiceRoute, result: CallResult): boolean => {
    if (isNotSent(result)) return true;
    if (!route.idempotent) return false;
    if ('fault' in result) return result.fault !== 'aborted';
    const { reply } = result;
    return (
      reply.isOk() && reply.value.kind === 'whole' && retriedStatus.includes(reply.value.status)
    );
  };

  const describeFault = (route: ServiceRoute, sent: boolean): ReplyResult => {
    if (!sent)
      return err(refuseBackendUnreachable('no backend server could be connected to', retryAfterMs));
    if (route.idempotent)
      return err(assembleFailure('failed', 'the backend server gave no answer', retryAfterMs));
    return err(
      assembleFailure('outcome-unknown', 'the backend server gave no answer; it may have run'),
    );
  };

  const handler: Handler = async (ctx) => {
    const { route } = ctx;
    if (!route) throw new Error('a service call without a route');
    budget.noteRequest();
    const tried = new Set<string>();
    let sent = false;
    let last: CallResult | undefined;
    while (!last || (isRetriable(route, last) && budget.tryRetry())) {
      const server = chooseServer(ctx, route, tried);
      if (!server) break;
      tried.add(server.name);
      last = await sendOnce(ctx, route, server);
      sent ||= !isNotSent(last);
      if (isNotSent(last)) avoidUntil.set(server.name, readClock() + avoidMs);
    }
    if (!last)
      return err(refuseNoCapacity('no backend server runs this service now', retryAfterMs));
    ctx.usedTokens = sent ? route.cost : 0;
    return 'fault' in last ? describeFault(route, sent) : last.reply;
  };

  return { handler, close: () => void agent.destroy() };
};
