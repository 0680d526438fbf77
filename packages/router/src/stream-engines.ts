import type { BackendServer } from '@hemlocksill/types/routing.js';
import type {
  CallFault,
  CancelCall,
  PrefillOutcome,
  ReserveOutcome,
} from '@hemlocksill/types/routing-ports.js';
import {
  chooseDecode,
  choosePrefill,
  type MemoryRequirement,
  type PlacementView,
} from '@hemlocksill/routing/place-work.js';
import { maxStreamLifeMs } from '@hemlocksill/routing/version-history.js';
import { measureMemory } from '@hemlocksill/routing/measure-memory.js';
import type { MemoryAllocation } from '@hemlocksill/routing/engine-ledger.js';
import { startReadTimeout } from '@hemlocksill/timers/read-timeout.js';
import type { CallContext } from './call-context.js';
import type { RunDeps } from './run-deps.js';

/** A prefill counts as failed after twice its predicted duration plus this margin. */
const prefillTimeoutMarginMs = 250;

/** Time for which a reservation outlives the predicted end of its prefill. */
const reservationMarginMs = 400;

/** Output tokens covered by a reservation; further output uses the headroom of the engine. */
const reservedOutputTokens = 608;

/** Engines allocate memory in blocks of this many tokens. */
const memoryBlockTokens = 16;

/** Time for which a stream is remembered beyond the deadline of the caller's request that began it. */
const takeUpMarginMs = 2_000;

/** Time that a decode engine takes to read a prompt, as a multiple of a prefill engine's. */
const decodePrefillSlowdown = 2;

/** Engines chosen for a stream, with the predicted duration of its prefill. */
export interface Placement {
  readonly decode: BackendServer;
  /** Undefined if the decode engine reads the prompt itself. */
  readonly prefill: BackendServer | undefined;
  readonly prefillMs: number;
}

/** A placement with an engine that runs the prefill. */
export type SplitPlacement = Placement & { readonly prefill: BackendServer };

/** The result of a reservation; engines without reservations need none. */
export type ReservationOutcome = ReserveOutcome | { readonly kind: 'not-needed' };

/** What one stream asks of engines, before and between its runs. */
export interface StreamEngines {
  /** Engine memory that the stream needs. */
  readonly requirement: MemoryRequirement;
  /** Ready engines at which the stream may go on: all of them until it has begun. */
  readonly listFitting: () => readonly BackendServer[];
  /** Software version that began the stream; undefined until it has begun. */
  readonly getBegunVersion: () => string | undefined;
  /** Whether an engine has the software version that began the stream, if it has begun. */
  readonly fits: (server: BackendServer) => boolean;
  /** Binds the stream to the software version of the engine whose first event is about to be sent. */
  readonly recordBegin: (server: BackendServer) => void;
  /**
   * Whether only listed instances get the stream: an engine that came back under its id may have another version,
   * and does not check what it goes on with.
   */
  readonly confirmsInstance: boolean;
  /** Chooses engines with memory for the stream; undefined if there are none now. */
  readonly choosePlacement: (excluded: ReadonlySet<string>) => Placement | undefined;
  /** Chooses a prefill engine for a decode engine; undefined if there is none. */
  readonly choosePrefill: (
    decode: BackendServer,
    excluded: ReadonlySet<string>,
  ) => { readonly server: BackendServer; readonly expectedMs: number } | undefined;
  /** Adds the memory of the stream at an engine to the ledger until `release` is called. */
  readonly allocateMemory: (server: BackendServer) => MemoryAllocation;
  /** Reserves the memory of the stream at its decode engine, if the engine knows reservations. */
  readonly reserve: (placement: Placement, onDone: (outcome: ReservationOutcome) => void) => void;
  /** Has the prompt read by the prefill engine; a call that takes too long counts as a fault. */
  readonly readPrompt: (
    placement: SplitPlacement,
    onDone: (outcome: PrefillOutcome) => void,
  ) => CancelCall;
  /**
   * Time until which all decode engines that fit are left out since their answers were faulty, in the clock of
   * `RunDeps.now`; 0 if one is not.
   */
  readonly getFaultyUntil: () => number;
  /** Whether a server chosen earlier is still ready, the same instance and not paused. */
  readonly isStillReady: (server: BackendServer) => boolean;
  /** Logs a fault and records it in the health of the server. */
  readonly recordFault: (server: BackendServer, step: string, fault: CallFault) => void;
}

