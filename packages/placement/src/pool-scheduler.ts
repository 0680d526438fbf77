import type { RequestClass } from '@hemlocksill/types/requests.js';
import {
  chooseDecode,
  choosePrefill,
  countTaken,
  rememberPieces,
  type PrefillChoice,
} from './choose-servers.js';
import { makeFairQueue, type FairQueue } from './fair-queue.js';
import type {
  DecodeState,
  HeldSlot,
  PlacementDecision,
  PlacementRequest,
  PoolDescription,
  PoolLimits,
  PoolMember,
  PrefillState,
} from './pool-types.js';
import { makeServePace } from './service-rate.js';
import {
  getSlotMs,
  observeSlotMs,
  predictPrefillWait,
  predictSlotWait,
  type SlotTimes,
} from './predict.js';

/** Work given to a prefill server ahead of its being free, in milliseconds. */
const prefillLeadMs = 10;

/** Time in which a placed request must show up among its server's holds. */
const placementGraceMs = 5_000;

/** Time beyond its expected end after which a prefill counts as ended. */
const overduePrefillMs = 10_000;

/** Output tokens that cost a workspace as much as one prompt token. */
const outputWeight = 8;

const shortestRetryMs = 250;

/** Time between two reviews of the queues. */
const reviewPeriodMs = 100;

/** Share of the time left that the predicted wait of a new request may take. */
const admittedShare = 0.8;

/** The one place that orders and places the completions of a pool. */
export interface PoolScheduler {
  /** Takes the document's servers and limits into force. */
  readonly setMembers: (members: readonly PoolMember[], limits: PoolLimits, now: number) => void;
  readonly enqueue: (req: PlacementRequest, now: number) => PlacementDecision[];
  /** The prefill of a request has ended, well or not. */
  readonly endPrefill: (id: string, now: number) => PlacementDecision[];
  /** A request has left its decode slot, or is given up. */
  readonly release: (id: string, now: number) => PlacementDecision[];
  /** Everything of an owner that is gone is given up. */
  readonly releaseOwner: (owner: string, now: number) => PlacementDecision[];
  /** A decode server's own list of holds, which is the truth. */
  readonly reconcile: (server: string, ids: readonly string[], now: number) => PlacementDecision[];
  /** A server answered that it cannot take work, or did not answer. */
  readonly suspend: (server: string, until: number) => void;
  /** A cache event; events may be late or missing. */
  readonly recordCacheEvent: (server: string, kind: 'added' | 'evicted', piece: string) => void;
  readonly tick: (now: number) => PlacementDecision[];
  readonly describe: () => PoolDescription;
}

/**
 * Makes the scheduler of a pool.
 *
 * A decode slot is reserved before a prefill begins, since a prefill without a slot is
 * lost in under a second. Urgent work goes first while patient work keeps its share.
 *
 * @example
 * const pool = makePoolScheduler();
 * pool.setMembers(members, limits, now);
 * const decisions = pool.enqueue(req, now);
 */
