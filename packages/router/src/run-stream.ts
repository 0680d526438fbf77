import type { BackendServer } from '@hemlocksill/types/routing.js';
import type {
  ResponseHead,
  CallFault,
  CancelCall,
  PrefillResult,
} from '@hemlocksill/types/routing-ports.js';
import type { MemoryAllocation } from '@hemlocksill/routing/engine-ledger.js';
import {
  describeOrderFault,
  makeEventOrder,
  type OrderFault,
} from '@hemlocksill/routing/event-order.js';
import { makeStreamBounds } from '@hemlocksill/routing/stream-bounds.js';
import type { CallContext, Responder } from './call-context.js';
import { blockedRetryAfterMs, describePart, getBlockedReason } from './crash-watch.js';
import { makeHandOver, silenceReason, type NextRun, type PreviousRun } from './hand-over.js';
import { logPlacement } from './log-placement.js';
import { prepareEngine, type PreparedEngine } from './prepare-engine.js';
import { endedServerReason } from './response-ends.js';
import type { RunDeps } from './run-deps.js';
import { makeEventSplitter } from './sse-events.js';
import { makeStreamClass } from './stream-class.js';
import { makeStreamEngines, type Placement, type SplitPlacement } from './stream-engines.js';

/** Number of failed prefill attempts after which the request is refused. */
const maxPrefillAttempts = 3;

/** Number of failed reservation attempts after which the request is queued again. */
const maxReservationAttempts = 3;

/**
 * Multiple of the target gap between events; for a resumable stream that is idle for longer, another
 * engine is prepared.
 */
const idleTimeoutGaps = 4;

/**
 * Time for which a stream that is taken up waits for memory, in times of the route's target latency, and as a
 * part of the time left of its caller, which would stay away for as long if it were refused.
 */
const resumedWaitTargets = 3;
const resumedWaitShare = 1 / 3;

/** Retry-After of a request that is refused because no engine can take it. */
const noEngineRetryAfterMs = 500;

/** Size of an error response above which it is broken off. */
const maxErrorBytes = 256 * 1_024;

/** Delay before another placement is tried after a failed one. */
const placementRetryDelayMs = 20;

/** Fault of an engine that answers a stream which must go on with an error. */
const resumedStreamFault: CallFault = { kind: 'unknown', reason: 'the resumed stream failed' };

/** Whether a server may have crashed; one whose response was malformed went on. */
const isCrash = (fault: CallFault): boolean => fault.kind === 'unknown' && !fault.isMalformed;

/** How a run of a stream ended, for its log line. */
type RunEnd =
  /** With the end that its framing names. */
  | 'framed'
  /** A response without a length ended with its connection. */
  | 'connection-closed'
  | 'error-answer'
  | 'broken'
  /** The stream goes on at another engine. */
  | 'left'
  | 'cancelled';

/** A prefill result that its decode engine may not have fetched. */
interface UnusedPrefill extends PrefillResult {
  /** Whether memory was reserved at the decode engine. */
  readonly hadReservation: boolean;
}

