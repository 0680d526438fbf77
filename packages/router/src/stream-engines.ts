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
} from '@hemlocksill/routing/place-work.js';
import type { MemoryAllocation } from '@hemlocksill/routing/engine-ledger.js';
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
  /** Chooses engines with memory for the stream; undefined if there are none now. */
  readonly choosePlacement: (excluded: ReadonlySet<string>) => Placement | undefined;
  /** Adds the memory of the stream at an engine to the ledger until `release` is called. */
  readonly allocateMemory: (server: BackendServer) => MemoryAllocation;
  /** Reserves the memory of the stream at its decode engine, if the engine knows reservations. */
  readonly reserve: (placement: Placement, onDone: (outcome: ReservationOutcome) => void) => void;
  /** Has the prompt read by the prefill engine; a call that takes too long counts as a fault. */
  readonly readPrompt: (
    placement: SplitPlacement,
    onDone: (outcome: PrefillOutcome) => void,
  ) => CancelCall;
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
 * makeStreamEngines(deps, ctx).choosePlacement(new Set());
 */
export const makeStreamEngines = (deps: RunDeps, ctx: CallContext): StreamEngines => {
  const { call, service } = ctx;
  const { engine } = service;
  const { id } = call.metadata;
  const requirement = estimateMemoryRequirement(ctx);
  const { promptTokens } = requirement;

  const recordFault = (server: BackendServer, step: string, fault: CallFault): void => {
    deps.log(2306, {
      id,
      request: ctx.fingerprint,
      server: server.id,
      step,
      fault: fault.kind,
      reason: fault.reason,
    });
    if (fault.kind === 'not-sent') deps.health.record(server.id, 'unreachable', deps.now());
    if (fault.kind === 'unknown') deps.health.record(server.id, 'broken', deps.now());
    if (fault.kind === 'rejected' && fault.reason === 'other-instance')
      deps.health.record(server.id, 'replaced', deps.now());
  };

  return {
    requirement,
    choosePlacement: (excluded) => {
      if (!engine) return undefined;
      const engines = deps.listReady(service.name);
      const view = deps.getPlacementView();
      const decode = chooseDecode(engines, requirement, engine, view, excluded);
      if (!decode) return undefined;
      const prefill = choosePrefill(engines, promptTokens, decode.dataCentre, view, excluded);
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
          deps.rates.recordOutput(outputTokens, durationMs);
          deps.notifyLoadChange(server);
        },
      };
    },
    reserve: (placement, onDone) => {
      deps.limits.hold(placement.decode, id);
      if (placement.prefill) deps.limits.hold(placement.prefill, id);
      if (deps.limits.isLimited(placement.decode)) {
        // A reservation would be one request more.
        onDone({ kind: 'not-needed' });
        return;
      }
      const ttlMs = Math.min(
        engine?.maxReservationMs ?? 0,
        placement.prefillMs + reservationMarginMs,
      );
      if (ttlMs <= 0) {
        onDone({ kind: 'not-needed' });
        return;
      }
      deps.backends.reserve(
        placement.decode,
        promptTokens + reservedOutputTokens,
        Math.ceil(ttlMs),
        (outcome) => {
          if (outcome.kind === 'full')
            deps.engineLedger.recordFull(placement.decode.id, deps.now());
          if (outcome.kind === 'fault')
            recordFault(placement.decode, 'reserve', { kind: 'not-sent', reason: outcome.reason });
          onDone(outcome);
        },
      );
    },
    readPrompt: ({ prefill, prefillMs }, onDone) => {
      deps.timing.recordPrompt(promptTokens);
      const sentAt = deps.now();
      deps.engineLedger.addPrefill(prefill.id, promptTokens);
      deps.notifyLoadChange(prefill);
      let isRunning = true;
      const tryFinish = (): boolean => {
        if (!isRunning) return false;
        isRunning = false;
        clearTimeout(timer);
        // Other VMs are not notified: they reduce the load of a prefill at the assumed rate.
        deps.engineLedger.removePrefill(prefill.id, promptTokens);
        return true;
      };
      const timer = setTimeout(
        () => {
          if (!tryFinish()) return;
          cancel();
          onDone({ kind: 'fault', fault: { kind: 'unknown', reason: 'no prefill in time' } });
        },
        prefillMs * 2 + prefillTimeoutMarginMs,
      );
      const cancel = deps.backends.prefill(prefill, call, ctx.timeoutAt - deps.now(), (outcome) => {
        if (!tryFinish()) return;
        if (outcome.kind === 'done') deps.rates.recordPrefill(promptTokens, deps.now() - sentAt);
        onDone(outcome);
      });
      return () => {
        if (tryFinish()) cancel();
      };
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
