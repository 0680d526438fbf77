import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { ResponseHead, CallFault, CancelCall } from '@hemlocksill/types/routing-ports.js';
import { choosePlainServer } from '@hemlocksill/routing/place-work.js';
import type { CallContext, Responder } from './call-context.js';
import { blockedRetryAfterMs, describePart, getBlockedReason } from './crash-watch.js';
import type { RunDeps } from './run-deps.js';

/** Number of attempts that fail before any byte is sent, after which the request is refused. */
const maxUnsentAttempts = 4;

/** Multiple of the target latency after which an idempotent request is sent to another server. */
const slowResponseLatencyFactor = 3;

/** Retry-After of a request that is refused because no backend server can take it. */
const noServerRetryAfterMs = 500;

/** Retry-After of a request that the backend servers rejected. */
const rejectedRetryAfterMs = 250;

/** Maximum size of a buffered response; a larger response counts as a fault. */
const maxBufferedBytes = 4 * 1_024 * 1_024;

const isServerError = ({ status }: ResponseHead): boolean => status >= 500;

/**
 * Runs a request at a plain service and sends the response to the caller.
 *
 * The complete response is buffered, so that an idempotent request can be retried when the
 * response breaks off. Other requests are retried only if they cannot have run.
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

  /** Refuses the request if backend servers crash on it. */
  const refuseIfBlocked = (): boolean => {
    const part = deps.crashWatch.findBlocked(ctx.crashParts, call.metadata.id);
    if (part === undefined) return false;
    const reason = getBlockedReason(part);
    if (mayHaveRun) responder.fail(502, reason);
    else responder.refuse(503, blockedRetryAfterMs, reason, describePart(part));
    return true;
  };

  const tryTakeRetry = (): boolean => {
    if (mayHaveRun && route.kind !== 'idempotent') return false;
    if (sends >= route.maxAttempts) return false;
    if (deps.now() >= ctx.timeoutAt) return false;
    return deps.tryTakeRetry(service.name);
  };

  const recordFault = (server: BackendServer, fault: CallFault): void => {
    excluded.add(server.id);
    deps.log(2306, {
      id: call.metadata.id,
      request: ctx.fingerprint,
      server: server.id,
      fault: fault.kind,
      reason: fault.reason,
      sends,
    });
    if (fault.kind === 'unknown') {
      mayHaveRun = true;
      deps.health.record(server.id, 'broken', deps.now());
    }
  };

  const onFault = (server: BackendServer, fault: CallFault, isCrashing = false): void => {
    clearTimers();
    recordFault(server, fault);
    if (isCrashing) {
      failOrRefuse(fault.reason, noServerRetryAfterMs);
      return;
    }
    if (fault.kind === 'not-sent') {
      unsentAttempts += 1;
      deps.health.record(server.id, 'unreachable', deps.now());
      if (unsentAttempts < maxUnsentAttempts) sendAttempt();
      else failOrRefuse('no backend server reachable', noServerRetryAfterMs);
      return;
    }
    if (fault.kind === 'rejected' && fault.reason === 'other-instance')
      deps.health.record(server.id, 'replaced', deps.now());
    if (tryTakeRetry()) {
      deps.metrics.retries.inc({ reason: fault.kind });
      sendAttempt();
    } else failOrRefuse(fault.reason, rejectedRetryAfterMs);
  };

  const chooseServer = (excludedServers: ReadonlySet<string>): BackendServer | undefined =>
    choosePlainServer(deps.listReady(service.name), deps.getPlacementView(), excludedServers);

  const onResponse = (server: BackendServer, head: ResponseHead, body: Buffer): void => {
    clearTimers();
    const isError = isServerError(head);
    deps.health.record(server.id, isError ? 'error-answer' : 'answered', deps.now());
    if (isError && route.kind === 'idempotent') {
      excluded.add(server.id);
      if (chooseServer(excluded) && tryTakeRetry()) {
        deps.metrics.retries.inc({ reason: 'error-answer' });
        sendAttempt();
        return;
      }
    }
    responder.sendComplete(head, body);
  };

  const sendAttempt = (): void => {
    if (refuseIfBlocked()) return;
    const now = deps.now();
    const remainingMs = ctx.timeoutAt - now;
    const server = remainingMs > 0 ? chooseServer(excluded) : undefined;
    if (!server) {
      failOrRefuse('no backend server is ready', noServerRetryAfterMs);
      return;
    }
    let head: ResponseHead | undefined;
    let bufferedBytes = 0;
    const bufferedChunks: Buffer[] = [];
    const allocation = deps.plainLedger.addDecode(server.id, 0);
    const runWatch = deps.crashWatch.watchRun(ctx.crashParts, server);
    sends += 1;
    let isFinished = false;
    const finishOnce = (action: () => void): void => {
      if (isFinished) return;
      isFinished = true;
      allocation.release();
      runWatch.stop();
      action();
    };
    const failAttempt = (reason: string): void =>
      finishOnce(() => {
        cancelSend();
        onFault(server, { kind: 'unknown', reason });
      });
    const cancelSend = deps.backends.send(
      server,
      call,
      { remainingMs },
      {
        start: (receivedHead) => {
          head = receivedHead;
          // A server may answer with an error without having run the request.
          if (!isServerError(head)) runWatch.recordEvent();
        },
        data: (chunk) => {
          bufferedBytes += chunk.length;
          if (bufferedBytes <= maxBufferedBytes) bufferedChunks.push(chunk);
          else failAttempt('answer too large');
        },
        end: () =>
          finishOnce(() => {
            // A server that crashes ends an answer without framing in the same way as a whole one.
            if (head?.isFramed || head?.hasBody === false) runWatch.recordEnd();
            if (head) onResponse(server, head, Buffer.concat(bufferedChunks));
            else onFault(server, { kind: 'unknown', reason: 'answer without a head' });
          }),
        fault: (fault) =>
          finishOnce(() => {
            if (fault.kind === 'not-sent') sends -= 1;
            onFault(server, fault, fault.kind === 'unknown' && runWatch.recordBreak());
          }),
      },
    );
    // An attempt that failed at once has been followed by others already.
    if (isFinished) return;
    cancelAttempt = () => finishOnce(cancelSend);
    scheduleSlowRetry(server, cancelSend, finishOnce);
  };

  /**
   * Retries an idempotent request on another server when its response takes too long. Without another
   * server or a retry in the budget, the attempt stays the only one that can still succeed.
   */
  const scheduleSlowRetry = (
    server: BackendServer,
    cancelSend: CancelCall,
    finishOnce: (action: () => void) => void,
  ): void => {
    if (route.kind !== 'idempotent') return;
    const retrySlowAttempt = (): void => {
      if (!chooseServer(new Set([...excluded, server.id])) || !tryTakeRetry()) {
        scheduleSlowRetry(server, cancelSend, finishOnce);
        return;
      }
      finishOnce(() => {
        cancelSend();
        clearTimers();
        recordFault(server, { kind: 'unknown', reason: 'no answer in time' });
        deps.metrics.retries.inc({ reason: 'unknown' });
        sendAttempt();
      });
    };
    timers.push(setTimeout(retrySlowAttempt, route.targetLatencyMs * slowResponseLatencyFactor));
  };

  responder.onAbandon((status, when) => {
    const wasSent = sends > 0;
    stopAttempt();
    if (wasSent) responder.fail(status, `no answer ${when}`);
    else responder.refuse(503, noServerRetryAfterMs, `no backend server ${when}`);
  });
  responder.onDisconnect(stopAttempt);
  sendAttempt();
};
