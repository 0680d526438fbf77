import type { BackendServer } from '@hemlocksill/types/routing.js';
import type {
  ResponseHead,
  CallFault,
  CancelCall,
  PrefillResult,
} from '@hemlocksill/types/routing-ports.js';
import {
  chooseDecode,
  choosePrefill,
  type MemoryRequirement,
} from '@hemlocksill/routing/place-work.js';
import type { MemoryAllocation } from '@hemlocksill/routing/engine-ledger.js';
import { retryAfterJitter, type CallContext, type Responder } from './call-context.js';
import type { RunDeps } from './run-deps.js';
import { makeEventSplitter } from './sse-events.js';

/** Number of failed prefill attempts after which the request is refused. */
const maxPrefillAttempts = 3;

/** Number of failed reservation attempts after which the request is queued again. */
const maxReservationAttempts = 3;

/**
 * Multiple of the target gap between events; a resumable stream that is idle for longer is resumed
 * at another engine.
 */
const idleTimeoutGaps = 4;

/** A prefill counts as failed after twice its predicted duration plus this margin. */
const prefillTimeoutMarginMs = 250;

/** Time for which a reservation outlives the predicted end of its prefill. */
const reservationMarginMs = 400;

/** Retry-After of a request that is refused because no engine can take it. */
const noEngineRetryAfterMs = 500;

/** Part of a caller's remaining time that it waits at most before it comes back. */
const maxRetryShare = 1 / 3;

/** Delay before another placement is tried after a failed one. */
const placementRetryDelayMs = 20;

/** Output tokens covered by a reservation; further output uses the headroom of the engine. */
const reservedOutputTokens = 608;

/** Engines allocate memory in blocks of this many tokens. */
const memoryBlockTokens = 16;

/** Engines chosen for a stream, with the predicted duration of its prefill. */
interface Placement {
  readonly decode: BackendServer;
  /** Undefined if the decode engine reads the prompt itself. */
  readonly prefill: BackendServer | undefined;
  readonly prefillMs: number;
}

/** A placement with an engine that runs the prefill. */
type SplitPlacement = Placement & { readonly prefill: BackendServer };

/** Time that a decode engine takes to read a prompt, as a multiple of a prefill engine's. */
const decodePrefillSlowdown = 2;

const roundUpToBlock = (tokens: number): number =>
  Math.ceil(tokens / memoryBlockTokens) * memoryBlockTokens;

/** Estimates how much engine memory a request needs, in tokens. */
export const estimateMemoryRequirement = (ctx: CallContext): MemoryRequirement => {
  const { promptTokens, maxOutputTokens } = ctx.call.metadata;
  return {
    promptTokens: roundUpToBlock(promptTokens),
    maxTokens: roundUpToBlock(promptTokens + maxOutputTokens),
  };
};

