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

/** How long before a prefill server becomes free it may get its next prefill, in milliseconds. */
const prefillLeadMs = 10;

/** Time in which a placed request must appear in its server's list of holds, in milliseconds. */
const holdGraceMs = 5_000;

/** Time after its expected end from which a prefill counts as ended, in milliseconds. */
const prefillOverdueMs = 10_000;

/** Cost of one output token to a workspace, in prompt tokens. */
const outputTokenWeight = 8;

const minRetryDelayMs = 250;

/** Time between two reviews of the predicted waits in the queues, in milliseconds. */
const reviewPeriodMs = 100;

/** Maximum predicted wait of a new request, as a share of the time until its deadline. */
const maxPredictedWaitShare = 0.8;

/** Orders the completions of a pool and assigns them to backend servers. */
export interface PoolScheduler {
  /** Applies the backend servers and limits of the configuration document. */
  readonly setMembers: (members: readonly PoolMember[], limits: PoolLimits, now: number) => void;
  readonly enqueue: (req: PlacementRequest, now: number) => PlacementDecision[];
  /** Records that the prefill of a request has ended, successfully or not. */
  readonly endPrefill: (id: string, now: number) => PlacementDecision[];
  /** Frees the decode slot of a request, or cancels the request if it is still queued. */
  readonly release: (id: string, now: number) => PlacementDecision[];
  /** Removes the queued requests of a VM that has stopped. */
  readonly releaseOwner: (owner: string, now: number) => PlacementDecision[];
  /** Updates the slots of a decode server from its list of holds, which is authoritative. */
  readonly reconcile: (server: string, ids: readonly string[], now: number) => PlacementDecision[];
  /** Assigns no requests to a server until a time, because it refused one or did not respond. */
  readonly suspend: (server: string, until: number) => void;
  /** Records a cache event of a prefill server; events may be late or missing. */
  readonly recordCacheEvent: (server: string, kind: 'added' | 'evicted', piece: string) => void;
  /** Refuses requests that are predicted to be late and assigns queued ones. */
  readonly tick: (now: number) => PlacementDecision[];
  readonly describe: () => PoolDescription;
}

