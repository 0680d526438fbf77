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
import {
  assumedPrefillTokensPerMs,
  type MemoryAllocation,
} from '@hemlocksill/routing/engine-ledger.js';
import type { CallContext, Responder } from './call-context.js';
import type { RunDeps } from './run-deps.js';
import { makeEventSplitter } from './sse-events.js';

/** Prefills that may fail until the request is refused. */
const mostPrefills = 3;

/** Reservations that may be refused before the request waits again. */
const mostReservations = 3;

/** Silence after which a resumable stream goes on at another engine. */
const silentGaps = 4;

/** Time beyond the expected end of a prefill after which another engine is asked. */
const prefillSlackMs = 250;

/** Time that a reservation outlasts its prefill. */
const reservationSlackMs = 400;

/** Time after which a request refused for want of an engine may come back. */
const noEngineRetryMs = 500;

/** Pause before a stream whose placement came to nothing is placed again. */
const againMs = 20;

/** Output that a reservation covers; more grows into the engine's headroom. */
const reservedOutputTokens = 608;

/** Tokens of memory that engines hand out at once. */
const blockTokens = 16;

interface Placement {
  readonly decode: BackendServer;
  readonly prefill: BackendServer;
  readonly prefillMs: number;
}

const roundUp = (tokens: number): number => Math.ceil(tokens / blockTokens) * blockTokens;

/** Estimates the engine memory of a request. */
export const estimateNeed = (ctx: CallContext): MemoryRequirement => {
  const { promptTokens, maxOutputTokens } = ctx.call.metadata;
  return {
    promptTokens: roundUp(promptTokens),
    maxTokens: roundUp(promptTokens + maxOutputTokens),
  };
};