export const makePoolScheduler = (): PoolScheduler => {
  const prefills = new Map<string, PrefillState>();
  const decodes = new Map<string, DecodeState>();
  const suspended = new Map<string, number>();
  const accepting = new Map<string, boolean>();
  const slotOf = new Map<string, string>();
  const prefillOf = new Map<string, string>();
  const queues: Record<RequestClass, FairQueue> = {
    urgent: makeFairQueue(),
    patient: makeFairQueue(),
  };
  const paces = { urgent: makeServePace(), patient: makeServePace() };
  const slotTimes: SlotTimes = new Map();
  let limits: PoolLimits = { slots: 1, prefillRate: 1, pieceTokens: 1, patientShare: 0.5 };
  let patientHeld = 0;
  let reviewedAt = 0;

  const refreshAccepting = (now: number): void => {
    const isOpen = (name: string) =>
      accepting.get(name) === true && (suspended.get(name) ?? 0) <= now;
    prefills.forEach((state) => {
      state.accepting = isOpen(state.name);
    });
    decodes.forEach((state) => {
      state.accepting = isOpen(state.name);
    });
  };

  const countSlots = (): { total: number; free: number } => {
    let total = 0;
    let free = 0;
    decodes.forEach((state) => {
      if (!state.accepting) return;
      total += limits.slots;
      free += Math.max(0, limits.slots - countTaken(state));
    });
    return { total, free };
  };

  const chooseClass = (total: number): RequestClass | undefined => {
    const hasUrgent = queues.urgent.size() > 0;
    const hasPatient = queues.patient.size() > 0;
    if (hasUrgent && hasPatient)
      return patientHeld < total * limits.patientShare ? 'patient' : 'urgent';
    if (hasUrgent) return 'urgent';
    return hasPatient ? 'patient' : undefined;
  };

  const place = (
    req: PlacementRequest,
    prefill: PrefillChoice,
    decode: DecodeState,
    now: number,
  ): PlacementDecision => {
    const slot: HeldSlot = {
      owner: req.owner,
      class: req.class,
      since: now,
      expectedEnd: prefill.doneAt + getSlotMs(slotTimes, req.class),
    };
    decode.held.set(req.id, slot);
    slotOf.set(req.id, decode.name);
    prefillOf.set(req.id, prefill.state.name);
    prefill.state.running.set(req.id, prefill.doneAt);
    prefill.state.busyUntil = prefill.doneAt;
    rememberPieces(prefill.state, req.pieces);
    if (req.class === 'patient') patientHeld += 1;
    return {
      kind: 'assigned',
      id: req.id,
      prefill: prefill.state.name,
      decode: decode.name,
    };
  };

  const refuseLate = (now: number): PlacementDecision[] =>
    (['urgent', 'patient'] as const).flatMap((cls) =>
      queues[cls]
        .removeWhere((req) => req.firstTokenDeadline <= now)
        .map((req) => ({
          kind: 'refused' as const,
          id: req.id,
          reason: 'late' as const,
          retryAfterMs: Math.max(shortestRetryMs, getSlotMs(slotTimes, cls) / 2),
        })),
    );

  const costOf = (req: PlacementRequest): number => req.promptTokens + req.maxTokens * outputWeight;

  const placeNext = (now: number): PlacementDecision | undefined => {
    const { total, free } = countSlots();
    if (free === 0) return undefined;
    const first = chooseClass(total);
    if (!first) return undefined;
    const req = queues[first].peek();
    if (!req) return undefined;
    const prefill = choosePrefill(prefills.values(), req, limits, now, now + prefillLeadMs);
    const decode =
      prefill && chooseDecode(decodes.values(), limits.slots, prefill.state.dataCentre);
    if (!prefill || !decode) return undefined;
    queues[first].take(costOf(req));
    const hasBacklog = queues[first].rankNext(req.workspace).ownTokens > 0;
    paces[first].noteServed(req.workspace, req.promptTokens, hasBacklog, now);
    return place(req, prefill, decode, now);
  };

  /** Ends prefills whose end was never told, as when their VM has died. */
  const sweepPrefills = (now: number): void =>
    prefills.forEach((state) =>
      state.running.forEach((end, id) => {
        if (end + overduePrefillMs < now) endPrefillOf(id, now);
      }),
    );

  const run = (now: number): PlacementDecision[] => {
    sweepPrefills(now);
    refreshAccepting(now);
    const decisions = refuseLate(now);
    for (let next = placeNext(now); next; next = placeNext(now)) decisions.push(next);
    return decisions;
  };

  const freeSlot = (id: string, now: number): void => {
    const decode = decodes.get(slotOf.get(id) ?? '');
    const slot = decode?.held.get(id);
    slotOf.delete(id);
    if (!decode || !slot) return;
    decode.held.delete(id);
    if (slot.class === 'patient') patientHeld -= 1;
    observeSlotMs(slotTimes, slot.class, now - slot.since);
  };

  const endPrefillOf = (id: string, now: number): void => {
    const state = prefills.get(prefillOf.get(id) ?? '');
    prefillOf.delete(id);
    const expected = state?.running.get(id);
    if (!state || expected === undefined) return;
    state.running.delete(id);
    // The estimates of those behind it move with its true end.
    const error = now - expected;
    state.running.forEach((end, other) => state.running.set(other, Math.max(now, end + error)));
    state.busyUntil = Math.max(now, ...state.running.values());
  };

  /** Predicts the wait for the first token with `ahead` others of the class before it. */
  const predictWait = (req: PlacementRequest, ahead: number, now: number): number => {
    const queue = queues[req.class];
    const urgentAhead = req.class === 'patient' ? queues.urgent.size() : 0;
    const slotWait = predictSlotWait(
      decodes.values(),
      limits.slots,
      ahead + urgentAhead,
      getSlotMs(slotTimes, req.class),
      now,
    );
    const meanTokens = queue.size() === 0 ? 0 : queue.promptTokens() / queue.size();
    const urgentTokens = urgentAhead > 0 ? queues.urgent.promptTokens() : 0;
    const tokensAhead = ahead * meanTokens + urgentTokens;
    const prefillWait = predictPrefillWait(prefills.values(), limits, tokensAhead, now);
    const best = choosePrefill(prefills.values(), req, limits, now, Number.POSITIVE_INFINITY);
    return Math.max(slotWait, prefillWait) + (best?.costMs ?? 0);
  };

  /**
   * Predicts when a request gets its first token.
   *
   * @param ahead - requests of its class that would be served before it
   * @param ownTokens - prompt tokens among them that are of its own workspace
   */
  const predictFirstToken = (
    req: PlacementRequest,
    ahead: number,
    ownTokens: number,
    now: number,
  ): number => {
    const byPace = paces[req.class].predictMs(req.workspace, ownTokens, req.promptTokens, now);
    return now + Math.max(predictWait(req, ahead, now), byPace);
  };

  const refuseAs = (req: PlacementRequest, predicted: number): PlacementDecision => ({
    kind: 'refused',
    id: req.id,
    reason: 'late',
    retryAfterMs: Math.max(shortestRetryMs, predicted - req.firstTokenDeadline),
  });

  /** Refuses what has become too late by now, so that nobody waits for nothing. */
  const refuseHopeless = (now: number): PlacementDecision[] => {
    if (now - reviewedAt < reviewPeriodMs) return [];
    reviewedAt = now;
    return (['urgent', 'patient'] as const).flatMap((cls) => {
      const predictions = new Map<string, number>();
      const late = queues[cls].removeByRank((req, ahead, ownTokens) => {
        const predicted = predictFirstToken(req, ahead, ownTokens, now);
        predictions.set(req.id, predicted);
        return predicted > req.firstTokenDeadline;
      });
      return late.map((req) => refuseAs(req, predictions.get(req.id) ?? now));
    });
  };

  return {
    setMembers: (members, newLimits, now) => {
      limits = newLimits;
      const names = new Set(members.map((m) => m.name));
      accepting.clear();
      members.forEach((m) => {
        accepting.set(m.name, m.accepting);
        const states: Map<string, { dataCentre: string }> =
          m.role === 'prefill' ? prefills : decodes;
        const known = states.get(m.name);
        if (known) known.dataCentre = m.dataCentre;
        else if (m.role === 'prefill')
          prefills.set(m.name, {
            name: m.name,
            dataCentre: m.dataCentre,
            accepting: false,
            busyUntil: now,
            running: new Map(),
            pieces: new Set(),
          });
        else
          decodes.set(m.name, {
            name: m.name,
            dataCentre: m.dataCentre,
            accepting: false,
            held: new Map(),
            foreign: 0,
          });
      });
      prefills.forEach((_, name) => !names.has(name) && prefills.delete(name));
      decodes.forEach((state, name) => {
        if (!names.has(name) && state.held.size === 0) decodes.delete(name);
      });
      refreshAccepting(now);
    },
    enqueue: (req, now) => {
      refreshAccepting(now);
      const open = [...prefills.values()].some((s) => s.accepting);
      const slots = [...decodes.values()].some((s) => s.accepting);
      if (!open || !slots)
        return [{ kind: 'refused', id: req.id, reason: 'no-servers', retryAfterMs: 1_000 }];
      const { ahead, ownTokens } = queues[req.class].rankNext(req.workspace);
      const predicted = predictFirstToken(req, ahead, ownTokens, now);
      const latest = now + (req.firstTokenDeadline - now) * admittedShare;
      if (predicted > latest) return [refuseAs(req, predicted)];
      queues[req.class].push(req);
      return run(now);
    },
    endPrefill: (id, now) => {
      endPrefillOf(id, now);
      return run(now);
    },
    release: (id, now) => {
      const queued = queues.urgent.remove(id) ?? queues.patient.remove(id);
      endPrefillOf(id, now);
      freeSlot(id, now);
      const cancelled: PlacementDecision[] = queued
        ? [{ kind: 'refused', id, reason: 'cancelled', retryAfterMs: 0 }]
        : [];
      return [...cancelled, ...run(now)];
    },
    releaseOwner: (owner, now) => {
      queues.urgent.removeWhere((req) => req.owner === owner);
      queues.patient.removeWhere((req) => req.owner === owner);
      return run(now);
    },
    reconcile: (server, ids, now) => {
      const state = decodes.get(server);
      if (!state) return [];
      const listed = new Set(ids);
      [...state.held].forEach(([id, slot]) => {
        const due = slot.since + placementGraceMs < now && !prefillOf.has(id);
        if (due && !listed.has(id)) freeSlot(id, now);
      });
      state.foreign = ids.filter((id) => !state.held.has(id)).length;
      return run(now);
    },
    suspend: (server, until) => {
      suspended.set(server, until);
    },
    recordCacheEvent: (server, kind, piece) => {
      const state = prefills.get(server);
      if (kind === 'evicted') state?.pieces.delete(piece);
      else if (state) rememberPieces(state, [piece]);
    },
    tick: (now) => [...refuseHopeless(now), ...run(now)],
    describe: () => ({
      queued: { urgent: queues.urgent.size(), patient: queues.patient.size() },
      servers: [
        ...[...prefills.values()].map((s) => ({ name: s.name, load: s.running.size })),
        ...[...decodes.values()].map((s) => ({ name: s.name, load: countTaken(s) })),
      ],
    }),
  };
};
