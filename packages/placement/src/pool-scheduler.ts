import type { RequestClass } from '@hemlocksill/types/requests.js';
import {
  chooseDecode,
  choosePrefill,
  countOccupiedSlots,
  recordCachedPieces,
  type PrefillChoice,
} from './choose-servers.js';
import { makeFairQueue, type FairQueue } from './fair-queue.js';
import type {
  DecodeState,
  OccupiedSlot,
  PlacementDecision,
  PlacementRequest,
  PoolDescription,
  PoolLimits,
  PoolMember,
  PrefillState,
} from './pool-types.js';
import { makeServiceRateEstimator } from './service-rate.js';
import {
  getExpectedSlotMs,
  predictPrefillWait,
  predictSlotWait,
  recordSlotMs,
  type ExpectedSlotTimes,
} from './predict.js';

/** Work given to a prefill server ahead of its being free, in milliseconds. */
const prefillLeadMs = 10;

/** Time in which a placed request must show up among its server's holds. */
const holdGraceMs = 5_000;

/** Time beyond its expected end after which a prefill counts as ended. */
const prefillOverdueMs = 10_000;

/** Output tokens that cost a workspace as much as one prompt token. */
const outputTokenWeight = 8;

const minRetryDelayMs = 250;

/** Time between two reviews of the queues. */
const reviewPeriodMs = 100;