const roundUpToBlock = (tokens: number): number =>
  Math.ceil(tokens / memoryBlockTokens) * memoryBlockTokens;

/** Estimates how much engine memory a request needs, in tokens. */
const estimateMemoryRequirement = (ctx: CallContext): MemoryRequirement => {
  const { promptTokens, maxOutputTokens } = ctx.call.metadata;
  return {
    promptTokens: roundUpToBlock(promptTokens),
    maxTokens: roundUpToBlock(promptTokens + maxOutputTokens),
  };
};

/**
 * Makes the engine operations of one stream.
 *
 * @example
 * makeStreamEngines(deps, ctx, 1).choosePlacement(new Set());
 */
export const makeStreamEngines = (
  deps: RunDeps,
  ctx: CallContext,
  priority: number,
): StreamEngines => {
  const { call, route, service } = ctx;
  const { engine } = service;
  const { id } = call.metadata;
  const requirement = estimateMemoryRequirement(ctx);
  const { promptTokens } = requirement;

  // What others can go on with holds events of one version.
  const confirmsInstance = route.isResumable || ctx.origin !== undefined;

  const recordFault = (server: BackendServer, step: string, fault: CallFault): void => {
    const foundStartedAt = fault.kind === 'not-sent' ? fault.foundStartedAt : undefined;
    deps.log(2306, {
      id,
      request: ctx.fingerprint,
      server: server.id,
      startedAt: server.startedAt,
      step,
      fault: fault.kind,
      reason: fault.reason,
      foundStartedAt,
    });
    // The later instance is sound, and used once its entry tells what it is.
    if (foundStartedAt !== undefined && foundStartedAt > server.startedAt)
      deps.recordLaterInstance(server, foundStartedAt);
    else if (fault.kind === 'not-sent') deps.health.record(server.id, 'unreachable', deps.now());
    if (fault.kind === 'unknown') {
      if (fault.isMalformed) deps.recordFaultyAnswer(server);
      else deps.health.record(server.id, 'broken', deps.now());
    }
    if (fault.kind === 'rejected' && fault.reason === 'other-instance')
      deps.health.record(server.id, 'replaced', deps.now());
  };

  /** Version that began the stream, in this response or in an earlier one. */
  let begunVersion = ctx.origin?.softwareVersion;

  const fits = ({ softwareVersion }: BackendServer): boolean =>
    begunVersion === undefined || softwareVersion === begunVersion;

  const listFitting = (): readonly BackendServer[] => {
    const ready = deps.listReady(service.name);
    return begunVersion === undefined ? ready : ready.filter(fits);
  };

  /** Leaves out the versions whose free memory is needed by streams that have begun, which come first. */
  const leaveMemoryToBound = (
    fitting: readonly BackendServer[],
    view: PlacementView,
  ): readonly BackendServer[] => {
    if (!engine || begunVersion !== undefined) return fitting;
    const waiting = deps.countBoundTokens(service.name, priority);
    if (waiting.size === 0) return fitting;
    const needed = new Set(
      [...waiting].flatMap(([version, tokens]) => {
        const servers = fitting.filter(({ softwareVersion }) => softwareVersion === version);
        const memory = measureMemory(servers, promptTokens, engine, view, deps.timing);
        return memory.freeTokens - promptTokens < tokens ? [version] : [];
      }),
    );
    return fitting.filter(({ softwareVersion }) => !needed.has(softwareVersion));
  };

  const chooseFittingPrefill: StreamEngines['choosePrefill'] = (decode, excluded) =>
    choosePrefill(listFitting(), promptTokens, decode, deps.getPlacementView(), excluded);

  const reserveMemory: StreamEngines['reserve'] = (placement, onDone) => {
    const ttlMs = Math.min(
      engine?.maxReservationMs ?? 0,
      placement.prefillMs + reservationMarginMs,
    );
    // A reservation at a limited engine would be one request more.
    if (ttlMs <= 0 || deps.limits.isLimited(placement.decode)) {
      onDone({ kind: 'not-needed' });
      return;
    }
    deps.backends.reserve(
      placement.decode,
      promptTokens + reservedOutputTokens,
      Math.ceil(ttlMs),
      (outcome) => {
        if (outcome.kind === 'full') deps.engineLedger.recordFull(placement.decode.id, deps.now());
        if (outcome.kind === 'fault') {
          const { isMalformed, reason } = outcome;
          // What was malformed is an answer of the engine, so that it can be reached.
          const fault: CallFault = isMalformed
            ? { kind: 'unknown', reason, isMalformed }
            : { ...outcome, kind: 'not-sent' };
          recordFault(placement.decode, 'reserve', fault);
        }
        onDone(outcome);
      },
      { confirmsInstance },
    );
  };

  return {
    requirement,
    listFitting,
    getBegunVersion: () => begunVersion,
    fits,
    recordBegin: (server) => {
      if (begunVersion !== undefined) return;
      begunVersion = server.softwareVersion;
      const callerTimeoutMs = call.metadata.callerTimeoutMs ?? maxStreamLifeMs;
      deps.origins.recordBegin(
        id,
        { service: service.name, softwareVersion: begunVersion },
        ctx.arrivedAt + callerTimeoutMs + takeUpMarginMs,
      );
    },
    confirmsInstance,
    choosePrefill: chooseFittingPrefill,
    choosePlacement: (excluded) => {
      if (!engine) return undefined;
      const view = deps.getPlacementView();
      const fitting = leaveMemoryToBound(listFitting(), view);
      // A loss of all VMs would leave a stream of a version that is not recorded without its origin.
      const recorded =
        begunVersion === undefined ? fitting.filter(deps.origins.isRecorded) : fitting;
      const decode =
        chooseDecode(recorded, requirement, engine, view, excluded) ??
        (recorded.length < fitting.length
          ? chooseDecode(fitting, requirement, engine, view, excluded)
          : undefined);
      if (!decode) return undefined;
      const prefill = chooseFittingPrefill(decode, excluded);
      return {
        decode,
        prefill: prefill?.server,
        prefillMs: prefill
          ? prefill.expectedMs
          : (promptTokens / deps.rates.getPrefillTokensPerMs()) * decodePrefillSlowdown,
      };
    },
    allocateMemory: (server) => {
      const startedAt = deps.now();
      const allocation = deps.engineLedger.addDecode(server.id, promptTokens);
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
          deps.rates.recordOutput(outputTokens, durationMs, server);
          deps.notifyLoadChange(server);
        },
      };
    },
    reserve: (placement, onDone) => {
      deps.limits.hold(placement.decode, id);
      if (placement.prefill) deps.limits.hold(placement.prefill, id);
      reserveMemory(placement, onDone);
    },
    readPrompt: ({ prefill, prefillMs }, onDone) => {
      deps.timing.recordPrompt(promptTokens);
      const sentAt = deps.now();
      const tokensAhead = deps.engineLedger.getTotal(prefill.id, sentAt).prefillTokens;
      deps.engineLedger.addPrefill(prefill.id, promptTokens);
      deps.notifyLoadChange(prefill);
      let isRunning = true;
      const tryFinish = (): boolean => {
        if (!isRunning) return false;
        isRunning = false;
        cancelTimeout();
        // Other VMs are not notified: they reduce the load of a prefill at the assumed rate.
        deps.engineLedger.removePrefill(prefill.id, promptTokens);
        return true;
      };
      const cancelTimeout = startReadTimeout(
        () => {
          if (!tryFinish()) return;
          cancel();
          onDone({ kind: 'fault', fault: { kind: 'unknown', reason: 'no prefill in time' } });
        },
        prefillMs * 2 + prefillTimeoutMarginMs,
      );
      const cancel = deps.backends.prefill(
        prefill,
        call,
        ctx.timeoutAt - deps.now(),
        (outcome) => {
          if (!tryFinish()) return;
          if (outcome.kind === 'done')
            deps.rates.recordPrefill(promptTokens, deps.now() - sentAt, prefill, tokensAhead);
          onDone(outcome);
        },
        { confirmsInstance },
      );
      return () => {
        if (tryFinish()) cancel();
      };
    },
    getFaultyUntil: () => {
      const decode = listFitting().filter(({ stage }) => stage !== 'prefill');
      if (decode.length === 0) return 0;
      const until = Math.min(...decode.map(({ id: server }) => deps.health.getFaultyUntil(server)));
      return until > deps.now() ? until : 0;
    },
    isStillReady: (server) =>
      !deps.health.isPaused(server.id, deps.now()) &&
      deps
        .listReady(service.name)
        .some(
          ({ id: serverId, startedAt }) => serverId === server.id && startedAt === server.startedAt,
        ),
    recordFault,
  };
};
