import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { CallFault } from '@hemlocksill/types/routing-ports.js';
import type { PlainChoice } from '@hemlocksill/routing/place-plain.js';
import { startReadTimeout } from '@hemlocksill/timers/read-timeout.js';
import type { CallContext, Responder } from './call-context.js';
import {
  blockedRetryAfterMs,
  describePart,
  getBlockedReason,
  type CrashWatch,
} from './crash-watch.js';
import type { LimitController } from './limit-controller.js';
import {
  isServerError,
  sendPlainAttempt,
  type AttemptDeps,
  type PlainAttempt,
  type PlainResponse,
} from './plain-attempt.js';
import type { PlainPlacement } from './plain-placement.js';
import type { RunDeps } from './run-deps.js';

/** Dependencies of the run of a plain request. */
export type PlainDeps = AttemptDeps &
  Pick<
    RunDeps,
    | 'health'
    | 'listReady'
    | 'tryTakeRetry'
    | 'returnRetry'
    | 'recordFaultyAnswer'
    | 'log'
    | 'metrics'
  > & {
    readonly placement: PlainPlacement;
    readonly crashWatch: Pick<CrashWatch, 'findBlocked' | 'isSuspect' | 'watchRun'>;
    readonly limits: Pick<
      LimitController,
      'isLimited' | 'getRoom' | 'tryQueue' | 'hasWaiting' | 'removeWaiting'
    >;
  };

/** What the run of a plain request knows of the request. */
export type PlainContext = Pick<
  CallContext,
  | 'call'
  | 'route'
  | 'service'
  | 'workspace'
  | 'fingerprint'
  | 'crashParts'
  | 'arrivedAt'
  | 'timeoutAt'
>;

/** What the run of a plain request uses of the responder. */
export type PlainResponder = Pick<
  Responder,
  'sendComplete' | 'refuse' | 'fail' | 'onDisconnect' | 'onAbandon'
>;

/** Number of attempts that fail before any byte is sent, after which no further one is made. */
const maxUnsentAttempts = 4;

/** Multiple of the target latency after which an idempotent request is also sent to another server. */
const slowResponseLatencyFactor = 3;

/** Retry-After of a request that is refused because no backend server can take it. */
const noServerRetryAfterMs = 500;

/** Reason of a refusal because all backend servers have got as much as they take. */
const limitReason = 'the backend servers are at their limits';

/** Reason of a refusal because no answer is expected before the caller's deadline. */
const lateReason = 'no answer is expected in time';

/** Retry-After of a request that the backend servers rejected. */
const rejectedRetryAfterMs = 250;

/** A complete response and where it comes from. */
interface ServerResponse {
  readonly server: BackendServer;
  readonly response: PlainResponse;
}

/** An attempt in progress. */
interface RunningAttempt {
  readonly server: BackendServer;
  readonly sentAt: number;
  /** Time from which the attempt counts as slow. */
  readonly slowAt: number;
  /** Whether a retry was taken from the budget for it. */
  readonly isRetry: boolean;
  /** Whether it was made beside a first attempt whose answer is later than usual. */
  readonly isHedge: boolean;
  /** Whether another attempt was made because this one is slow. */
  isSlow: boolean;
  /** Unset while it is being sent. */
  call: PlainAttempt | undefined;
}

/**
 * Runs a request at a plain service and sends the response to the caller.
 *
 * The complete response is buffered, so that an idempotent request can be retried when the
 * response breaks off. Other requests are retried only if they cannot have run.
 *
 * A slow attempt of an idempotent request continues beside another one until one of them has a
 * complete response: a server that does not respond may only be silent for a while, and the other
 * one may reject the request.
 */