/** Runs a stream at a prefill and a decode engine and passes its events on. */
export const runStream = (deps: RunDeps, ctx: CallContext, responder: Responder): void => {
  const { call, route, service } = ctx;
  const { engine } = service;
  const { id } = call.metadata;
  const need = estimateNeed(ctx);
  const excluded = new Set<string>();
  let runs = 0;
  let prefills = 0;
  let mayHaveRun = false;
  let lastEventId: string | undefined;
  let cancel: CancelCall = () => {};
  let watch: NodeJS.Timeout | undefined;

  const leftMs = (): number => ctx.timeoutAt - deps.now();

  const giveUp = (reason: string, retryMs: number): void => {
    if (responder.hasHead() || mayHaveRun) responder.fail(502, reason);
    else responder.refuse(503, retryMs, reason, describeInputs());
  };

  /** What the decision to refuse was made from. */
  const describeInputs = () => ({
    promptTokens: need.promptTokens,
    predictedMs: Math.round(predictRetryMs()),
    engines: deps.listReady(service.name).length,
    waitingHere: deps.queue.size(),
  });

  const predictRetryMs = (): number =>
    deps.predictFreeMs(service.name, need.promptTokens, deps.now());

  const noteFault = (server: BackendServer, step: string, fault: CallFault): void => {
    deps.log(2306, { id, server: server.id, step, fault: fault.kind, reason: fault.reason });
    if (fault.kind === 'not-sent') deps.health.record(server.id, 'unreachable', deps.now());
    if (fault.kind === 'unknown') deps.health.record(server.id, 'broken', deps.now());
    if (fault.kind === 'rejected' && fault.reason === 'other-instance')
      deps.health.record(server.id, 'replaced', deps.now());
  };

  /** Counts a placement's memory until the returned function is called. */
  const hold = (placement: Placement): MemoryAllocation => {
    const startedAt = deps.now();
    const held = deps.engineLedger.addDecode(placement.decode.id, need.promptTokens);
    deps.noteLoadChange(placement.decode);
    let isHeld = true;
    return {
      grow: held.grow,
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        held.release();
        deps.pace.recordStreamDuration(deps.now() - startedAt);
        deps.noteLoadChange(placement.decode);
      },
    };
  };

  const choose = (): Placement | undefined => {
    if (!engine) return undefined;
    const engines = deps.listReady(service.name);
    const view = deps.view();
    const decode = chooseDecode(engines, need, engine, view, excluded);
    if (!decode) return undefined;
    const prefill = choosePrefill(engines, need.promptTokens, decode.dataCentre, view, excluded);
    return prefill && { decode, prefill: prefill.server, prefillMs: prefill.expectedMs };
  };

  /** Waits for memory, or is refused when that is predicted to take too long. */
  const enqueue = (waitUntil: number, notBefore: number): void => {
    const stream = {
      id,
      service: service.name,
      workspace: ctx.workspace?.name ?? '',
      priority: ctx.workspace?.priority ?? route.priority,
      neededTokens: need.promptTokens,
      arrivedAt: ctx.arrivedAt,
      waitUntil,
      tryPlace: (now: number) => {
        if (!responder.isOpen()) return true;
        if (now < notBefore) return false;
        const placement = choose();
        if (!placement) return false;
        reserve(placement, 1);
        return true;
      },
      refuse: (retryMs: number, reason: string) => giveUp(reason, retryMs),
    };
    if (stream.tryPlace(deps.now())) return;
    deps.queue.push(stream);
    deps.metrics.waiting.set(deps.queue.size());
  };

  const latestStart = (): number => {
    const prefillMs = need.promptTokens / assumedPrefillTokensPerMs;
    return ctx.arrivedAt + route.targetLatencyMs - prefillMs - deps.pace.getFirstEventDelayMs();
  };

  const start = (): void => {
    const engines = deps.listReady(service.name);
    if (!engine || engines.length === 0) {
      giveUp('no engine is ready', noEngineRetryMs);
      return;
    }
    if (need.maxTokens > engine.memoryTokens) {
      giveUp('the prompt is larger than an engine', noEngineRetryMs);
      return;
    }
    const now = deps.now();
    const waitMs = predictRetryMs();
    if (now + waitMs > latestStart()) giveUp('no memory in time', waitMs);
    else enqueue(latestStart(), 0);
  };

  /** Whether a server that was chosen some time ago may still get work. */
  const mayGetWork = (server: BackendServer): boolean =>
    deps
      .listReady(service.name)
      .some(({ id: one, startedAt: born }) => one === server.id && born === server.startedAt);

  /** Waits for another placement; nothing has run yet. */
  const placeAgain = (): void =>
    enqueue(Math.max(latestStart(), deps.now() + 1), deps.now() + againMs);

  /** Reserves the decode engine's memory, so that no prompt is read in vain. */
  const reserve = (placement: Placement, tries: number): void => {
    const held = hold(placement);
    const ttlMs = Math.min(engine?.maxReservationMs ?? 0, placement.prefillMs + reservationSlackMs);
    if (ttlMs <= 0) {
      prefill(placement, undefined, held);
      return;
    }
    deps.backends.reserve(
      placement.decode,
      need.promptTokens + reservedOutputTokens,
      Math.ceil(ttlMs),
      (outcome) => {
        if (outcome.kind === 'reserved') {
          const isStale = !mayGetWork(placement.decode) || !mayGetWork(placement.prefill);
          if (responder.isOpen() && !isStale) {
            prefill(placement, outcome.reservation, held);
            return;
          }
          held.release();
          deps.backends.releaseReservation(placement.decode, outcome.reservation);
          if (responder.isOpen()) placeAgain();
          return;
        }
        held.release();
        if (!responder.isOpen()) return;
        if (outcome.kind === 'full') deps.engineLedger.recordFull(placement.decode.id, deps.now());
        else noteFault(placement.decode, 'reserve', { kind: 'not-sent', reason: outcome.reason });
        const next = tries < mostReservations ? choose() : undefined;
        if (next) reserve(next, tries + 1);
        else placeAgain();
      },
    );
  };

  const prefill = (
    placement: Placement,
    reservation: string | undefined,
    held: MemoryAllocation,
  ): void => {
    deps.log(2305, {
      id,
      prefill: placement.prefill.id,
      decode: placement.decode.id,
      promptTokens: need.promptTokens,
      used: deps.engineLedger.getTotal(placement.decode.id, deps.now()).tokens,
      waitedMs: Math.round(deps.now() - ctx.arrivedAt),
    });
    const { promptTokens } = need;
    prefills += 1;
    deps.engineLedger.addPrefill(placement.prefill.id, promptTokens);
    deps.noteLoadChange(placement.prefill);
    let open = true;
    const close = (): boolean => {
      if (!open) return false;
      open = false;
      clearTimeout(watch);
      // The others let a prefill run out by themselves.
      deps.engineLedger.removePrefill(placement.prefill.id, promptTokens);
      return true;
    };
    const giveBack = (): void => {
      held.release();
      if (reservation !== undefined)
        deps.backends.releaseReservation(placement.decode, reservation);
    };
    /** Has the prompt read for another decode engine, which is a repeated send. */
    const readAgain = (): void => {
      giveBack();
      if (deps.takeRepeat(service.name)) placeAgain();
      else giveUp('the engine is leaving', noEngineRetryMs);
    };
    const onFault = (fault: CallFault): void => {
      noteFault(placement.prefill, 'prefill', fault);
      excluded.add(placement.prefill.id);
      if (!mayGetWork(placement.decode)) {
        readAgain();
        return;
      }
      const again =
        prefills < mostPrefills &&
        (fault.kind === 'not-sent' || deps.takeRepeat(service.name)) &&
        choosePrefill(
          deps.listReady(service.name),
          promptTokens,
          placement.decode.dataCentre,
          deps.view(),
          excluded,
        );
      if (again) {
        prefill(
          { ...placement, prefill: again.server, prefillMs: again.expectedMs },
          reservation,
          held,
        );
        return;
      }
      giveBack();
      giveUp('the prompt could not be read', noEngineRetryMs);
    };
    const cancelPrefill = deps.backends.prefill(placement.prefill, call, leftMs(), (outcome) => {
      if (!close()) return;
      if (outcome.kind === 'fault') {
        onFault(outcome.fault);
        return;
      }
      deps.health.record(placement.prefill.id, 'answered', deps.now());
      if (!mayGetWork(placement.decode)) {
        // The engine has begun to leave while the prompt was read.
        deps.backends.releasePrefill(outcome.result);
        deps.metrics.wastedPromptTokens.inc(promptTokens);
        readAgain();
        return;
      }
      decode(placement.decode, outcome.result, reservation, held);
    });
    cancel = () => {
      if (!close()) return;
      cancelPrefill();
      giveBack();
    };
    if (!open) return;
    watch = setTimeout(
      () => {
        if (!close()) return;
        cancelPrefill();
        onFault({ kind: 'unknown', reason: 'no prefill in time' });
      },
      placement.prefillMs * 2 + prefillSlackMs,
    );
  };

  const decode = (
    server: BackendServer,
    prefilled: PrefillResult,
    reservation: string | undefined,
    held: MemoryAllocation,
  ): void => {
    const splitter = makeEventSplitter();
    const sentAt = deps.now();
    let head: ResponseHead | undefined;
    let isFirst = true;
    let open = true;
    const close = (): boolean => {
      if (!open) return false;
      open = false;
      clearTimeout(watch);
      held.release();
      return true;
    };
    runs += 1;
    const pass = (events: Buffer): void => {
      lastEventId = splitter.lastId() ?? lastEventId;
      if (!responder.hasHead() && head) responder.head(head);
      responder.write(events);
    };
    const cancelRun = deps.backends.send(
      server,
      call,
      {
        remainingMs: leftMs(),
        prefilled,
        ...(reservation === undefined ? {} : { reservation }),
        ...(lastEventId === undefined ? {} : { resumeAfter: lastEventId }),
      },
      {
        start: (got) => {
          head = got;
        },
        data: (chunk) => {
          if (!open) return;
          if (head && head.status >= 300) {
            passFailure(head, chunk);
            return;
          }
          if (isFirst) {
            isFirst = false;
            deps.pace.recordFirstEventDelay(deps.now() - sentAt);
            deps.health.record(server.id, 'answered', deps.now());
          }
          const events = splitter.push(chunk);
          if (events) {
            held.grow(engine?.tokensPerEvent ?? 1);
            pass(events);
          }
          armWatch();
        },
        end: () => {
          if (!close()) return;
          if (splitter.hasRest()) {
            mayHaveRun = true;
            resume(server, { kind: 'unknown', reason: 'the stream ended inside an event' });
            return;
          }
          if (!responder.hasHead() && head) responder.head(head);
          responder.end();
        },
        fault: (fault) => {
          if (!close()) return;
          if (fault.kind === 'unknown') mayHaveRun = true;
          if (fault.kind === 'rejected') deps.engineLedger.recordFull(server.id, deps.now());
          resume(server, fault, prefilled);
        },
      },
    );
    const passFailure = (failure: ResponseHead, chunk: Buffer): void => {
      if (responder.hasHead()) {
        close();
        cancelRun();
        responder.fail(502, 'the resumed stream failed');
        return;
      }
      responder.head(failure);
      responder.write(chunk);
    };
    const armWatch = (): void => {
      clearTimeout(watch);
      if (!route.isResumable || !open) return;
      const silentMs = Math.max(
        route.targetEventGapMs * silentGaps,
        isFirst ? route.targetLatencyMs : 0,
      );
      watch = setTimeout(() => {
        if (runs >= route.maxAttempts || !close()) return;
        cancelRun();
        mayHaveRun = true;
        resume(server, { kind: 'unknown', reason: 'the stream is silent' });
      }, silentMs);
    };
    cancel = () => {
      if (!close()) return;
      cancelRun();
      // Until the first event the engine may not have taken the memory.
      if (isFirst) deps.backends.releasePrefill(prefilled);
    };
    armWatch();
  };

  /** Goes on after a run that broke off, where the route allows it; fails otherwise. */
  const resume = (server: BackendServer, fault: CallFault, unused?: PrefillResult): void => {
    noteFault(server, 'decode', fault);
    excluded.add(server.id);
    if (fault.kind === 'rejected' && unused) {
      // With its memory reserved, an engine rejects a run only when it can't fetch the prompt.
      deps.health.record(unused.server.id, 'broken', deps.now());
    }
    if (fault.kind !== 'unknown' && unused) {
      deps.backends.releasePrefill(unused);
      deps.metrics.wastedPromptTokens.inc(need.promptTokens);
    }
    const mayRunAgain = fault.kind !== 'unknown' || route.isResumable;
    const withinAttempts = fault.kind === 'not-sent' || runs < route.maxAttempts;
    if (fault.kind === 'not-sent') runs -= 1;
    if (!mayRunAgain || !withinAttempts || leftMs() <= 0 || !deps.takeRepeat(service.name)) {
      giveUp(fault.reason, noEngineRetryMs);
      return;
    }
    deps.metrics.repeats.inc({ reason: fault.kind });
    deps.log(2307, { id, after: lastEventId, from: server.id, fault: fault.kind });
    enqueue(deps.now() + route.targetLatencyMs, 0);
  };

  const timeout = setTimeout(
    () => {
      const ran = runs > 0;
      cancel();
      deps.queue.remove(id);
      if (ran || responder.hasHead()) responder.fail(504, 'no whole answer before the timeout');
      else responder.refuse(503, noEngineRetryMs, 'no engine before the timeout');
    },
    Math.max(0, leftMs()),
  );
  ctx.res.on('close', () => clearTimeout(timeout));
  responder.onLeave(() => {
    deps.queue.remove(id);
    cancel();
  });
  start();
};