/** Runs a stream on a prefill and a decode engine and forwards its events to the caller. */
export const runStream = (deps: RunDeps, ctx: CallContext, responder: Responder): void => {
  const { call, route, service } = ctx;
  const { engine } = service;
  const { id } = call.metadata;
  const requirement = estimateMemoryRequirement(ctx);
  const excluded = new Set<string>();
  let decodeAttempts = 0;
  let prefillAttempts = 0;
  let mayHaveRun = false;
  /** Whether the stream was continued at the engine whose connection broke. */
  let hasContinued = false;
  let lastEventId: string | undefined;
  let cancelAttempt: CancelCall = () => {};
  let attemptTimer: NodeJS.Timeout | undefined;

  const getRemainingMs = (): number => ctx.timeoutAt - deps.now();

  const failOrRefuse = (reason: string, retryAfterMs: number): void => {
    if (responder.hasSentHead() || mayHaveRun) responder.fail(502, reason);
    else responder.refuse(503, retryAfterMs, reason, getDecisionInputs());
  };

  /** Returns the inputs of the decision to refuse a request, for its log line. */
  const getDecisionInputs = () => ({
    promptTokens: requirement.promptTokens,
    predictedMs: Math.round(predictWaitMs()),
    engines: deps.listReady(service.name).length,
    waitingHere: deps.queue.size(),
  });

  const predictWaitMs = (): number =>
    deps.predictMemoryWaitMs(service.name, requirement.promptTokens, deps.now());

  const recordFault = (server: BackendServer, step: string, fault: CallFault): void => {
    deps.log(2306, { id, server: server.id, step, fault: fault.kind, reason: fault.reason });
    if (fault.kind === 'not-sent') deps.health.record(server.id, 'unreachable', deps.now());
    if (fault.kind === 'unknown') deps.health.record(server.id, 'broken', deps.now());
    if (fault.kind === 'rejected' && fault.reason === 'other-instance')
      deps.health.record(server.id, 'replaced', deps.now());
  };

  /** Adds the memory of the stream at an engine to the ledger until `release` is called. */
  const allocateMemory = (server: BackendServer): MemoryAllocation => {
    const startedAt = deps.now();
    const allocation = deps.engineLedger.addDecode(server.id, requirement.promptTokens);
    deps.notifyLoadChange(server);
    let isAllocated = true;
    let outputTokens = 0;
    return {
      grow: (tokens) => {
        outputTokens += tokens;
        allocation.grow(tokens);
      },
      release: () => {
        if (!isAllocated) return;
        isAllocated = false;
        allocation.release();
        // A placement that was given up says nothing about the time that streams take.
        if (outputTokens === 0) {
          deps.notifyLoadChange(server);
          return;
        }
        const durationMs = deps.now() - startedAt;
        deps.timing.recordStreamDuration(durationMs);
        deps.rates.recordOutput(outputTokens, durationMs);
        deps.notifyLoadChange(server);
      },
    };
  };

  const choosePlacement = (): Placement | undefined => {
    if (!engine) return undefined;
    const engines = deps.listReady(service.name);
    const view = deps.getPlacementView();
    const decode = chooseDecode(engines, requirement, engine, view, excluded);
    if (!decode) return undefined;
    const prefill = choosePrefill(
      engines,
      requirement.promptTokens,
      decode.dataCentre,
      view,
      excluded,
    );
    return {
      decode,
      prefill: prefill?.server,
      prefillMs: prefill
        ? prefill.expectedMs
        : (requirement.promptTokens / deps.rates.getPrefillTokensPerMs()) * decodePrefillSlowdown,
    };
  };

  /**
   * Places the stream now, or queues it until memory is free; the queue refuses it at `waitUntil`.
   */
  const placeOrQueue = (waitUntil: number, notBefore: number): void => {
    const stream = {
      id,
      service: service.name,
      workspace: ctx.workspace?.name ?? '',
      priority: ctx.workspace?.priority ?? route.priority,
      neededTokens: requirement.promptTokens,
      arrivedAt: ctx.arrivedAt,
      waitUntil,
      tryPlace: (now: number) => {
        if (!responder.isOpen()) return true;
        if (now < notBefore) return false;
        const placement = choosePlacement();
        if (!placement) return false;
        reserveDecodeMemory(placement, 1);
        return true;
      },
      refuse: (retryAfterMs: number, reason: string) =>
        failOrRefuse(reason, getRetryDelayMs(retryAfterMs)),
    };
    deps.queue.push(stream);
    deps.queue.process(deps.now());
    deps.metrics.waitingStreams.set(deps.queue.size());
  };

  /**
   * Time after which a refused caller should come back. While memory is exhausted, the streams that
   * hold it have ended after the duration of a stream; earlier, the caller would be refused again.
   */
  const getRetryDelayMs = (predictedWaitMs: number): number =>
    Math.min(
      Math.max(predictedWaitMs, deps.timing.getStreamMs()),
      (getRemainingMs() * maxRetryShare) / (1 + retryAfterJitter),
    );

  /** Time by which the stream must be placed so that its first event is sent at `firstEventAt`. */
  const getPlacementTime = (firstEventAt: number): number => {
    const prefillMs = requirement.promptTokens / deps.rates.getPrefillTokensPerMs();
    return firstEventAt - prefillMs - deps.timing.getFirstEventDelayMs();
  };

  const getLatestOnTime = (): number => getPlacementTime(ctx.arrivedAt + route.targetLatencyMs);

  const start = (): void => {
    const engines = deps.listReady(service.name);
    if (!engine || engines.length === 0) {
      failOrRefuse('no engine is ready', noEngineRetryAfterMs);
      return;
    }
    if (requirement.maxTokens > engine.memoryTokens) {
      failOrRefuse('the prompt is larger than an engine', noEngineRetryAfterMs);
      return;
    }
    const now = deps.now();
    const predictedWaitMs = predictWaitMs();
    if (now + predictedWaitMs > getLatestOnTime())
      failOrRefuse('no memory in time', getRetryDelayMs(predictedWaitMs));
    else placeOrQueue(getLatestOnTime(), 0);
  };

  /** Whether a server chosen earlier is still ready, the same instance and not paused. */
  const isStillReady = (server: BackendServer): boolean =>
    !deps.health.isPaused(server.id, deps.now()) &&
    deps
      .listReady(service.name)
      .some(
        ({ id: serverId, startedAt }) => serverId === server.id && startedAt === server.startedAt,
      );

  /** Queues the stream for another placement; it has not run yet. */
  const retryPlacement = (): void =>
    placeOrQueue(Math.max(getLatestOnTime(), deps.now() + 1), deps.now() + placementRetryDelayMs);

  /** Reserves memory at the decode engine before the prefill, so that no prefill is wasted. */
  const reserveDecodeMemory = (placement: Placement, attempt: number): void => {
    const allocation = allocateMemory(placement.decode);
    const ttlMs = Math.min(
      engine?.maxReservationMs ?? 0,
      placement.prefillMs + reservationMarginMs,
    );
    if (ttlMs <= 0) {
      runPlacement(placement, undefined, allocation);
      return;
    }
    deps.backends.reserve(
      placement.decode,
      requirement.promptTokens + reservedOutputTokens,
      Math.ceil(ttlMs),
      (outcome) => {
        if (outcome.kind === 'reserved') {
          const { decode, prefill } = placement;
          const isStale = !isStillReady(decode) || (prefill && !isStillReady(prefill));
          if (responder.isOpen() && !isStale) {
            runPlacement(placement, outcome.reservation, allocation);
            return;
          }
          allocation.release();
          deps.backends.releaseReservation(placement.decode, outcome.reservation);
          if (responder.isOpen()) retryPlacement();
          return;
        }
        allocation.release();
        if (!responder.isOpen()) return;
        if (outcome.kind === 'full') deps.engineLedger.recordFull(placement.decode.id, deps.now());
        else recordFault(placement.decode, 'reserve', { kind: 'not-sent', reason: outcome.reason });
        const nextPlacement = attempt < maxReservationAttempts ? choosePlacement() : undefined;
        if (nextPlacement) reserveDecodeMemory(nextPlacement, attempt + 1);
        else retryPlacement();
      },
    );
  };

  /** Runs the prefill where the placement says, or lets the decode engine run the whole stream. */
  const runPlacement = (
    placement: Placement,
    reservation: string | undefined,
    allocation: MemoryAllocation,
  ): void => {
    const { decode, prefill } = placement;
    if (prefill) runPrefill({ ...placement, prefill }, reservation, allocation);
    else runWithoutPrefill(decode, reservation, allocation);
  };

  const logPlacement = (decode: BackendServer, prefill: BackendServer | undefined): void =>
    deps.log(2305, {
      id,
      prefill: prefill?.id,
      decode: decode.id,
      promptTokens: requirement.promptTokens,
      used: deps.engineLedger.getTotal(decode.id, deps.now()).tokens,
      waitedMs: Math.round(deps.now() - ctx.arrivedAt),
    });

  /** Lets the decode engine read the prompt itself, since no prefill engine is left. */
  const runWithoutPrefill = (
    decode: BackendServer,
    reservation: string | undefined,
    allocation: MemoryAllocation,
  ): void => {
    logPlacement(decode, undefined);
    decodeAttempts += 1;
    runDecode(decode, undefined, reservation, allocation);
  };

  const runPrefill = (
    placement: SplitPlacement,
    reservation: string | undefined,
    allocation: MemoryAllocation,
  ): void => {
    logPlacement(placement.decode, placement.prefill);
    const { promptTokens } = requirement;
    prefillAttempts += 1;
    deps.timing.recordPrompt(promptTokens);
    const prefillSentAt = deps.now();
    deps.engineLedger.addPrefill(placement.prefill.id, promptTokens);
    deps.notifyLoadChange(placement.prefill);
    let isRunning = true;
    const tryFinish = (): boolean => {
      if (!isRunning) return false;
      isRunning = false;
      clearTimeout(attemptTimer);
      // Other VMs are not notified: they reduce the load of a prefill at the assumed rate.
      deps.engineLedger.removePrefill(placement.prefill.id, promptTokens);
      return true;
    };
    const releaseMemory = (): void => {
      allocation.release();
      if (reservation !== undefined)
        deps.backends.releaseReservation(placement.decode, reservation);
    };
    /** Restarts from placement because the decode engine is leaving; counts as a retry. */
    const retryFromPlacement = (): void => {
      releaseMemory();
      if (deps.tryTakeRetry(service.name)) retryPlacement();
      else failOrRefuse('the engine is leaving', noEngineRetryAfterMs);
    };
    const onFault = (fault: CallFault): void => {
      recordFault(placement.prefill, 'prefill', fault);
      if (fault.kind === 'rejected' && fault.reason === 'full')
        deps.recordFailingPrefill(placement.prefill, 'prompt-rejected');
      excluded.add(placement.prefill.id);
      if (!isStillReady(placement.decode)) {
        retryFromPlacement();
        return;
      }
      const retryPrefill =
        prefillAttempts < maxPrefillAttempts &&
        (fault.kind === 'not-sent' || deps.tryTakeRetry(service.name)) &&
        choosePrefill(
          deps.listReady(service.name),
          promptTokens,
          placement.decode.dataCentre,
          deps.getPlacementView(),
          excluded,
        );
      if (retryPrefill) {
        runPrefill(
          { ...placement, prefill: retryPrefill.server, prefillMs: retryPrefill.expectedMs },
          reservation,
          allocation,
        );
        return;
      }
      if (deps.tryTakeRetry(service.name)) {
        runWithoutPrefill(placement.decode, reservation, allocation);
        return;
      }
      releaseMemory();
      failOrRefuse('the prompt could not be read', noEngineRetryAfterMs);
    };
    const cancelPrefill = deps.backends.prefill(
      placement.prefill,
      call,
      getRemainingMs(),
      (outcome) => {
        if (!tryFinish()) return;
        if (outcome.kind === 'fault') {
          onFault(outcome.fault);
          return;
        }
        deps.rates.recordPrefill(promptTokens, deps.now() - prefillSentAt);
        if (!isStillReady(placement.decode)) {
          // The decode engine began to drain during the prefill.
          deps.backends.releasePrefill(outcome.result);
          deps.metrics.wastedPromptTokens.inc(promptTokens);
          retryFromPlacement();
          return;
        }
        decodeAttempts += 1;
        runDecode(placement.decode, outcome.result, reservation, allocation);
      },
    );
    cancelAttempt = () => {
      if (!tryFinish()) return;
      cancelPrefill();
      releaseMemory();
    };
    if (!isRunning) return;
    attemptTimer = setTimeout(
      () => {
        if (!tryFinish()) return;
        cancelPrefill();
        onFault({ kind: 'unknown', reason: 'no prefill in time' });
      },
      placement.prefillMs * 2 + prefillTimeoutMarginMs,
    );
  };

  const runDecode = (
    server: BackendServer,
    prefilled: PrefillResult | undefined,
    reservation: string | undefined,
    allocation: MemoryAllocation,
  ): void => {
    const splitter = makeEventSplitter();
    const sentAt = deps.now();
    let head: ResponseHead | undefined;
    let isFirstChunk = true;
    let isRunning = true;
    const tryFinish = (): boolean => {
      if (!isRunning) return false;
      isRunning = false;
      clearTimeout(attemptTimer);
      allocation.release();
      return true;
    };
    const forwardEvents = (events: Buffer): void => {
      lastEventId = splitter.getLastId() ?? lastEventId;
      if (!responder.hasSentHead() && head) responder.sendHead(head);
      responder.write(events);
    };
    const cancelSend = deps.backends.send(
      server,
      call,
      {
        remainingMs: getRemainingMs(),
        ...(prefilled === undefined ? {} : { prefilled }),
        ...(reservation === undefined ? {} : { reservation }),
        ...(lastEventId === undefined ? {} : { resumeAfter: lastEventId }),
      },
      {
        start: (receivedHead) => {
          head = receivedHead;
        },
        data: (chunk) => {
          if (!isRunning) return;
          if (head && head.status >= 300) {
            forwardErrorResponse(head, chunk);
            return;
          }
          if (isFirstChunk) {
            isFirstChunk = false;
            deps.timing.recordFirstEventDelay(deps.now() - sentAt);
            deps.health.record(server.id, 'answered', deps.now());
            // Only now is it certain that the prefill engine kept its result.
            if (prefilled) deps.health.record(prefilled.server.id, 'answered', deps.now());
          }
          const events = splitter.push(chunk);
          if (!events) return;
          allocation.grow(engine?.tokensPerEvent ?? 1);
          forwardEvents(events);
          // Bytes without a complete event don't count: a stalled stream may still send some.
          restartIdleTimer();
        },
        end: () => {
          if (!tryFinish()) return;
          if (splitter.hasIncompleteEvent()) {
            mayHaveRun = true;
            continueOrResume(server, {
              kind: 'unknown',
              reason: 'the stream ended inside an event',
            });
            return;
          }
          if (!responder.hasSentHead() && head) responder.sendHead(head);
          responder.end();
        },
        fault: (fault) => {
          if (!tryFinish()) return;
          if (fault.kind === 'unknown') mayHaveRun = true;
          if (fault.kind === 'rejected') deps.engineLedger.recordFull(server.id, deps.now());
          continueOrResume(server, fault, prefilled);
        },
      },
    );
    const forwardErrorResponse = (errorHead: ResponseHead, chunk: Buffer): void => {
      if (responder.hasSentHead()) {
        if (!tryFinish()) return;
        cancelSend();
        resumeOrFail(server, { kind: 'unknown', reason: 'the resumed stream failed' });
        return;
      }
      responder.sendHead(errorHead);
      responder.write(chunk);
    };
    const restartIdleTimer = (): void => {
      clearTimeout(attemptTimer);
      if (!route.isResumable || !isRunning) return;
      const idleTimeoutMs = Math.max(
        route.targetEventGapMs * idleTimeoutGaps,
        isFirstChunk ? route.targetLatencyMs : 0,
      );
      attemptTimer = setTimeout(() => {
        if (decodeAttempts >= route.maxAttempts || !tryFinish()) return;
        cancelSend();
        mayHaveRun = true;
        resumeOrFail(server, { kind: 'unknown', reason: 'the stream is silent' });
      }, idleTimeoutMs);
    };
    cancelAttempt = () => {
      if (!tryFinish()) return;
      cancelSend();
      // Before the first event, the decode engine may not have fetched the prefill result.
      if (isFirstChunk && prefilled) deps.backends.releasePrefill(prefilled);
    };
    restartIdleTimer();
  };

  /**
   * Continues a stream whose connection broke at the same engine, which still keeps its memory
   * unless it has crashed; resumes it elsewhere if that is not possible.
   */
  const continueOrResume = (
    server: BackendServer,
    fault: CallFault,
    unusedPrefill?: PrefillResult,
  ): void => {
    const canContinue =
      fault.kind === 'unknown' &&
      route.isResumable &&
      lastEventId !== undefined &&
      !hasContinued &&
      getRemainingMs() > 0 &&
      isStillReady(server) &&
      deps.tryTakeRetry(service.name);
    if (!canContinue) {
      resumeOrFail(server, fault, unusedPrefill);
      return;
    }
    hasContinued = true;
    recordFault(server, 'decode', fault);
    deps.metrics.retries.inc({ reason: 'continued' });
    deps.log(2307, { id, after: lastEventId, from: server.id, fault: fault.kind, at: server.id });
    runDecode(server, undefined, undefined, allocateMemory(server));
  };

  /**
   * Resumes a stream after a failed decode, if the route allows it; fails the request otherwise.
   */
  const resumeOrFail = (
    server: BackendServer,
    fault: CallFault,
    unusedPrefill?: PrefillResult,
  ): void => {
    recordFault(server, 'decode', fault);
    excluded.add(server.id);
    if (fault.kind === 'rejected' && unusedPrefill && engine && engine.maxReservationMs > 0) {
      // A decode engine with reserved memory rejects a run only if it cannot fetch the prefilled
      // prompt.
      deps.recordFailingPrefill(unusedPrefill.server, 'result-lost');
    }
    if (fault.kind !== 'unknown' && unusedPrefill) {
      deps.backends.releasePrefill(unusedPrefill);
      deps.metrics.wastedPromptTokens.inc(requirement.promptTokens);
    }
    const isRetrySafe = fault.kind !== 'unknown' || route.isResumable;
    const hasAttemptsLeft = fault.kind === 'not-sent' || decodeAttempts < route.maxAttempts;
    if (fault.kind === 'not-sent') decodeAttempts -= 1;
    if (
      !isRetrySafe ||
      !hasAttemptsLeft ||
      getRemainingMs() <= 0 ||
      !deps.tryTakeRetry(service.name)
    ) {
      failOrRefuse(fault.reason, noEngineRetryAfterMs);
      return;
    }
    deps.metrics.retries.inc({ reason: fault.kind });
    deps.log(2307, { id, after: lastEventId, from: server.id, fault: fault.kind });
    placeOrQueue(deps.now() + route.targetLatencyMs, 0);
  };

  const timeout = setTimeout(
    () => {
      const wasSent = decodeAttempts > 0;
      cancelAttempt();
      deps.queue.remove(id);
      if (wasSent || responder.hasSentHead())
        responder.fail(504, 'no whole answer before the timeout');
      else responder.refuse(503, noEngineRetryAfterMs, 'no engine before the timeout');
    },
    Math.max(0, getRemainingMs()),
  );
  ctx.res.on('close', () => clearTimeout(timeout));
  responder.onDisconnect(() => {
    deps.queue.remove(id);
    cancelAttempt();
  });
  start();
};