export const runPlain = (deps: PlainDeps, ctx: PlainContext, responder: PlainResponder): void => {
  const { call, route, service } = ctx;
  const { placement } = deps;
  const slowAfterMs = route.targetLatencyMs * slowResponseLatencyFactor;
  const triedServers = new Set<string>();
  /** At most two, and only one unless the request is idempotent. */
  const running = new Set<RunningAttempt>();
  let sends = 0;
  let unsentAttempts = 0;
  /** Whether an attempt that has ended may have run the request. */
  let mayHaveRun = false;
  /** Error response for the caller, if no other attempt gets a better one. */
  let errorResponse: ServerResponse | undefined;
  /** Whether no further attempt may be made, since backend servers crash on the request. */
  let isCrashing = false;
  let cancelSlowTimeout = (): void => {};
  let cancelHedgeTimeout = (): void => {};
  /** Time of the first send. */
  let firstSentAt: number | undefined;
  /** Whether the request has got a second attempt because its answer was later than usual. */
  let isHedged = false;

  const cancelAttempt = ({ server, sentAt, call: plainCall }: RunningAttempt): void => {
    plainCall?.cancel();
    placement.recordGivenUp(server, deps.now() - sentAt);
    if (isHedged) deps.metrics.secondAttempts.inc({ outcome: 'cancelled', reason: '' });
  };

  const stop = (): void => {
    cancelSlowTimeout();
    cancelHedgeTimeout();
    deps.limits.removeWaiting(call.metadata.id);
    running.forEach(cancelAttempt);
    running.clear();
  };

  const sendResponse = ({ server, response: { head, body } }: ServerResponse): void => {
    stop();
    responder.sendComplete(head, body, server.id);
  };

  const giveUp = (
    reason: string,
    retryAfterMs: number,
    inputs: Readonly<Record<string, unknown>> = {},
  ): void => {
    stop();
    if (errorResponse) sendResponse(errorResponse);
    else if (mayHaveRun) responder.fail(502, reason);
    else responder.refuse(503, retryAfterMs, reason, inputs);
  };

  const findBlocked = (): string | undefined =>
    deps.crashWatch.findBlocked(ctx.crashParts, call.metadata.id);

  /** Whether another server may get the request after a server that did not get it. */
  const canSendElsewhere = (): boolean => !isCrashing && unsentAttempts < maxUnsentAttempts;

  const canRetry = (): boolean =>
    !isCrashing &&
    (!mayHaveRun || route.kind === 'idempotent') &&
    sends < route.maxAttempts &&
    deps.now() < ctx.timeoutAt;

  const tryTakeRetry = (): boolean => canRetry() && deps.tryTakeRetry(service.name);

  /** Chooses a server for a request that is sent even if its answer may come too late. */
  const chooseServer = (): BackendServer | undefined => {
    const choice = placement.choose(service.name, triedServers, Number.POSITIVE_INFINITY);
    return choice.kind === 'server' ? choice.server : undefined;
  };

  const logFault = (server: BackendServer, fault: CallFault): void =>
    deps.log(2306, {
      id: call.metadata.id,
      request: ctx.fingerprint,
      server: server.id,
      startedAt: server.startedAt,
      fault: fault.kind,
      reason: fault.reason,
      sends,
    });

  /** Records the fault of an attempt; a slow one was recorded as broken before. */
  const recordFault = ({ server, isSlow }: RunningAttempt, fault: CallFault): void => {
    if (fault.kind === 'not-sent') sends -= 1;
    logFault(server, fault);
    if (fault.kind === 'unknown') {
      mayHaveRun = true;
      if (fault.isMalformed) deps.recordFaultyAnswer(server);
      else if (!isSlow) deps.health.record(server.id, 'broken', deps.now());
    } else if (fault.kind === 'not-sent') {
      unsentAttempts += 1;
      deps.health.record(server.id, 'unreachable', deps.now());
    } else if (fault.reason === 'full') placement.recordFull(server);
    else deps.health.record(server.id, 'replaced', deps.now());
  };

  const onFault = (attempt: RunningAttempt, fault: CallFault): void => {
    recordFault(attempt, fault);
    const isUnsent = fault.kind === 'not-sent';
    if (isUnsent && running.size === 0 && canSendElsewhere()) {
      sendAttempt(attempt.isRetry);
      return;
    }
    if (isUnsent && attempt.isRetry) deps.returnRetry(service.name);
    if (isUnsent && attempt.isHedge) placement.returnHedge();
    if (running.size > 0) scheduleSlowRetry();
    else if (isUnsent) giveUp('no backend server reachable', noServerRetryAfterMs);
    else if (tryTakeRetry()) {
      deps.metrics.retries.inc({ reason: fault.kind });
      sendAttempt(true);
    } else giveUp(fault.reason, rejectedRetryAfterMs);
  };

  const onResponse = (attempt: RunningAttempt, response: PlainResponse): void => {
    const { server } = attempt;
    const isError = isServerError(response.head);
    // Errors often come fast; their times would draw requests to a server that fails.
    if (!isError) {
      placement.recordResponse(server, deps.now() - attempt.sentAt);
      placement.recordRouteLatency(route.name, deps.now() - (firstSentAt ?? attempt.sentAt));
      if (attempt.isHedge) deps.metrics.secondAttempts.inc({ outcome: 'won', reason: '' });
    }
    deps.health.record(server.id, isError ? 'error-answer' : 'answered', deps.now());
    if (!isError || route.kind !== 'idempotent') {
      running.forEach((other) => {
        if (other.isSlow) logFault(other.server, { kind: 'unknown', reason: 'no answer in time' });
      });
      sendResponse({ server, response });
      return;
    }
    mayHaveRun = true;
    errorResponse = { server, response };
    if (running.size > 0) scheduleSlowRetry();
    else if (chooseServer() && tryTakeRetry()) {
      deps.metrics.retries.inc({ reason: 'error-answer' });
      sendAttempt(true);
    } else sendResponse(errorResponse);
  };

  /** Sends the request to another server, or gives up; no attempt is in progress. */
  const sendAttempt = (isRetry: boolean): void => {
    const blockedPart = findBlocked();
    // Requests that wait for room come before this one.
    const mayChoose = deps.now() < ctx.timeoutAt && !deps.limits.hasWaiting(service.name);
    // Only a request that can't have run is refused because its answer would be late.
    const mayRefuse = sends === 0 && !mayHaveRun && !isRetry;
    const remainingMs = mayRefuse ? ctx.timeoutAt - deps.now() : Number.POSITIVE_INFINITY;
    const choice: PlainChoice = mayChoose
      ? placement.choose(service.name, triedServers, remainingMs)
      : { kind: 'none' };
    if (choice.kind === 'server' && blockedPart === undefined) {
      sendTo(choice.server, isRetry);
      return;
    }
    if (isRetry) deps.returnRetry(service.name);
    if (blockedPart !== undefined)
      giveUp(getBlockedReason(blockedPart), blockedRetryAfterMs, describePart(blockedPart));
    else if (choice.kind === 'late') giveUp(lateReason, choice.retryAfterMs, { isLate: true });
    else if (!isRetry && isKeptByLimits()) waitForRoom();
    else giveUp('no backend server is ready', noServerRetryAfterMs);
  };

  /** Whether servers could take the request, but for their limits. */
  const isKeptByLimits = (): boolean =>
    deps.now() < ctx.timeoutAt &&
    deps.listReady(service.name).some(deps.limits.isLimited) &&
    (deps.limits.hasWaiting(service.name) || deps.limits.getRoom(service.name).waitMs > 0);

  /** Queues the request if there will be room for it before its objective; refuses it otherwise. */
  const waitForRoom = (): void => {
    const retryAfterMs = deps.limits.tryQueue({
      id: call.metadata.id,
      service: service.name,
      workspace: ctx.workspace?.name ?? '',
      priority: ctx.workspace?.priority ?? route.priority,
      arrivedAt: ctx.arrivedAt,
      waitUntil: Math.min(ctx.timeoutAt, ctx.arrivedAt + route.targetLatencyMs),
      trySend: () => {
        const server = chooseServer();
        if (!server) return false;
        if (findBlocked() === undefined) sendTo(server, false);
        else giveUp('blocked while it waited', blockedRetryAfterMs);
        return true;
      },
      refuse: (delayMs) => giveUp(limitReason, delayMs, { isLimited: true }),
    });
    if (retryAfterMs !== undefined) giveUp(limitReason, retryAfterMs, { isLimited: true });
    else deps.log(2313, { id: call.metadata.id, ...deps.limits.getRoom(service.name) });
  };

  const sendTo = (server: BackendServer, isRetry: boolean, isHedge = false): void => {
    const sentAt = deps.now();
    firstSentAt ??= sentAt;
    const attempt: RunningAttempt = {
      server,
      sentAt,
      slowAt: sentAt + slowAfterMs,
      isRetry,
      isHedge,
      isSlow: false,
      call: undefined,
    };
    triedServers.add(server.id);
    running.add(attempt);
    sends += 1;
    attempt.call = sendPlainAttempt(deps, ctx, server, (outcome) => {
      running.delete(attempt);
      if (outcome.kind === 'response') {
        onResponse(attempt, outcome.response);
        return;
      }
      isCrashing ||= outcome.isCrashing;
      onFault(attempt, outcome.fault);
    });
    scheduleSlowRetry();
    if (sends === 1 && running.has(attempt)) scheduleHedge(attempt);
  };

  /** Schedules the decision on a second attempt, for when the answer is later than usual. */
  const scheduleHedge = (attempt: RunningAttempt): void => {
    cancelHedgeTimeout();
    if (route.kind !== 'idempotent') return;
    const delayMs = placement.getHedgeDelayMs(route.name);
    if (delayMs === undefined) return;
    const lateAt = attempt.sentAt + delayMs;
    cancelHedgeTimeout = startReadTimeout(
      () => considerHedge(attempt, lateAt),
      Math.max(1, delayMs),
    );
  };

  const considerHedge = (attempt: RunningAttempt, lateAt: number): void => {
    if (!running.has(attempt) || running.size > 1 || isHedged) return;
    if (attempt.call?.isHeldBack()) return;
    // On a busy VM a timer fires early: it counts from the beginning of the turn in which it was set.
    const earlyMs = lateAt - deps.now();
    if (earlyMs > 0) {
      cancelHedgeTimeout = startReadTimeout(
        () => considerHedge(attempt, lateAt),
        Math.ceil(earlyMs),
      );
      return;
    }
    const elapsedMs = deps.now() - attempt.sentAt;
    if (!canSendElsewhere() || !canRetry()) {
      deps.metrics.secondAttempts.inc({ outcome: 'withheld', reason: 'no-attempt-left' });
      return;
    }
    const isSuspect = deps.crashWatch.isSuspect(ctx.crashParts);
    const decision = placement.decideHedge(service.name, triedServers, {
      server: attempt.server,
      elapsedMs,
      isSuspect,
    });
    if (decision.kind === 'withhold') return;
    if (!deps.tryTakeRetry(service.name)) {
      deps.metrics.secondAttempts.inc({ outcome: 'withheld', reason: 'retry-budget' });
      return;
    }
    isHedged = true;
    placement.recordHedge();
    deps.metrics.secondAttempts.inc({ outcome: 'sent', reason: '' });
    deps.log(2320, {
      id: call.metadata.id,
      request: ctx.fingerprint,
      server: attempt.server.id,
      at: decision.server.id,
      afterMs: Math.round(elapsedMs),
      expectedMs: Math.round(decision.expectedMs),
    });
    sendTo(decision.server, true, true);
  };

  /** Schedules another attempt beside the one in progress, for when that one counts as slow. */
  const scheduleSlowRetry = (notBefore = 0): void => {
    cancelSlowTimeout();
    const [attempt] = running;
    if (!attempt || running.size > 1 || route.kind !== 'idempotent') return;
    const retryAt = Math.max(attempt.slowAt, notBefore);
    cancelSlowTimeout = startReadTimeout(
      () => retrySlowAttempt(attempt),
      Math.max(0, retryAt - deps.now()),
    );
  };

  /**
   * Makes another attempt beside a slow one. Without another server or a retry in the budget, or while its
   * response is held back, the slow one stays alone and the question comes up again later.
   */
  const retrySlowAttempt = (attempt: RunningAttempt): void => {
    if (!canSendElsewhere() || !canRetry()) return;
    const server = attempt.call?.isHeldBack() ? undefined : chooseServer();
    if (server && findBlocked() !== undefined) return;
    if (!server || !tryTakeRetry()) {
      scheduleSlowRetry(deps.now() + slowAfterMs);
      return;
    }
    deps.log(2312, {
      id: call.metadata.id,
      request: ctx.fingerprint,
      server: attempt.server.id,
      at: server.id,
    });
    if (!attempt.isSlow) deps.health.record(attempt.server.id, 'broken', deps.now());
    attempt.isSlow = true;
    deps.metrics.retries.inc({ reason: 'unknown' });
    sendTo(server, true);
  };

  responder.onAbandon((status, when) => {
    stop();
    if (errorResponse) sendResponse(errorResponse);
    else if (sends > 0) responder.fail(status, `no answer ${when}`);
    else responder.refuse(503, noServerRetryAfterMs, `no backend server ${when}`);
  });
  responder.onDisconnect(stop);
  if (route.kind === 'idempotent') placement.recordRequest();
  sendAttempt(false);
};