/**
 * Makes the scheduler of a pool.
 *
 * A decode slot is reserved before a prefill starts, since a prefill without a slot is lost in
 * less than a second. Urgent requests go first, while patient requests keep their share of the
 * slots.
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
      state.isAccepting = isAccepting(state.name);
    });
    decodeServers.forEach((state) => {
      state.isAccepting = isAccepting(state.name);
    });
  };

  const countSlots = (): { total: number; free: number } => {
    let total = 0;
    let free = 0;
    decodeServers.forEach((state) => {
      if (!state.isAccepting) return;
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
    (['urgent', 'patient'] as const).flatMap((requestClass) =>
      queues[requestClass]
        .removeWhere((req) => req.firstTokenDeadline <= now)
        .map((req) => ({
          kind: 'refused' as const,
          id: req.id,
          reason: 'late' as const,
          retryAfterMs: Math.max(
            minRetryDelayMs,
            getExpectedSlotMs(expectedSlotTimes, requestClass) / 2,
          ),
        })),
    );

  const getCost = (req: PlacementRequest): number =>
    req.promptTokens + req.maxTokens * outputTokenWeight;

  const placeNext = (now: number): PlacementDecision | undefined => {
    const { total, free } = countSlots();
    if (free === 0) return undefined;
    const requestClass = chooseClass(total);
    if (!requestClass) return undefined;
    const req = queues[requestClass].peek();
    if (!req) return undefined;
    const prefill = choosePrefill(prefillServers.values(), req, limits, now, now + prefillLeadMs);
    const decode =
      prefill && chooseDecode(decodeServers.values(), limits.slots, prefill.state.dataCentre);
    if (!prefill || !decode) return undefined;
    queues[requestClass].dequeue(getCost(req));
    const hasBacklog = queues[requestClass].rankNewItem(req.workspace).workspaceTokens > 0;
    serviceRates[requestClass].recordServed(req.workspace, req.promptTokens, hasBacklog, now);
    return assign(req, prefill, decode, now);
  };

  /** Ends prefills whose end was not reported, for example because their VM has died. */
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
    // The expected ends of the other prefills shift by the difference to the actual end.
    const estimateError = now - expected;
    state.runningPrefills.forEach((end, otherId) =>
      state.runningPrefills.set(otherId, Math.max(now, end + estimateError)),
    );
    state.busyUntil = Math.max(now, ...state.runningPrefills.values());
  };

  /** Predicts the wait for the first token, with `ahead` other requests of the class served first. */
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
    const meanTokens = queue.size() === 0 ? 0 : queue.countPromptTokens() / queue.size();
    const urgentTokens = urgentAhead > 0 ? queues.urgent.countPromptTokens() : 0;
    const tokensAhead = ahead * meanTokens + urgentTokens;
    const prefillWait = predictPrefillWait(prefillServers.values(), limits, tokensAhead, now);
    const fastest = choosePrefill(
      prefillServers.values(),
      req,
      limits,
      now,
      Number.POSITIVE_INFINITY,
    );
    return Math.max(slotWait, prefillWait) + (fastest?.costMs ?? 0);
  };

  /**
   * Predicts the time at which a request gets its first token.
   *
   * @param ahead - requests of its class that would be served before it
   * @param workspaceTokens - prompt tokens of those that belong to the same workspace
   */
  const predictFirstToken = (
    req: PlacementRequest,
    ahead: number,
    workspaceTokens: number,
    now: number,
  ): number => {
    const waitByServiceRate = serviceRates[req.class].predictWaitMs(
      req.workspace,
      workspaceTokens,
      req.promptTokens,
      now,
    );
    return now + Math.max(predictWait(req, ahead, now), waitByServiceRate);
  };

  const makeLateRefusal = (req: PlacementRequest, predicted: number): PlacementDecision => ({
    kind: 'refused',
    id: req.id,
    reason: 'late',
    retryAfterMs: Math.max(minRetryDelayMs, predicted - req.firstTokenDeadline),
  });

  /** Refuses queued requests that are now predicted to be late, so that their callers do not wait needlessly. */
  const refuseExpectedLate = (now: number): PlacementDecision[] => {
    if (now - reviewedAt < reviewPeriodMs) return [];
    reviewedAt = now;
    return (['urgent', 'patient'] as const).flatMap((requestClass) => {
      const predictions = new Map<string, number>();
      const late = queues[requestClass].removeByRank((req, ahead, workspaceTokens) => {
        const predicted = predictFirstToken(req, ahead, workspaceTokens, now);
        predictions.set(req.id, predicted);
        return predicted > req.firstTokenDeadline;
      });
      return late.map((req) => makeLateRefusal(req, predictions.get(req.id) ?? now));
    });
  };

  return {
    setMembers: (members, newLimits, now) => {
      limits = newLimits;
      const memberNames = new Set(members.map((member) => member.name));
      acceptingByName.clear();
      members.forEach((member) => {
        acceptingByName.set(member.name, member.isAccepting);
        const servers: Map<string, { dataCentre: string }> =
          member.role === 'prefill' ? prefillServers : decodeServers;
        const existing = servers.get(member.name);
        if (existing) existing.dataCentre = member.dataCentre;
        else if (member.role === 'prefill')
          prefillServers.set(member.name, {
            name: member.name,
            dataCentre: member.dataCentre,
            isAccepting: false,
            busyUntil: now,
            runningPrefills: new Map(),
            pieces: new Set(),
          });
        else
          decodeServers.set(member.name, {
            name: member.name,
            dataCentre: member.dataCentre,
            isAccepting: false,
            occupiedSlots: new Map(),
            externalSlots: 0,
          });
      });
      prefillServers.forEach((_, name) => !memberNames.has(name) && prefillServers.delete(name));
      decodeServers.forEach((state, name) => {
        if (!memberNames.has(name) && state.occupiedSlots.size === 0) decodeServers.delete(name);
      });
      refreshAccepting(now);
    },
    enqueue: (req, now) => {
      refreshAccepting(now);
      const hasPrefillServer = [...prefillServers.values()].some((server) => server.isAccepting);
      const hasDecodeServer = [...decodeServers.values()].some((server) => server.isAccepting);
      if (!hasPrefillServer || !hasDecodeServer)
        return [{ kind: 'refused', id: req.id, reason: 'no-servers', retryAfterMs: 1_000 }];
      const { ahead, workspaceTokens } = queues[req.class].rankNewItem(req.workspace);
      const predicted = predictFirstToken(req, ahead, workspaceTokens, now);
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
        const isOverdue = slot.startedAt + holdGraceMs < now && !prefillByRequest.has(id);
        if (isOverdue && !listedIds.has(id)) freeSlot(id, now);
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
        ...[...prefillServers.values()].map((server) => ({
          name: server.name,
          load: server.runningPrefills.size,
        })),
        ...[...decodeServers.values()].map((server) => ({
          name: server.name,
          load: countOccupiedSlots(server),
        })),
      ],
    }),
  };
};