/** Runs a stream on a prefill and a decode engine and forwards its events to the caller. */
export const runStream = (deps: RunDeps, ctx: CallContext, responder: Responder): void => {
  const { call, route, service } = ctx;
  const { engine } = service;
  const { id } = call.metadata;
  const streamClass = makeStreamClass(deps, ctx);
  const engines = makeStreamEngines(deps, ctx, streamClass.rank.priority);
  const { requirement, allocateMemory, isStillReady, recordFault } = engines;
  const excluded = new Set<string>();
  /**
   * Ids of the decode engines that the stream was sent to, without those that can't be reached; the route
   * limits their number.
   */
  const sentTo = new Set<string>();
  /** Engines that the stream left while they may have been sound, the first one first. */
  const leftServers: BackendServer[] = [];
  let prefillAttempts = 0;
  /** Reservations that engines refused although the ledger showed room. */
  let fullReservations = 0;
  let mayHaveRun = false;
  /** Whether the stream was continued at the engine whose connection broke. */
  let hasContinued = false;
  /** Whether nothing may be left of the stream, since an engine that has ended may have ended it before. */
  let mayBeWhole = false;
  /** Whether a retry was taken for the next run. */
  let hasTakenRetry = false;
  /** Time by which the stream must be placed again, once it had to leave an engine. */
  let resumeBy = 0;
  let lastEventId: string | undefined;
  const eventOrder = makeEventOrder(call.metadata.lastEventId);
  const bounds = makeStreamBounds(call.metadata.maxOutputTokens);
  let cancelAttempt: CancelCall = () => {};

  const getRemainingMs = (): number => ctx.timeoutAt - deps.now();

  const failOrRefuse = (reason: string, retryAfterMs: number): void => {
    if (responder.hasSentHead() || mayHaveRun) responder.fail(502, reason);
    else responder.refuse(503, retryAfterMs, reason, getDecisionInputs());
  };

  /** Refuses the request if engines crash on a part of it, as is known since it arrived. */
  const refuseIfBlocked = (): boolean => {
    const part = deps.crashWatch.findBlocked(ctx.crashParts, id);
    if (part === undefined) return false;
    const reason = getBlockedReason(part);
    if (responder.hasSentHead() || mayHaveRun) responder.fail(502, reason);
    else responder.refuse(503, blockedRetryAfterMs, reason, describePart(part));
    return true;
  };

  const isBlocked = (): boolean => deps.crashWatch.findBlocked(ctx.crashParts, id) !== undefined;

  const releasePrepared = (prepared: PreparedEngine): void => {
    prepared.allocation.release();
    if (prepared.reservation !== undefined)
      deps.backends.releaseReservation(prepared.server, prepared.reservation);
    if (!prepared.prefilled) return;
    deps.backends.releasePrefill(prepared.prefilled);
    deps.metrics.wastedPromptTokens.inc(requirement.promptTokens);
  };

  /** Returns the inputs of the decision to refuse a request, for its log line. */
  const getDecisionInputs = () => ({
    promptTokens: requirement.promptTokens,
    predictedMs: Math.round(predictWaitMs()),
    engines: engines.listFitting().length,
    softwareVersion: ctx.origin?.softwareVersion,
    priority: streamClass.rank.priority,
    refusedBefore: streamClass.refusedAt !== undefined,
    fullReservations,
    waitingHere: deps.queue.size(),
  });

  const predictWaitMs = (): number =>
    streamClass.predictWaitMs(requirement.promptTokens, engines.getBegunVersion());

  /** Refuses the stream since there is no memory for it before its objective. */
  const refuseForMemory = (predictedMs: number, reason: string): void => {
    const retryAfterMs = streamClass.getRetryDelayMs(predictedMs);
    if (!responder.hasSentHead() && !mayHaveRun) streamClass.recordRefusal(retryAfterMs);
    failOrRefuse(reason, retryAfterMs);
  };

  /**
   * Places the stream now, or queues it until memory is free; the queue refuses it at `waitUntil`.
   */
  const placeOrQueue = (waitUntil: number, notBefore: number): void => {
    const stream = {
      id,
      ...streamClass.rank,
      softwareVersion: engines.getBegunVersion(),
      neededTokens: requirement.promptTokens,
      arrivedAt: ctx.arrivedAt,
      ...(streamClass.refusedAt === undefined ? {} : { refusedAt: streamClass.refusedAt }),
      waitUntil,
      tryPlace: (now: number) => {
        if (!responder.isOpen() || refuseIfBlocked()) return true;
        if (now < notBefore) return false;
        const placement = engines.choosePlacement(excluded);
        if (!placement) return false;
        reserveDecodeMemory(placement, 1);
        return true;
      },
      refuse: (retryAfterMs: number, reason: string) => {
        const leftServer = findLeftServer();
        // The retry that was taken for another placement has not been used.
        if (leftServer && getRemainingMs() > 0) goBackTo(leftServer);
        else refuseForMemory(retryAfterMs, reason);
      },
    };
    deps.queue.push(stream);
    deps.queue.process(deps.now());
    streamClass.recordWaiting();
    if (stream.softwareVersion !== undefined) deps.notifyBoundWaiting(engines.listFitting());
    deps.metrics.waitingStreams.set(deps.queue.size());
  };

  /** Time by which the stream must be placed so that its first event is sent at `firstEventAt`. */
  const getPlacementTime = (firstEventAt: number): number => {
    const prefillMs = requirement.promptTokens / deps.rates.getPrefillTokensPerMs();
    return firstEventAt - prefillMs - deps.timing.getFirstEventDelayMs();
  };

  const getLatestOnTime = (): number => getPlacementTime(ctx.objectiveFrom + route.targetLatencyMs);

  /**
   * Time until which the stream waits for its first placement. The caller of a stream that is taken up has had
   * its first event: it wants the rest, also after the objective.
   */
  const getLatestPlacement = (): number => {
    if (!ctx.origin) return getLatestOnTime();
    const waitMs = Math.min(
      resumedWaitTargets * route.targetLatencyMs,
      resumedWaitShare * (ctx.timeoutAt - ctx.objectiveFrom),
    );
    return Math.max(getLatestOnTime(), getPlacementTime(ctx.objectiveFrom + waitMs));
  };

  const start = (): void => {
    if (!engine || !engines.listFitting().some(({ stage }) => stage !== 'prefill')) {
      const version =
        ctx.origin && ` of version ${ctx.origin.softwareVersion}, which began the stream,`;
      failOrRefuse(`no engine${version ?? ''} is ready`, noEngineRetryAfterMs);
      return;
    }
    if (requirement.maxTokens > engine.memoryTokens) {
      failOrRefuse('the prompt is larger than an engine', noEngineRetryAfterMs);
      return;
    }
    const now = deps.now();
    const faultyUntil = engines.getFaultyUntil();
    if (faultyUntil > getLatestPlacement()) {
      failOrRefuse('all engines send faulty answers', faultyUntil - now);
      return;
    }
    const predictedWaitMs = predictWaitMs();
    if (now + predictedWaitMs > getLatestPlacement())
      refuseForMemory(predictedWaitMs, 'no memory in time');
    else placeOrQueue(getLatestPlacement(), 0);
  };

  /** Queues the stream for another placement after one that did not come about. */
  const retryPlacement = (): void =>
    placeOrQueue(
      Math.max(getLatestPlacement(), resumeBy, deps.now() + 1),
      deps.now() + placementRetryDelayMs,
    );

  /** Reserves memory at the decode engine before the prefill, so that no prefill is wasted. */
  const reserveDecodeMemory = (placement: Placement, attempt: number): void => {
    const allocation = allocateMemory(placement.decode);
    engines.reserve(placement, (outcome) => {
      const reservation = outcome.kind === 'reserved' ? outcome.reservation : undefined;
      if (outcome.kind === 'reserved' || outcome.kind === 'not-needed') {
        const { decode, prefill } = placement;
        const isStale = !isStillReady(decode) || (prefill && !isStillReady(prefill));
        if (responder.isOpen() && !isStale) {
          runPlacement(placement, reservation, allocation);
          return;
        }
        allocation.release();
        if (reservation !== undefined) deps.backends.releaseReservation(decode, reservation);
        if (responder.isOpen()) retryPlacement();
        return;
      }
      allocation.release();
      if (outcome.kind === 'full') fullReservations += 1;
      if (!responder.isOpen()) return;
      const nextPlacement =
        attempt < maxReservationAttempts ? engines.choosePlacement(excluded) : undefined;
      if (nextPlacement) reserveDecodeMemory(nextPlacement, attempt + 1);
      else retryPlacement();
    });
  };

  /** Runs the prefill where the placement says, or lets the decode engine run the whole stream. */
  const runPlacement = (
    placement: Placement,
    reservation: string | undefined,
    allocation: MemoryAllocation,
  ): void => {
    const { decode, prefill } = placement;
    streamClass.recordSent();
    if (prefill) runPrefill({ ...placement, prefill }, reservation, allocation);
    else runWithoutPrefill(decode, reservation, allocation);
  };

  /** Lets the decode engine read the prompt itself, since no prefill engine is left. */
  const runWithoutPrefill = (
    decode: BackendServer,
    reservation: string | undefined,
    allocation: MemoryAllocation,
  ): void => {
    logPlacement(deps, ctx, requirement.promptTokens, decode, undefined, fullReservations);
    runDecode(decode, undefined, reservation, allocation);
  };

  const runPrefill = (
    placement: SplitPlacement,
    reservation: string | undefined,
    allocation: MemoryAllocation,
  ): void => {
    const releaseMemory = (): void => {
      allocation.release();
      if (reservation !== undefined)
        deps.backends.releaseReservation(placement.decode, reservation);
    };
    if (refuseIfBlocked()) {
      releaseMemory();
      return;
    }
    const { promptTokens } = requirement;
    logPlacement(deps, ctx, promptTokens, placement.decode, placement.prefill, fullReservations);
    prefillAttempts += 1;
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
        engines.choosePrefill(placement.decode, excluded);
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
    let isReading = true;
    const cancelPrefill = engines.readPrompt(placement, (outcome) => {
      isReading = false;
      if (outcome.kind === 'fault') {
        onFault(outcome.fault);
        return;
      }
      if (!isStillReady(placement.decode)) {
        // The decode engine began to drain during the prefill.
        deps.backends.releasePrefill(outcome.result);
        deps.metrics.wastedPromptTokens.inc(promptTokens);
        retryFromPlacement();
        return;
      }
      runDecode(placement.decode, outcome.result, reservation, allocation);
    });
    if (!isReading) return;
    cancelAttempt = () => {
      if (!isReading) return;
      isReading = false;
      cancelPrefill();
      releaseMemory();
    };
  };

  const runDecode = (
    server: BackendServer,
    prefilled: PrefillResult | undefined,
    reservation: string | undefined,
    allocation: MemoryAllocation,
    previousRun?: PreviousRun,
  ): NextRun => {
    if (!previousRun && refuseIfBlocked()) {
      releasePrepared({ server, prefilled, reservation, allocation });
      return { cancel: () => {}, takeOver: () => {} };
    }
    sentTo.add(server.id);
    // A prompt that was read has used the retry of its run.
    const hasUnusedRetry = !prefilled && (previousRun !== undefined || hasTakenRetry);
    if (!previousRun) hasTakenRetry = false;
    const unusedPrefill = prefilled && { ...prefilled, hadReservation: reservation !== undefined };
    const runWatch = deps.crashWatch.watchRun(ctx.crashParts, server);
    const splitter = makeEventSplitter();
    const runOrder = eventOrder.startRun();
    const addEvents = bounds.startRun();
    const sentAt = deps.now();
    let head: ResponseHead | undefined;
    let isFirstChunk = true;
    let isForwardingError = false;
    /** Set until this run has taken the stream over. */
    let runToLeave = previousRun;
    let errorBytes = 0;
    let isRunning = true;
    /** Servers that can't take the stream over from this engine. */
    const unusable = new Set([...excluded, server.id]);
    const handOver = makeHandOver({
      // An engine whose response is not read is not silent.
      canMove: () =>
        route.isResumable &&
        isRunning &&
        !responder.flow.isFull() &&
        sentTo.size < route.maxAttempts,
      getIdleTimeoutMs: () =>
        Math.max(
          route.targetEventGapMs * idleTimeoutGaps,
          isFirstChunk ? route.targetLatencyMs : 0,
        ),
      onSilent: (idleTimeoutMs) =>
        deps.log(2309, { id, server: server.id, after: lastEventId, idleTimeoutMs }),
      prepare: (onDone) =>
        isBlocked()
          ? () => {}
          : prepareEngine(deps, engines, service.name, unusable, (prepared) => {
              // The part may have been blocked while the prompt was read.
              const isKept = prepared !== undefined && isBlocked();
              if (isKept) releasePrepared(prepared);
              onDone(isKept ? undefined : prepared);
            }),
      run: (prepared, thisRun) => {
        deps.metrics.retries.inc({ reason: 'silent' });
        return runDecode(
          prepared.server,
          prepared.prefilled,
          prepared.reservation,
          prepared.allocation,
          thisRun,
        );
      },
      leave: (next, reason) => {
        if (!tryFinish('left')) return;
        cancelSend();
        mayHaveRun = true;
        recordFault(server, 'decode', { kind: 'unknown', reason });
        excluded.add(server.id);
        leftServers.push(server);
        deps.log(2307, {
          id,
          after: lastEventId,
          from: server.id,
          fromVersion: server.softwareVersion,
          fault: 'silent',
          at: next.id,
          atStartedAt: next.startedAt,
          atVersion: next.softwareVersion,
        });
      },
      stay: (next, fault) => {
        recordFault(next, 'decode', fault);
        unusable.add(next.id);
      },
    });
    const tryFinish = (end: RunEnd): boolean => {
      if (!isRunning) return false;
      isRunning = false;
      handOver.stop();
      runWatch.stop();
      allocation.release();
      deps.log(2325, {
        id,
        server: server.id,
        startedAt: server.startedAt,
        softwareVersion: server.softwareVersion,
        firstEvent: runOrder.getFirstId(),
        lastEvent: runOrder.getLastId(),
        end,
      });
      return true;
    };
    const takeOver = (reason: string): void => {
      const leftRun = runToLeave;
      if (!leftRun || !isRunning) return;
      runToLeave = undefined;
      leftRun.leave(reason);
      excluded.forEach((serverId) => unusable.add(serverId));
      cancelAttempt = cancel;
      handOver.restart();
    };
    const isErrorHead = (): boolean => head !== undefined && head.status >= 300;
    const getEnd = (isFramed: boolean, isCut: boolean): RunEnd => {
      if (isErrorHead()) return 'error-answer';
      if (isCut) return 'broken';
      return isFramed ? 'framed' : 'connection-closed';
    };
    const forwardEvents = (events: Buffer): void => {
      lastEventId = runOrder.getLastId() ?? lastEventId;
      engines.recordBegin(server);
      if (!responder.hasSentHead() && head) responder.sendHead(head);
      responder.write(events);
    };
    const cancelSend = deps.backends.send(
      server,
      call,
      {
        remainingMs: getRemainingMs(),
        flow: responder.flow,
        confirmsInstance: engines.confirmsInstance,
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
          if (head && isErrorHead()) {
            forwardErrorResponse(head, chunk);
            return;
          }
          if (isFirstChunk) {
            isFirstChunk = false;
            deps.timing.recordFirstEventDelay(deps.now() - sentAt);
            // A faulty engine may begin well, so that only a whole stream of it counts.
            if (!deps.health.isFaulty(server.id))
              deps.health.record(server.id, 'answered', deps.now());
            // Only now is it certain that the prefill engine kept its result.
            if (prefilled) deps.health.record(prefilled.server.id, 'answered', deps.now());
          }
          const events = splitter.push(chunk);
          if (splitter.hasOversizedEvent()) {
            breakOff('an event of the stream is too large');
            return;
          }
          if (!events) return;
          const accepted = runOrder.accept(events);
          const { bytes, fault } = accepted;
          const excess = addEvents(accepted);
          if (excess === 'no-event') {
            breakOff('the stream has bytes, but no event');
            return;
          }
          if (bytes > 0) {
            // The engine that the stream leaves may be sound, so only events that go on with it count.
            takeOver(silenceReason);
            if (excess === 'too-many-events') {
              endExcess();
              return;
            }
            runWatch.recordEvent();
            allocation.grow(engine?.tokensPerEvent ?? 1);
            forwardEvents(events.subarray(0, bytes));
            // Bytes without a complete event don't count: a stalled stream may still send some.
            handOver.restart();
          }
          if (fault) leaveFaulty(fault);
        },
        end: () => {
          const isFramed = head !== undefined && (head.isFramed || !head.hasBody);
          const isEmpty = isFirstChunk && !isFramed && !isErrorHead() && !mayBeWhole;
          const isCut = isEmpty || splitter.hasIncompleteEvent();
          // An error response without a body to a stream that has already begun.
          const isError = isErrorHead() && !isForwardingError && responder.hasSentHead();
          const cutReason = `the stream ended ${isEmpty ? 'before its first event' : 'inside an event'}`;
          if (!isErrorHead() && !isCut) takeOver(silenceReason);
          if (isCut && tryLeaveBroken(cutReason)) return;
          if (isError && handOver.tryComplete(resumedStreamFault.reason)) return;
          if (!isFramed && !isCut && !isError && !runToLeave) {
            checkEnd();
            return;
          }
          if (!tryFinish(getEnd(isFramed, isCut))) return;
          if (runToLeave) {
            runToLeave.keep(isCut ? { kind: 'unknown', reason: cutReason } : resumedStreamFault);
            return;
          }
          if (isError) {
            resumeOrFail(server, resumedStreamFault);
            return;
          }
          if (isCut) {
            mayHaveRun = true;
            handleBreak({ kind: 'unknown', reason: cutReason });
            return;
          }
          runWatch.recordEnd();
          endResponse();
        },
        fault: (fault) => {
          if (fault.kind === 'not-sent') {
            sentTo.delete(server.id);
            if (hasUnusedRetry) deps.returnRetry(service.name);
          }
          if (tryLeaveFor(fault) || !tryFinish('broken')) return;
          if (fault.kind === 'unknown') mayHaveRun = true;
          if (fault.kind === 'rejected') deps.engineLedger.recordFull(server.id, deps.now());
          if (runToLeave) {
            if (isCrash(fault)) runWatch.recordBreak();
            handleUnusedPrefill(server, fault, unusedPrefill);
            runToLeave.keep(fault);
          } else if (isForwardingError) {
            if (fault.kind === 'unknown' && fault.isMalformed) recordFault(server, 'decode', fault);
            responder.fail(502, fault.reason);
          } else handleBreak(fault);
        },
      },
    );
    /** Lets the next run take the stream over from this one, which broke; false if there is none. */
    const tryLeaveBroken = (reason: string): boolean => {
      if (!handOver.tryComplete(reason)) return false;
      // An engine at which the request crashes, as at another one before, is not gone back to.
      if (runWatch.recordBreak()) leftServers.pop();
      return true;
    };
    /** Lets the next run take the stream over after any fault; false if there is none. */
    const tryLeaveFor = (fault: CallFault): boolean => {
      if (isCrash(fault)) return tryLeaveBroken(fault.reason);
      if (!handOver.tryComplete(fault.reason)) return false;
      if (fault.kind === 'unknown') {
        // Its response was malformed: it may still run, but is not gone back to.
        leftServers.pop();
        deps.recordFaultyAnswer(server);
      }
      return true;
    };
    /**
     * Continues a stream that broke, unless another engine would probably crash on it, too; `goOn` says where,
     * by default at the same engine.
     */
    const handleBreak = (fault: CallFault, goOn = continueOrResume): void => {
      const isCrashing = isCrash(fault) && runWatch.recordBreak();
      if (!isCrashing) {
        goOn(server, fault, unusedPrefill);
        return;
      }
      recordFault(server, 'decode', fault);
      failOrRefuse(fault.reason, noEngineRetryAfterMs);
    };
    const endResponse = (): void => {
      if (!isErrorHead() && deps.health.isFaulty(server.id))
        deps.health.record(server.id, 'answered', deps.now());
      if (!responder.hasSentHead() && head) responder.sendHead(head);
      responder.end();
    };
    /**
     * Ends a stream whose response has no length, or goes on elsewhere if the engine has ended with it. An engine
     * that takes the stream over meanwhile goes on with it.
     */
    const checkEnd = (): void =>
      deps.responseEnds.check(server, sentAt, (isWhole) => {
        mayBeWhole ||= !isWhole;
        if (!isRunning || (!isWhole && tryLeaveBroken(endedServerReason))) return;
        if (!tryFinish(isWhole ? getEnd(false, false) : 'broken')) return;
        if (isWhole) {
          endResponse();
          return;
        }
        mayHaveRun = true;
        if (isForwardingError) responder.fail(502, endedServerReason);
        else handleBreak({ kind: 'unknown', reason: endedServerReason }, resumeOrFail);
      });
    /** Leaves an engine whose response is not valid. */
    const breakOff = (reason: string): void => {
      const fault: CallFault = { kind: 'unknown', reason, isMalformed: true };
      if (keepPrevious(fault) || tryLeaveFor(fault) || !tryFinish('broken')) return;
      cancelSend();
      mayHaveRun = true;
      handleBreak(fault);
    };
    /** Ends a stream with more events than it can have: it doesn't go on after events that can't be trusted. */
    const endExcess = (): void => {
      if (!tryFinish('broken')) return;
      cancelSend();
      mayHaveRun = true;
      const reason = 'the stream has too many events';
      recordFault(server, 'decode', { kind: 'unknown', reason, isMalformed: true });
      failOrRefuse(reason, noEngineRetryAfterMs);
    };
    /** Leaves an engine whose events are out of order; it has not crashed, but is not gone back to. */
    const leaveFaulty = (orderFault: OrderFault): void => {
      const fault: CallFault = { kind: 'unknown', reason: describeOrderFault(orderFault) };
      excluded.add(server.id);
      if (keepPrevious(fault)) return;
      if (handOver.tryComplete(fault.reason)) {
        leftServers.pop();
        return;
      }
      if (!tryFinish('broken')) return;
      cancelSend();
      mayHaveRun = true;
      resumeOrFail(server, fault, unusedPrefill);
    };
    /** Stays with the run that the stream has not left yet, since this one failed; false if there is none. */
    const keepPrevious = (fault: CallFault): boolean => {
      if (!runToLeave || !tryFinish('broken')) return false;
      cancelSend();
      runToLeave.keep(fault);
      return true;
    };
    const forwardErrorResponse = (errorHead: ResponseHead, chunk: Buffer): void => {
      if (runToLeave) {
        if (!tryFinish('error-answer')) return;
        cancelSend();
        runToLeave.keep(resumedStreamFault);
        return;
      }
      if (!isForwardingError && responder.hasSentHead()) {
        if (handOver.tryComplete(resumedStreamFault.reason) || !tryFinish('error-answer')) return;
        cancelSend();
        resumeOrFail(server, resumedStreamFault);
        return;
      }
      if (!isForwardingError) {
        isForwardingError = true;
        handOver.stop();
        responder.sendHead(errorHead);
      }
      errorBytes += chunk.length;
      if (errorBytes <= maxErrorBytes) responder.write(chunk);
      else if (tryFinish('error-answer')) {
        cancelSend();
        const reason = 'the error response is too large';
        recordFault(server, 'decode', { kind: 'unknown', reason, isMalformed: true });
        responder.fail(502, reason);
      }
    };
    const cancel = (): void => {
      if (!tryFinish('cancelled')) return;
      cancelSend();
      // Before the first event, the decode engine may not have fetched the prefill result.
      if (isFirstChunk && prefilled) deps.backends.releasePrefill(prefilled);
    };
    if (isRunning && !runToLeave) {
      cancelAttempt = cancel;
      handOver.restart();
    }
    return { cancel, takeOver };
  };

  /** Whether another engine than this one can take the stream now. */
  const canMoveFrom = (server: BackendServer): boolean =>
    sentTo.size < route.maxAttempts &&
    engines.choosePlacement(new Set([...excluded, server.id])) !== undefined;

  /**
   * Continues a stream whose connection broke at the same engine, which still keeps its memory unless it has
   * crashed; resumes it elsewhere if that is not possible. After a malformed response the other engines go first.
   */
  const continueOrResume = (
    server: BackendServer,
    fault: CallFault,
    unusedPrefill?: UnusedPrefill,
  ): void => {
    const canContinue =
      fault.kind === 'unknown' &&
      route.isResumable &&
      lastEventId !== undefined &&
      !hasContinued &&
      getRemainingMs() > 0 &&
      isStillReady(server) &&
      deps.limits.hasRoom(server) &&
      (!fault.isMalformed || !canMoveFrom(server)) &&
      deps.tryTakeRetry(service.name);
    if (!canContinue) {
      resumeOrFail(server, fault, unusedPrefill);
      return;
    }
    hasContinued = true;
    hasTakenRetry = true;
    recordFault(server, 'decode', fault);
    runAgainAt(server, 'continued', { from: server.id, fault: fault.kind });
  };

  /** Goes on at an engine that has had the stream before. */
  const runAgainAt = (
    server: BackendServer,
    reason: 'continued' | 'returned',
    origin: Readonly<Record<string, string>>,
  ): void => {
    deps.metrics.retries.inc({ reason });
    deps.log(2307, {
      id,
      after: lastEventId,
      ...origin,
      at: server.id,
      atStartedAt: server.startedAt,
      atVersion: server.softwareVersion,
    });
    runDecode(server, undefined, undefined, allocateMemory(server));
  };

  const findLeftServer = (): BackendServer | undefined =>
    leftServers.find(
      (server) => engines.fits(server) && isStillReady(server) && deps.limits.hasRoom(server),
    );

  /** Goes on at an engine that the stream left, which may only have been silent for a time. */
  const goBackTo = (server: BackendServer): void => {
    leftServers.splice(leftServers.indexOf(server), 1);
    excluded.delete(server.id);
    runAgainAt(server, 'returned', { fault: 'left' });
  };

  const handleUnusedPrefill = (
    decode: BackendServer,
    fault: CallFault,
    unusedPrefill?: UnusedPrefill,
  ): void => {
    if (fault.kind === 'rejected' && unusedPrefill?.hadReservation) {
      // A decode engine with reserved memory rejects a run only if it changes its stage or cannot fetch the
      // prefilled prompt.
      deps.findStageChange(decode, (isChanging) => {
        if (!isChanging) deps.recordFailingPrefill(unusedPrefill.server, 'result-lost');
      });
    }
    if (fault.kind !== 'unknown' && unusedPrefill) {
      deps.backends.releasePrefill(unusedPrefill);
      deps.metrics.wastedPromptTokens.inc(requirement.promptTokens);
    }
  };

  /**
   * Resumes a stream after a failed decode, if the route allows it; fails the request otherwise. A stream
   * that no other engine can take goes back to one that it left.
   */
  const resumeOrFail = (
    server: BackendServer,
    fault: CallFault,
    unusedPrefill?: UnusedPrefill,
  ): void => {
    recordFault(server, 'decode', fault);
    excluded.add(server.id);
    handleUnusedPrefill(server, fault, unusedPrefill);
    const isRetrySafe = fault.kind !== 'unknown' || route.isResumable;
    const leftServer = findLeftServer();
    const canPlace =
      sentTo.size < route.maxAttempts &&
      engines.getFaultyUntil() <= deps.now() + route.targetLatencyMs &&
      (!leftServer || engines.choosePlacement(excluded) !== undefined);
    if (
      !isRetrySafe ||
      !(canPlace || leftServer) ||
      getRemainingMs() <= 0 ||
      !deps.tryTakeRetry(service.name)
    ) {
      failOrRefuse(fault.reason, noEngineRetryAfterMs);
      return;
    }
    hasTakenRetry = true;
    if (!canPlace && leftServer) {
      goBackTo(leftServer);
      return;
    }
    deps.metrics.retries.inc({ reason: fault.kind });
    deps.log(2307, {
      id,
      after: lastEventId,
      from: server.id,
      fromVersion: server.softwareVersion,
      fault: fault.kind,
    });
    resumeBy = deps.now() + route.targetLatencyMs;
    placeOrQueue(resumeBy, 0);
  };

  responder.onAbandon((status, when) => {
    const wasSent = sentTo.size > 0;
    cancelAttempt();
    deps.queue.remove(id);
    if (wasSent || responder.hasSentHead()) responder.fail(status, `no whole answer ${when}`);
    else responder.refuse(503, noEngineRetryAfterMs, `no engine ${when}`);
  });
  responder.onDisconnect(() => {
    deps.queue.remove(id);
    cancelAttempt();
  });
  start();
};
