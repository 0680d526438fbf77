import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendHead, CallFault, CancelCall } from '@hemlocksill/types/routing-ports.js';
import { choosePlain } from '@hemlocksill/routing/place-work.js';
import type { CallContext, Responder } from './call-context.js';
import type { RunDeps } from './run-deps.js';

/** Sends that may fail before a byte leaves until the request is refused. */
const maxUnsentAttempts = 4;

/** Objectives that an idempotent request may take before it is sent elsewhere. */
const slowResponseTargets = 3;

/** Time after which a request refused for want of a backend server may come back. */
const noServerRetryAfterMs = 500;

/** Wait before a rejected request is asked to come back. */
const rejectedRetryAfterMs = 250;

/** Bytes of an answer that are gathered before any is passed on. */
const maxBufferedBytes = 4 * 1_024 * 1_024;

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
  let unsentAttempts = 0;
  let mayHaveRun = false;
  let cancelAttempt: CancelCall = () => {};
  let timers: NodeJS.Timeout[] = [];

  const clearTimers = (): void => {
    timers.forEach(clearTimeout);
    timers = [];
  };

  const stopAttempt = (): void => {
    clearTimers();
    cancelAttempt();
  };

  const failOrRefuse = (reason: string, retryAfterMs: number): void => {
    stopAttempt();
    if (mayHaveRun) responder.fail(502, reason);
    else responder.refuse(503, retryAfterMs, reason);
  };

  const tryTakeRetry = (): boolean => {
    if (mayHaveRun && route.kind !== 'idempotent') return false;
    if (sends >= route.attempts) return false;
    if (deps.now() >= ctx.timeoutAt) return false;
    return deps.tryTakeRetry(service.name);
  };

  const onFault = (server: BackendServer, fault: CallFault): void => {
    clearTimers();
    excluded.add(server.id);
    deps.log(2306, {
      id: call.facts.id,
      server: server.id,
      fault: fault.kind,
      reason: fault.reason,
      sends,
    });
    if (fault.kind === 'not-sent') {
      unsentAttempts += 1;
      deps.health.note(server.id, 'unreachable', deps.now());
      if (unsentAttempts < maxUnsentAttempts) send();
      else failOrRefuse('no backend server reachable', noServerRetryAfterMs);
      return;
    }
    if (fault.kind === 'unknown') {
      mayHaveRun = true;
      deps.health.note(server.id, 'broken', deps.now());
    }
    if (fault.kind === 'rejected' && fault.reason === 'other-instance')
      deps.health.note(server.id, 'replaced', deps.now());
    if (tryTakeRetry()) {
      deps.metrics.retries.inc({ reason: fault.kind });
      send();
    } else failOrRefuse(fault.reason, rejectedRetryAfterMs);
  };

  const onResponse = (server: BackendServer, head: BackendHead, body: Buffer): void => {
    clearTimers();
    const isError = head.status >= 500;
    deps.health.note(server.id, isError ? 'error-answer' : 'answered', deps.now());
    if (isError && route.kind === 'idempotent') {
      excluded.add(server.id);
      const alternative = choosePlain(
        deps.listReady(service.name),
        deps.getPlacementView(),
        excluded,
      );
      if (alternative && tryTakeRetry()) {
        deps.metrics.retries.inc({ reason: 'error-answer' });
        send();
        return;
      }
    }
    responder.sendComplete(head, body);
  };

  const send = (): void => {
    const now = deps.now();
    const remainingMs = ctx.timeoutAt - now;
    const server =
      remainingMs > 0
        ? choosePlain(deps.listReady(service.name), deps.getPlacementView(), excluded)
        : undefined;
    if (!server) {
      failOrRefuse('no backend server is ready', noServerRetryAfterMs);
      return;
    }
    let head: BackendHead | undefined;
    let bufferedBytes = 0;
    const bufferedChunks: Buffer[] = [];
    const allocation = deps.plainLedger.addDecode(server.id, 0);
    sends += 1;
    let isFinished = false;
    const finishOnce = (action: () => void): void => {
      if (isFinished) return;
      isFinished = true;
      allocation.release();
      action();
    };
    const cancelSend = deps.backends.send(
      server,
      call,
      { leftMs: remainingMs },
      {
        start: (receivedHead) => {
          head = receivedHead;
        },
        data: (chunk) => {
          bufferedBytes += chunk.length;
          if (bufferedBytes <= maxBufferedBytes) bufferedChunks.push(chunk);
        },
        end: () =>
          finishOnce(() => {
            if (head && bufferedBytes <= maxBufferedBytes)
              onResponse(server, head, Buffer.concat(bufferedChunks));
            else onFault(server, { kind: 'unknown', reason: 'answer too large' });
          }),
        fault: (fault) =>
          finishOnce(() => {
            if (fault.kind === 'not-sent') sends -= 1;
            onFault(server, fault);
          }),
      },
    );
    cancelAttempt = () => finishOnce(cancelSend);
    if (isFinished) return;
    timers.push(
      setTimeout(() => retrySlowAttempt(server, cancelSend, finishOnce), getSlowResponseMs()),
    );
  };

  const getSlowResponseMs = (): number => route.targetMs * slowResponseTargets;

  /** Sends an idempotent request elsewhere when its backend server is silent for long. */
  const retrySlowAttempt = (
    server: BackendServer,
    cancelSend: CancelCall,
    finishOnce: (action: () => void) => void,
  ): void => {
    if (route.kind !== 'idempotent' || sends >= route.attempts) return;
    finishOnce(() => {
      cancelSend();
      onFault(server, { kind: 'unknown', reason: 'no answer in time' });
    });
  };

  const timeout = setTimeout(
    () => {
      const hasRun = sends > 0;
      stopAttempt();
      if (hasRun) responder.fail(504, 'no answer before the timeout');
      else responder.refuse(503, noServerRetryAfterMs, 'no backend server before the timeout');
    },
    Math.max(0, ctx.timeoutAt - deps.now()),
  );
  ctx.res.on('close', () => clearTimeout(timeout));
  responder.onDisconnect(stopAttempt);
  send();
};