/** Share of the time left that the predicted wait of a new request may take. */
const maxPredictedWaitShare = 0.8;

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
  const prefillServers = new Map<string, PrefillState>();
  const decodeServers = new Map<string, DecodeState>();
  const suspendedUntil = new Map<string, number>();
  const acceptingByName = new Map<string, boolean>();
  const decodeByRequest = new Map<string, string>();
  const prefillByRequest = new Map<string, string>();
  const queues: Record<RequestClass, FairQueue> = {
    urgent: makeFairQueue(),
    patient: makeFairQueue(),
  };
  const serviceRates = { urgent: makeServiceRateEstimator(), patient: makeServiceRateEstimator() };
  const expectedSlotTimes: ExpectedSlotTimes = new Map();
  let limits: PoolLimits = { slots: 1, prefillRate: 1, pieceTokens: 1, patientShare: 0.5 };
  let patientSlotCount = 0;
  let reviewedAt = 0;

  const refreshAccepting = (now: number): void => {
    const isAccepting = (name: string) =>
      acceptingByName.get(name) === true && (suspendedUntil.get(name) ?? 0) <= now;
    prefillServers.forEach((state) => {
      state.accepting = isAccepting(state.name);
    });
    decodeServers.forEach((state) => {
      state.accepting = isAccepting(state.name);
    });
  };

  const countSlots = (): { total: number; free: number } => {
    let total = 0;
    let free = 0;
    decodeServers.forEach((state) => {
      if (!state.accepting) return;
      total += limits.slots;
      free += Math.max(0, limits.slots - countOccupiedSlots(state));
    });
    return { total, free };
  };

  const chooseClass = (total: number): RequestClass | undefined => {
    const hasUrgent = queues.urgent.size() > 0;
    const hasPatient = queues.patient.size() > 0;
    if (hasUrgent && hasPatient)
      return patientSlotCount < total * limits.patientShare ? 'patient' : 'urgent';
    if (hasUrgent) return 'urgent';
    return hasPatient ? 'patient' : undefined;
  };

  const assign = (
    req: PlacementRequest,
    prefill: PrefillChoice,
    decode: DecodeState,
    now: number,
  ): PlacementDecision => {
    const slot: OccupiedSlot = {
      owner: req.owner,
      class: req.class,
      startedAt: now,
      expectedEnd: prefill.doneAt + getExpectedSlotMs(expectedSlotTimes, req.class),
    };
    decode.occupiedSlots.set(req.id, slot);
    decodeByRequest.set(req.id, decode.name);
    prefillByRequest.set(req.id, prefill.state.name);
    prefill.state.runningPrefills.set(req.id, prefill.doneAt);
    prefill.state.busyUntil = prefill.doneAt;
    recordCachedPieces(prefill.state, req.pieces);
    if (req.class === 'patient') patientSlotCount += 1;
    return {
      kind: 'assigned',
      id: req.id,
      prefill: prefill.state.name,
      decode: decode.name,
    };
  };

  const refuseExpired = (now: number): PlacementDecision[] =>
    (['urgent', 'patient'] as const).flatMap((cls) =>
      queues[cls]
        .removeWhere((req) => req.firstTokenDeadline <= now)
        .map((req) => ({
          kind: 'refused' as const,
          id: req.id,
          reason: 'late' as const,
          retryAfterMs: Math.max(minRetryDelayMs, getExpectedSlotMs(expectedSlotTimes, cls) / 2),
        })),
    );

  const getCost = (req: PlacementRequest): number => req.promptTokens + req.maxTokens * outputTokenWeight;

  const placeNext = (now: number): PlacementDecision | undefined => {
    const { total, free } = countSlots();
    if (free === 0) return undefined;
    const cls = chooseClass(total);
    if (!cls) return undefined;
    const req = queues[cls].peek();
    if (!req) return undefined;
    const prefill = choosePrefill(prefillServers.values(), req, limits, now, now + prefillLeadMs);
    const decode =
      prefill && chooseDecode(decodeServers.values(), limits.slots, prefill.state.dataCentre);
    if (!prefill || !decode) return undefined;
    queues[cls].dequeue(getCost(req));
    const hasBacklog = queues[cls].rankNewItem(req.workspace).workspaceTokens > 0;
    serviceRates[cls].recordServed(req.workspace, req.promptTokens, hasBacklog, now);
    return assign(req, prefill, decode, now);
  };

  /** Ends prefills whose end was never told, as when their VM has died. */
  const endOverduePrefills = (now: number): void =>
    prefillServers.forEach((state) =>
      state.runningPrefills.forEach((end, id) => {
        if (end + prefillOverdueMs < now) completePrefill(id, now);
      }),
    );

  const placeQueued = (now: number): PlacementDecision[] => {
    endOverduePrefills(now);
    refreshAccepting(now);
    const decisions = refuseExpired(now);
    for (let next = placeNext(now); next; next = placeNext(now)) decisions.push(next);
    return decisions;
  };

  const freeSlot = (id: string, now: number): void => {
    const decode = decodeServers.get(decodeByRequest.get(id) ?? '');
    const slot = decode?.occupiedSlots.get(id);
    decodeByRequest.delete(id);
    if (!decode || !slot) return;
    decode.occupiedSlots.delete(id);
    if (slot.class === 'patient') patientSlotCount -= 1;
    recordSlotMs(expectedSlotTimes, slot.class, now - slot.startedAt);
  };

  const completePrefill = (id: string, now: number): void => {
    const state = prefillServers.get(prefillByRequest.get(id) ?? '');
    prefillByRequest.delete(id);
    const expected = state?.runningPrefills.get(id);
    if (!state || expected === undefined) return;
    state.runningPrefills.delete(id);
    // The estimates of those behind it move with its true end.
    const error = now - expected;
    state.runningPrefills.forEach((end, other) => state.runningPrefills.set(other, Math.max(now, end + error)));
    state.busyUntil = Math.max(now, ...state.runningPrefills.values());
  };

  /** Predicts the wait for the first token with `ahead` others of the class before it. */
  const predictWait = (req: PlacementRequest, ahead: number, now: number): number => {
    const queue = queues[req.class];
    const urgentAhead = req.class === 'patient' ? queues.urgent.size() : 0;
    const slotWait = predictSlotWait(
      decodeServers.values(),
      limits.slots,
      ahead + urgentAhead,
      getExpectedSlotMs(expectedSlotTimes, req.class),
      now,
    );
    const meanTokens = queue.size() === 0 ? 0 : queue.totalPromptTokens() / queue.size();
    const urgentTokens = urgentAhead > 0 ? queues.urgent.totalPromptTokens() : 0;
    const tokensAhead = ahead * meanTokens + urgentTokens;
    const prefillWait = predictPrefillWait(prefillServers.values(), limits, tokensAhead, now);
    const fastest = choosePrefill(prefillServers.values(), req, limits, now, Number.POSITIVE_INFINITY);
    return Math.max(slotWait, prefillWait) + (fastest?.costMs ?? 0);
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
    const waitByServiceRate = serviceRates[req.class].predictWaitMs(req.workspace, ownTokens, req.promptTokens, now);
    return now + Math.max(predictWait(req, ahead, now), waitByServiceRate);
  };

  const makeLateRefusal = (req: PlacementRequest, predicted: number): PlacementDecision => ({
    kind: 'refused',
    id: req.id,
    reason: 'late',
    retryAfterMs: Math.max(minRetryDelayMs, predicted - req.firstTokenDeadline),
  });

  /** Refuses what has become too late by now, so that nobody waits for nothing. */
  const refuseExpectedLate = (now: number): PlacementDecision[] => {
    if (now - reviewedAt < reviewPeriodMs) return [];
    reviewedAt = now;
    return (['urgent', 'patient'] as const).flatMap((cls) => {
      const predictions = new Map<string, number>();
      const late = queues[cls].removeByRank((req, ahead, ownTokens) => {
        const predicted = predictFirstToken(req, ahead, ownTokens, now);
        predictions.set(req.id, predicted);
        return predicted > req.firstTokenDeadline;
      });
      return late.map((req) => makeLateRefusal(req, predictions.get(req.id) ?? now));
    });
  };

  return {
    setMembers: (members, newLimits, now) => {
      limits = newLimits;
      const names = new Set(members.map((m) => m.name));
      acceptingByName.clear();
      members.forEach((m) => {
        acceptingByName.set(m.name, m.accepting);
        const states: Map<string, { dataCentre: string }> =
          m.role === 'prefill' ? prefillServers : decodeServers;
        const existing = states.get(m.name);
        if (existing) existing.dataCentre = m.dataCentre;
        else if (m.role === 'prefill')
          prefillServers.set(m.name, {
            name: m.name,
            dataCentre: m.dataCentre,
            accepting: false,
            busyUntil: now,
            runningPrefills: new Map(),
            pieces: new Set(),
          });
        else
          decodeServers.set(m.name, {
            name: m.name,
            dataCentre: m.dataCentre,
            accepting: false,
            occupiedSlots: new Map(),
            externalSlots: 0,
          });
      });
      prefillServers.forEach((_, name) => !names.has(name) && prefillServers.delete(name));
      decodeServers.forEach((state, name) => {
        if (!names.has(name) && state.occupiedSlots.size === 0) decodeServers.delete(name);
      });
      refreshAccepting(now);
    },
    enqueue: (req, now) => {
      refreshAccepting(now);
      const hasPrefillServer = [...prefillServers.values()].some((s) => s.accepting);
      const slots = [...decodeServers.values()].some((s) => s.accepting);
      if (!hasPrefillServer || !slots)
        return [{ kind: 'refused', id: req.id, reason: 'no-servers', retryAfterMs: 1_000 }];
      const { ahead, workspaceTokens: ownTokens } = queues[req.class].rankNewItem(req.workspace);
      const predicted = predictFirstToken(req, ahead, ownTokens, now);
      const latestFirstToken = now + (req.firstTokenDeadline - now) * maxPredictedWaitShare;
      if (predicted > latestFirstToken) return [makeLateRefusal(req, predicted)];
      queues[req.class].push(req);
      return placeQueued(now);
    },
    endPrefill: (id, now) => {
      completePrefill(id, now);
      return placeQueued(now);
    },
    release: (id, now) => {
      const queued = queues.urgent.remove(id) ?? queues.patient.remove(id);
      completePrefill(id, now);
      freeSlot(id, now);
      const cancelled: PlacementDecision[] = queued
        ? [{ kind: 'refused', id, reason: 'cancelled', retryAfterMs: 0 }]
        : [];
      return [...cancelled, ...placeQueued(now)];
    },
    releaseOwner: (owner, now) => {
      queues.urgent.removeWhere((req) => req.owner === owner);
      queues.patient.removeWhere((req) => req.owner === owner);
      return placeQueued(now);
    },
    reconcile: (server, ids, now) => {
      const state = decodeServers.get(server);
      if (!state) return [];
      const listedIds = new Set(ids);
      [...state.occupiedSlots].forEach(([id, slot]) => {
        const due = slot.startedAt + holdGraceMs < now && !prefillByRequest.has(id);
        if (due && !listedIds.has(id)) freeSlot(id, now);
      });
      state.externalSlots = ids.filter((id) => !state.occupiedSlots.has(id)).length;
      return placeQueued(now);
    },
    suspend: (server, until) => {
      suspendedUntil.set(server, until);
    },
    recordCacheEvent: (server, kind, piece) => {
      const state = prefillServers.get(server);
      if (kind === 'evicted') state?.pieces.delete(piece);
      else if (state) recordCachedPieces(state, [piece]);
    },
    tick: (now) => [...refuseExpectedLate(now), ...placeQueued(now)],
    describe: () => ({
      queued: { urgent: queues.urgent.size(), patient: queues.patient.size() },
      servers: [
        ...[...prefillServers.values()].map((s) => ({ name: s.name, load: s.runningPrefills.size })),
        ...[...decodeServers.values()].map((s) => ({ name: s.name, load: countOccupiedSlots(s) })),
      ],
    }),
  };
};
