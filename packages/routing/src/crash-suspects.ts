import type { CrashRow, CrashRowState } from './crash-rows.js';
import { listCrashRows, maxRowsOfState, survivalRepeatMs } from './list-crash-rows.js';
import {
  getLatestIncident,
  getListedInstance,
  hasIncident,
  hasIncidentSince,
  makePartCase,
  makeRepeatedInstance,
  type PartCase,
} from './part-case.js';
import { makePartStats } from './part-stats.js';
import { isRequestPart } from './request-part.js';

/** Incidents after which a part is blocked; chance seldom ends that many servers on it. */
const maxIncidents = 3;

/**
 * Time for which a part that an engine has just survived needs more incidents: requests with a part
 * that many share are often at an engine that crashes for another reason.
 */
const protectionMs = 30_000;

/** Incidents since its last survival after which a protected part is blocked. */
const maxIncidentsProtected = 8;

/** Time within which an incident has reached all VMs, also if a message was lost. */
const incidentRelayMs = 600;

/** Age at which an incident no longer counts for a part that is not blocked. */
const incidentTtlMs = 60_000;

/** The same for a whole request, which shares its incidents with few others. */
const requestIncidentTtlMs = 600_000;

/** Time after the last request with a blocked part at any VM until the part is released. */
const blockTtlMs = 600_000;

/**
 * Time until one request with a blocked part is tried again, plus up to as much at random, so that the VMs
 * don't try at once; doubled at each crash.
 */
const firstProbeDelayMs = 60_000;
const maxProbeDelayMs = 1_800_000;

/** Time after a block in which crashes are those of requests that had been sent before. */
const blockSettleMs = 10_000;

/** A block that ends within this time is not taken over from a peer. */
const blockAdoptionMarginMs = 30_000;

/** Times that peers relay to each other count as equal within this time, or they would never age. */
const relayToleranceMs = 1_000;

/** Parts of prompts, and requests, with incidents in one VM's memory. */
const maxSuspectedParts = 256;
const maxSuspectedRequests = 512;

/** A part that became blocked or was released. */
export type BlockChange =
  | { readonly kind: 'blocked'; readonly part: string; readonly instances: readonly string[] }
  | { readonly kind: 'released'; readonly part: string; readonly reason: ReleaseReason };

/** A part that has as many incidents as block one, but is not blocked. */
export interface UnblockedSuspect {
  readonly part: string;
  readonly incidents: number;
  /** Incidents that no likelier cause explains. */
  readonly unexplained: number;
  /** Incidents from which on the part is blocked. */
  readonly limit: number;
}

/** Why a part was released: `forgotten` means that too many others have incidents. */
export type ReleaseReason = 'survived' | 'idle' | 'forgotten';

/**
 * Finds what backend servers crash on: parts of prompts and whole requests, see `makeRequestPart`. The
 * parts of a request are given in the order of its prompt.
 */
export interface CrashSuspects {
  /** Counts a stream that arrived, by the parts of its prompt. */
  readonly recordArrival: (parts: readonly string[]) => void;
  /**
   * Records that a server instance ended soon after it began to run a request with these parts;
   * returns whether the peers have to be told.
   */
  readonly recordCrash: (parts: readonly string[], instance: string, now: number) => boolean;
  /**
   * Records that a server has ended since a request with these parts was sent to it at `sentAt`, as is known from
   * itself. An incident there since then is the same one; after an older one, the server had come back before its
   * entry changed, and has crashed again.
   */
  readonly recordEnd: (
    parts: readonly string[],
    instance: string,
    sentAt: number,
    now: number,
  ) => boolean;
  /** Records that a server survived these parts; returns whether the peers have to be told. */
  readonly recordSurvival: (parts: readonly string[], now: number) => boolean;
  /**
   * Returns the blocked part of a request, and renews its block. From time to time one request is let
   * through, since a part that is blocked by mistake has no other way to survive.
   */
  readonly findBlocked: (parts: readonly string[], id: string, now: number) => string | undefined;
  /**
   * Whether servers have crashed on one of the parts, for no other reason that is known. Incidents at
   * `instance` don't count: a server at which the same request breaks twice may be the cause itself.
   */
  readonly isSuspect: (parts: readonly string[], now: number, instance?: string) => boolean;
  /** Describes the part of a request that comes closest to a block, if it has that many incidents. */
  readonly findUnblocked: (parts: readonly string[], now: number) => UnblockedSuspect | undefined;
  readonly listForPeers: (now: number) => readonly CrashRow[];
  /** Adds what a peer knows; returns whether other peers have to be told of a decision made here. */
  readonly recordPeer: (rows: readonly CrashRow[], now: number) => boolean;
  /**
   * Removes what is too old and makes decisions that had to wait; returns whether the peers have to be
   * told of one.
   */
  readonly tick: (now: number) => boolean;
}

