import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { ResponseHead, CallFault, CancelCall } from '@hemlocksill/types/routing-ports.js';
import { choosePlainServer } from '@hemlocksill/routing/place-work.js';
import type { CallContext, Responder } from './call-context.js';
import type { RunDeps } from './run-deps.js';

/** Sends that may fail before a byte leaves until the request is refused. */
const mostUnsent = 4;

/** Objectives that an idempotent request may take before it is sent elsewhere. */
const patienceTargets = 3;

/** Time after which a request refused for want of a backend server may come back. */
const noServerRetryMs = 500;

/** Wait before a rejected request is asked to come back. */
const rejectedRetryMs = 250;

/** Bytes of an answer that are gathered before any is passed on. */
const mostGathered = 4 * 1_024 * 1_024;

/**
 * Runs a request at a plain service and answers its caller.
 *
 * An answer is gathered whole, so that one that breaks off can be replaced by another run
 * where the route may be repeated. All others are sent again only while none has run.
 */
export const runPlain = (deps: RunDeps, ctx: CallContext, responder: Responder): void => {
  const { call, route, service } = ctx;
  const excluded = new Set<string>();
  let sends = 0;
  let unsent = 0;
  let mayHaveRun = false;
  let cancel: CancelCall = () => {};
  let timers: NodeJS.Timeout[] = [];

  const clearTimers = (): void => {
    timers.forEach(clearTimeout);
    timers = [];
  };

  const stop = (): void => {
    clearTimers();
    cancel();
  };

  const giveUp = (reason: string, retryMs: number): void => {
    stop();
    if (mayHaveRun) responder.fail(502, reason);
    else responder.refuse(503, retryMs, reason);
  };

  const mayRepeat = (): boolean => {
    if (mayHaveRun && route.kind !== 'idempotent') return false;
    if (sends >= route.maxAttempts) return false;
    if (deps.now() >= ctx.timeoutAt) return false;
    return deps.takeRepeat(service.name);
  };

  const onFault = (server: BackendServer, fault: CallFault): void => {
    clearTimers();
    excluded.add(server.id);
    deps.log(2306, {
      id: call.metadata.id,
      server: server.id,
      fault: fault.kind,
      reason: fault.reason,
      sends,
    });
    if (fault.kind === 'not-sent') {
      unsent += 1;
      deps.health.record(server.id, 'unreachable', deps.now());
      if (unsent < mostUnsent) send();
      else giveUp('no backend server reachable', noServerRetryMs);
      return;
    }
    if (fault.kind === 'unknown') {
      mayHaveRun = true;
      deps.health.record(server.id, 'broken', deps.now());
    }
    if (fault.kind === 'rejected' && fault.reason === 'other-instance')
      deps.health.record(server.id, 'replaced', deps.now());
    if (mayRepeat()) {
      deps.metrics.repeats.inc({ reason: fault.kind });
      send();
    } else giveUp(fault.reason, rejectedRetryMs);
  };

  const onAnswer = (server: BackendServer, head: ResponseHead, body: Buffer): void => {
    clearTimers();
    const isError = head.status >= 500;
    deps.health.record(server.id, isError ? 'error-answer' : 'answered', deps.now());
    if (isError && route.kind === 'idempotent') {
      excluded.add(server.id);
      const others = choosePlainServer(deps.listReady(service.name), deps.view(), excluded);
      if (others && mayRepeat()) {
        deps.metrics.repeats.inc({ reason: 'error-answer' });
        send();
        return;
      }
    }
    responder.whole(head, body);
  };

  const send = (): void => {
    const now = deps.now();
    const leftMs = ctx.timeoutAt - now;
    const server =
      leftMs > 0
        ? choosePlainServer(deps.listReady(service.name), deps.view(), excluded)
        : undefined;
    if (!server) {
      giveUp('no backend server is ready', noServerRetryMs);
      return;
    }
    let head: ResponseHead | undefined;
    let gatheredBytes = 0;
    const gathered: Buffer[] = [];
    const held = deps.plainLedger.addDecode(server.id, 0);
    sends += 1;
    let finished = false;
    const once = (action: () => void): void => {
      if (finished) return;
      finished = true;
      held.release();
      action();
    };
    const cancelSend = deps.backends.send(
      server,
      call,
      { remainingMs: leftMs },
      {
        start: (got) => {
          head = got;
        },
        data: (chunk) => {
          gatheredBytes += chunk.length;
          if (gatheredBytes <= mostGathered) gathered.push(chunk);
        },
        end: () =>
          once(() => {
            if (head && gatheredBytes <= mostGathered)
              onAnswer(server, head, Buffer.concat(gathered));
            else onFault(server, { kind: 'unknown', reason: 'answer too large' });
          }),
        fault: (fault) =>
          once(() => {
            if (fault.kind === 'not-sent') sends -= 1;
            onFault(server, fault);
          }),
      },
    );
    cancel = () => once(cancelSend);
    if (finished) return;
    timers.push(setTimeout(() => abandonSlow(server, cancelSend, once), patienceMs()));
  };

  const patienceMs = (): number => route.targetLatencyMs * patienceTargets;

  /** Sends an idempotent request elsewhere when its backend server is silent for long. */
  const abandonSlow = (
    server: BackendServer,
    cancelSend: CancelCall,
    once: (action: () => void) => void,
  ): void => {
    if (route.kind !== 'idempotent' || sends >= route.maxAttempts) return;
    once(() => {
      cancelSend();
      onFault(server, { kind: 'unknown', reason: 'no answer in time' });
    });
  };

  const timeout = setTimeout(
    () => {
      const ran = sends > 0;
      stop();
      if (ran) responder.fail(504, 'no answer before the timeout');
      else responder.refuse(503, noServerRetryMs, 'no backend server before the timeout');
    },
    Math.max(0, ctx.timeoutAt - deps.now()),
  );
  ctx.res.on('close', () => clearTimeout(timeout));
  responder.onLeave(stop);
  send();
};