/**
 * Creates a record without incidents. `onChange` is called when a part becomes blocked or is released.
 *
 * Load pattern: requests that share one part of their prompt crash each engine that begins to answer
 * them. They arrive at any VM, and sound requests share their other parts. Every VM merges the incidents
 * of all VMs; a part is blocked on incidents that no blocked part explains, the rarest part first. Or the
 * same request comes again and again: the request itself is its rarest part.
 *
 * @example
 * makeCrashSuspects(() => {}, Math.random).findBlocked(['9c4'], 'r1', now); // undefined
 */
export const makeCrashSuspects = (
  onChange: (change: BlockChange) => void,
  random: () => number,
): CrashSuspects => {
  const stats = makePartStats();
  const cases = new Map<string, PartCase>();

  const isProtected = (part: string, now: number): boolean =>
    now - stats.getSurvivedAt(part) < protectionMs;

  const getMaxIncidents = (part: string, now: number): number =>
    isProtected(part, now) ? maxIncidentsProtected : maxIncidents;

  const removeCase = (part: string, reason: ReleaseReason): void => {
    const isBlocked = cases.get(part)?.isBlocked;
    cases.delete(part);
    if (isBlocked) onChange({ kind: 'released', part, reason });
  };

  /** Removes a case of the same kind if there are too many, the oldest that is not blocked. */
  const makeRoomFor = (part: string): void => {
    const isRequest = isRequestPart(part);
    const ofKind = [...cases].filter(([other]) => isRequestPart(other) === isRequest);
    if (ofKind.length < (isRequest ? maxSuspectedRequests : maxSuspectedParts)) return;
    const dropped = ofKind.find(([, { isBlocked }]) => !isBlocked) ?? ofKind[0];
    if (dropped) removeCase(dropped[0], 'forgotten');
  };

  const getCase = (part: string, now: number): PartCase => {
    const existing = cases.get(part);
    if (existing) return existing;
    makeRoomFor(part);
    const created = makePartCase(now, firstProbeDelayMs);
    cases.set(part, created);
    return created;
  };

  const scheduleProbe = (partCase: PartCase, now: number): void => {
    partCase.probeAt = now + partCase.probeDelayMs * (1 + random());
  };

  const postponeProbe = (partCase: PartCase, crashedAt: number): void => {
    if (crashedAt - partCase.blockedAt > blockSettleMs)
      partCase.probeDelayMs = Math.min(maxProbeDelayMs, partCase.probeDelayMs * 2);
    scheduleProbe(partCase, crashedAt);
  };

  /** Adds an incident unless it is part of another one; returns whether it is new. */
  const addIncident = (partCase: PartCase, instance: string, at: number): boolean => {
    const { incidents } = partCase;
    const knownAt = incidents.get(instance);
    if (knownAt !== undefined) {
      incidents.set(instance, Math.min(knownAt, at));
      return false;
    }
    if (hasIncident(partCase, instance, at)) return false;
    // Peers tell old incidents again that were dropped here.
    if (partCase.isBlocked && at > getLatestIncident(partCase)) postponeProbe(partCase, at);
    incidents.set(instance, at);
    if (incidents.size <= maxIncidentsProtected) return true;
    const [oldest] = [...incidents].sort(([, first], [, second]) => first - second);
    if (oldest) incidents.delete(oldest[0]);
    return true;
  };

  /** Whether a part met at least half of the incidents of another one. */
  const metHalf = (other: PartCase, { incidents }: PartCase): boolean => {
    const shared = [...incidents].filter(([instance, at]) => hasIncident(other, instance, at));
    return shared.length >= incidents.size / 2;
  };

  /**
   * Whether a part probably is the cause of incidents of another one: it is blocked, or rarer and met several,
   * at least half of the other's. A rare part of a sound stream that was sent on meets two.
   */
  const isLikelierCause = (other: string, otherCase: PartCase, part: string): boolean => {
    if (other === part || isRequestPart(other)) return false;
    if (otherCase.isBlocked) return true;
    const partCase = cases.get(part);
    return (
      otherCase.incidents.size > 1 &&
      stats.compare(other, part) < 0 &&
      partCase !== undefined &&
      metHalf(otherCase, partCase)
    );
  };

  const listUnexplained = (
    incidents: readonly (readonly [string, number])[],
    causes: readonly PartCase[],
  ) =>
    incidents.filter(([instance, at]) => !causes.some((cause) => hasIncident(cause, instance, at)));

  const listCauses = (isCause: (part: string, partCase: PartCase) => boolean): PartCase[] =>
    [...cases].filter((entry) => isCause(...entry)).map(([, partCase]) => partCase);

  /**
   * Counts the incidents that no likelier cause explains. Those that a blocked request explains count once
   * for each such request: different requests that crash servers show a bad part that they share.
   */
  const countUnexplained = (part: string, exceptInstance?: string): number => {
    const incidents = listUnexplained(
      [...(cases.get(part)?.incidents ?? [])].filter(
        ([instance]) => getListedInstance(instance) !== exceptInstance,
      ),
      listCauses((other, otherCase) => isLikelierCause(other, otherCase, part)),
    );
    if (incidents.length === 0 || isRequestPart(part)) return incidents.length;
    const requests = listCauses(
      (other, otherCase) =>
        isRequestPart(other) &&
        otherCase.isBlocked &&
        listUnexplained(incidents, [otherCase]).length < incidents.length,
    );
    return listUnexplained(incidents, requests).length + requests.length;
  };

  const mustBlock = (part: string, now: number): boolean => {
    const limit = getMaxIncidents(part, now);
    return (cases.get(part)?.incidents.size ?? 0) >= limit && countUnexplained(part) >= limit;
  };

  const block = (part: string, partCase: PartCase, now: number): void => {
    partCase.isBlocked = true;
    partCase.blockedAt = now;
    partCase.probeDelayMs = firstProbeDelayMs;
    scheduleProbe(partCase, now);
    onChange({ kind: 'blocked', part, instances: [...partCase.incidents.keys()] });
  };

  /**
   * Whether a rarer part may turn out to be the cause. A stream that breaks here adds to the incidents
   * of its own parts before the peers tell which part caused them.
   */
  const hasRarerSuspect = (part: string, partCase: PartCase, now: number): boolean => {
    const times = [...partCase.incidents.values()].sort((first, second) => first - second);
    const reachedAt = times[getMaxIncidents(part, now) - 1] ?? now;
    if (now - reachedAt >= incidentRelayMs) return false;
    return [...cases].some(([other, otherCase]) => {
      if (otherCase.isBlocked || isRequestPart(other)) return false;
      if (stats.compare(other, part) >= 0) return false;
      return metHalf(otherCase, partCase);
    });
  };

  /** Blocks one part after the other that must be; returns whether this VM had seen incidents of one. */
  const judge = (now: number): boolean => {
    let hasDecided = false;
    for (;;) {
      const [first, second] = [...cases]
        .filter(([part, { isBlocked }]) => !isBlocked && mustBlock(part, now))
        .sort(([part], [otherPart]) => stats.compare(part, otherPart));
      if (!first) return hasDecided;
      const [part, partCase] = first;
      // A VM without requests with these parts can't tell which one is rarer; it waits for one that can.
      const isUndecided =
        !stats.isKnown(part) && (second === undefined || stats.compare(part, second[0]) === 0);
      if (isUndecided || hasRarerSuspect(part, partCase, now)) return hasDecided;
      block(part, partCase, now);
      hasDecided ||= partCase.isWitness;
    }
  };

  /** Applies a survival; returns whether it cleared incidents. */
  const applySurvival = (part: string, at: number, now: number): boolean => {
    if (!stats.recordSurvival(part, at)) return false;
    const partCase = cases.get(part);
    if (!partCase) return false;
    const { incidents } = partCase;
    const countBefore = incidents.size;
    incidents.forEach((incidentAt, instance) => {
      if (incidentAt <= at) incidents.delete(instance);
    });
    if (partCase.isBlocked && !mustBlock(part, now)) {
      partCase.isBlocked = false;
      onChange({ kind: 'released', part, reason: 'survived' });
    }
    return incidents.size < countBefore;
  };

  const getIncidentTtlMs = (part: string): number =>
    isRequestPart(part) ? requestIncidentTtlMs : incidentTtlMs;

  const expire = (now: number): void =>
    cases.forEach((partCase, part) => {
      if (partCase.isBlocked) {
        if (now - partCase.lastSeenAt >= blockTtlMs) removeCase(part, 'idle');
        return;
      }
      partCase.incidents.forEach((at, instance) => {
        if (now - at >= getIncidentTtlMs(part)) partCase.incidents.delete(instance);
      });
      const isTold = now - partCase.clearedAt >= survivalRepeatMs;
      if (partCase.incidents.size === 0 && isTold) cases.delete(part);
    });

  /** Merges a peer's row about incidents; rows about survivals are applied before. */
  const mergeRow = ([part, incidents, idleMs, state]: CrashRow, now: number): void => {
    const isExpired = state === 'blocked' && idleMs >= blockTtlMs - blockAdoptionMarginMs;
    if (isExpired && !cases.get(part)?.isBlocked) return;
    const known = incidents
      .slice(0, maxIncidentsProtected)
      .map(([instance, ageMs]) => [instance, now - ageMs] as const)
      .filter(([, at]) => at > stats.getSurvivedAt(part))
      .filter(([, at]) => state === 'blocked' || now - at < getIncidentTtlMs(part));
    if (known.length === 0) return;
    const partCase = getCase(part, now);
    known.forEach(([instance, at]) => addIncident(partCase, instance, at));
    const isNew =
      state === 'blocked' &&
      !partCase.isBlocked &&
      mustBlock(part, now) &&
      !hasRarerSuspect(part, partCase, now);
    const seenAt = now - idleMs;
    if (isNew || seenAt > partCase.lastSeenAt + relayToleranceMs) partCase.lastSeenAt = seenAt;
    if (isNew) block(part, partCase, now);
  };

  /** Adds the incident that `findInstance` names to the parts; returns whether the peers have to be told. */
  const addIncidents = (
    parts: readonly string[],
    now: number,
    findInstance: (partCase: PartCase) => string | undefined,
  ): boolean => {
    expire(now);
    const blocked = parts.find((part) => cases.get(part)?.isBlocked);
    let isNew = false;
    new Set(blocked === undefined ? parts : [blocked]).forEach((part) => {
      const partCase = getCase(part, now);
      partCase.isWitness = true;
      partCase.lastSeenAt = now;
      const instance = findInstance(partCase);
      if (instance !== undefined) isNew = addIncident(partCase, instance, now) || isNew;
    });
    return judge(now) || isNew;
  };

  return {
    recordArrival: stats.recordArrival,
    recordCrash: (parts, instance, now) => addIncidents(parts, now, () => instance),
    recordEnd: (parts, instance, sentAt, now) =>
      addIncidents(parts, now, (partCase) =>
        hasIncidentSince(partCase, instance, sentAt)
          ? undefined
          : makeRepeatedInstance(partCase, instance, now),
      ),
    recordSurvival: (parts, now) => {
      let hasCleared = false;
      parts.forEach((part) => {
        if (!applySurvival(part, now, now)) return;
        hasCleared = true;
        getCase(part, now).clearedAt = now;
      });
      return hasCleared;
    },
    findBlocked: (parts, id, now) => {
      if (cases.size === 0) return undefined;
      expire(now);
      const blocked = parts.find((part) => cases.get(part)?.isBlocked);
      if (blocked === undefined) return undefined;
      const partCase = getCase(blocked, now);
      partCase.lastSeenAt = now;
      if (now >= partCase.probeAt) {
        partCase.probeId = id;
        scheduleProbe(partCase, now);
      }
      return partCase.probeId === id ? undefined : blocked;
    },
    isSuspect: (parts, now, instance) => {
      expire(now);
      // A part that many share meets crashes that it does not cause.
      return parts.some(
        (part) => countUnexplained(part, instance) >= (isProtected(part, now) ? maxIncidents : 1),
      );
    },
    findUnblocked: (parts, now) => {
      const [found] = parts
        .map((part) => ({ part, incidents: cases.get(part)?.incidents.size ?? 0 }))
        .filter(({ part, incidents }) => incidents >= maxIncidents && !cases.get(part)?.isBlocked)
        .sort((first, second) => second.incidents - first.incidents);
      if (!found) return undefined;
      const { part } = found;
      return { ...found, unexplained: countUnexplained(part), limit: getMaxIncidents(part, now) };
    },
    listForPeers: (now) => {
      expire(now);
      // A VM at which a request has not survived yet would block it for crashes that it only met.
      const isTold = (part: string, { isBlocked }: PartCase): boolean =>
        isBlocked || !isRequestPart(part) || !isProtected(part, now);
      return listCrashRows(cases, isTold, now, random);
    },
    recordPeer: (rows, now) => {
      if (rows.length === 0) return false;
      expire(now);
      const ofState = (state: CrashRowState): CrashRow[] =>
        rows.filter((row) => row[3] === state).slice(0, maxRowsOfState);
      ofState('survived').forEach(([part, , idleMs]) => applySurvival(part, now - idleMs, now));
      ofState('blocked').forEach((row) => mergeRow(row, now));
      ofState('suspect').forEach((row) => mergeRow(row, now));
      return judge(now);
    },
    tick: (now) => {
      if (cases.size === 0) return false;
      expire(now);
      return judge(now);
    },
  };
};
