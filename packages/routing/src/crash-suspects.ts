import type { CrashRow, CrashRowState } from './crash-rows.js';
import { makePartStats } from './part-stats.js';

/** Incidents after which a part of a prompt is blocked; chance seldom ends that many engines on it. */
const maxIncidents = 3;

/**
 * Time for which a part that an engine has just survived needs more incidents: requests with a part
 * that many share are often at an engine that crashes for another reason.
 */
const protectionMs = 30_000;

/** Incidents since its last survival after which a protected part is blocked. */
const maxIncidentsProtected = 8;

/** Engines that crash within this time of each other count once: a rack or a link ends many at a time. */
const incidentSpacingMs = 40;

/** Time within which an incident has reached all VMs, also if a message was lost. */
const incidentRelayMs = 600;

/** Age at which an incident no longer counts for a part that is not blocked. */
const incidentTtlMs = 60_000;

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

/** Time for which peers are told that a part survived. */
const survivalRepeatMs = 5_000;

/** Parts with incidents in one VM's memory. */
const maxSuspectedParts = 256;

/** Rows of each kind in one message. */
const maxRows = 8;

/** A part that became blocked or was released. */
export type BlockChange =
  | { readonly kind: 'blocked'; readonly part: string; readonly instances: readonly string[] }
  | { readonly kind: 'released'; readonly part: string; readonly reason: ReleaseReason };

/** Why a part was released: `forgotten` means that too many others have incidents. */
export type ReleaseReason = 'survived' | 'idle' | 'forgotten';

/** Finds the parts of prompts on which engines crash. */
export interface CrashSuspects {
  /** Counts a request that arrived. */
  readonly recordArrival: (parts: readonly string[]) => void;
  /**
   * Records that an engine instance ended soon after it began to run a request with these parts;
   * returns whether the peers have to be told.
   */
  readonly recordCrash: (parts: readonly string[], instance: string, now: number) => boolean;
  /** Records that an engine survived these parts; returns whether the peers have to be told. */
  readonly recordSurvival: (parts: readonly string[], now: number) => boolean;
  /**
   * Returns the blocked part of a request, and renews its block. From time to time one request is let
   * through, since a part that is blocked by mistake has no other way to survive.
   */
  readonly findBlocked: (parts: readonly string[], id: string, now: number) => string | undefined;
  /** Whether engines have crashed on one of the parts, for no other reason that is known. */
  readonly isSuspect: (parts: readonly string[], now: number) => boolean;
  readonly listForPeers: (now: number) => readonly CrashRow[];
  /** Adds what a peer knows; returns whether other peers have to be told of a decision made here. */
  readonly recordPeer: (rows: readonly CrashRow[], now: number) => boolean;
  /**
   * Removes what is too old and makes decisions that had to wait; returns whether the peers have to be
   * told of one.
   */
  readonly tick: (now: number) => boolean;
}

interface PartCase {
  /** Time of each incident by engine instance, all of them after the last survival. */
  readonly incidents: Map<string, number>;
  lastSeenAt: number;
  isBlocked: boolean;
  /** Whether an incident was seen by this VM. */
  isWitness: boolean;
  /** Time of the last survival here that cleared incidents. */
  clearedAt: number;
  /** Time from which a request with the blocked part may be tried, and the id of the latest one. */
  probeAt: number;
  probeDelayMs: number;
  blockedAt: number;
  probeId: string | undefined;
}

/**
 * Creates a record without incidents. `onChange` is called when a part becomes blocked or is released.
 *
 * Load pattern: requests that share one part of their prompt crash each engine that begins to answer
 * them. They arrive at any VM, and sound requests share their other parts. Every VM merges the incidents
 * of all VMs; a part is blocked on incidents that no blocked part explains, the rarest part first.
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

  const getCase = (part: string, now: number): PartCase => {
    const existing = cases.get(part);
    if (existing) return existing;
    if (cases.size >= maxSuspectedParts) {
      const [oldest] = cases.keys();
      const dropped = [...cases].find(([, { isBlocked }]) => !isBlocked)?.[0] ?? oldest;
      if (dropped !== undefined) removeCase(dropped, 'forgotten');
    }
    const created: PartCase = {
      incidents: new Map(),
      lastSeenAt: now,
      isBlocked: false,
      isWitness: false,
      clearedAt: Number.NEGATIVE_INFINITY,
      probeAt: Number.POSITIVE_INFINITY,
      probeDelayMs: firstProbeDelayMs,
      blockedAt: Number.POSITIVE_INFINITY,
      probeId: undefined,
    };
    cases.set(part, created);
    return created;
  };

  const getLatestIncident = ({ incidents }: PartCase): number => Math.max(...incidents.values());

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
    if ([...incidents.values()].some((other) => Math.abs(other - at) < incidentSpacingMs))
      return false;
    // Peers tell old incidents again that were dropped here.
    if (partCase.isBlocked && at > getLatestIncident(partCase)) postponeProbe(partCase, at);
    incidents.set(instance, at);
    if (incidents.size <= maxIncidentsProtected) return true;
    const [oldest] = [...incidents].sort(([, first], [, second]) => first - second);
    if (oldest) incidents.delete(oldest[0]);
    return true;
  };

  /** Whether an incident of some part is one of another part, too. */
  const isExplainedBy = (other: PartCase, instance: string, at: number): boolean =>
    other.incidents.has(instance) ||
    [...other.incidents.values()].some((otherAt) => Math.abs(otherAt - at) < incidentSpacingMs);

  /** Whether a part probably is the cause of its incidents: it is blocked, or rarer and met several. */
  const isLikelierCause = (other: string, otherCase: PartCase, part: string): boolean =>
    other !== part &&
    (otherCase.isBlocked || (otherCase.incidents.size > 1 && stats.compare(other, part) < 0));

  const countUnexplained = (part: string): number => {
    const causes = [...cases]
      .filter(([other, otherCase]) => isLikelierCause(other, otherCase, part))
      .map(([, otherCase]) => otherCase);
    return [...(cases.get(part)?.incidents ?? [])].filter(
      ([instance, at]) => !causes.some((cause) => isExplainedBy(cause, instance, at)),
    ).length;
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
  const hasRarerSuspect = (part: string, { incidents }: PartCase, now: number): boolean => {
    const times = [...incidents.values()].sort((first, second) => first - second);
    const reachedAt = times[getMaxIncidents(part, now) - 1] ?? now;
    if (now - reachedAt >= incidentRelayMs) return false;
    return [...cases].some(([other, otherCase]) => {
      if (otherCase.isBlocked || stats.compare(other, part) >= 0) return false;
      const shared = [...incidents].filter(([instance, at]) =>
        isExplainedBy(otherCase, instance, at),
      );
      return shared.length >= incidents.size / 2;
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

  const expire = (now: number): void =>
    cases.forEach((partCase, part) => {
      if (partCase.isBlocked) {
        if (now - partCase.lastSeenAt >= blockTtlMs) removeCase(part, 'idle');
        return;
      }
      partCase.incidents.forEach((at, instance) => {
        if (now - at >= incidentTtlMs) partCase.incidents.delete(instance);
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
      .filter(([, at]) => state === 'blocked' || now - at < incidentTtlMs);
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

  return {
    recordArrival: stats.recordArrival,
    recordCrash: (parts, instance, now) => {
      expire(now);
      const blocked = parts.find((part) => cases.get(part)?.isBlocked);
      let isNew = false;
      new Set(blocked === undefined ? parts : [blocked]).forEach((part) => {
        const partCase = getCase(part, now);
        partCase.isWitness = true;
        partCase.lastSeenAt = now;
        isNew = addIncident(partCase, instance, now) || isNew;
      });
      return judge(now) || isNew;
    },
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
    isSuspect: (parts, now) => {
      expire(now);
      // A part that many share meets crashes that it does not cause.
      return parts.some(
        (part) => countUnexplained(part) >= (isProtected(part, now) ? maxIncidents : 1),
      );
    },
    listForPeers: (now) => {
      expire(now);
      const incidentRows = [...cases]
        .filter(([, { incidents }]) => incidents.size > 0)
        .sort(
          ([, first], [, second]) =>
            Number(second.isBlocked) - Number(first.isBlocked) ||
            getLatestIncident(second) - getLatestIncident(first),
        )
        .slice(0, maxRows)
        .map(([part, { incidents, lastSeenAt, isBlocked }]): CrashRow => {
          const ages = [...incidents].map(
            ([instance, at]) => [instance, Math.round(now - at)] as const,
          );
          return [part, ages, Math.round(now - lastSeenAt), isBlocked ? 'blocked' : 'suspect'];
        });
      const survivalRows = [...cases]
        .filter(([, { clearedAt }]) => now - clearedAt < survivalRepeatMs)
        .slice(-maxRows)
        .map(([part, { clearedAt }]): CrashRow => [
          part,
          [],
          Math.round(now - clearedAt),
          'survived',
        ]);
      return [...incidentRows, ...survivalRows];
    },
    recordPeer: (rows, now) => {
      if (rows.length === 0) return false;
      expire(now);
      const ofState = (state: CrashRowState): CrashRow[] =>
        rows.filter((row) => row[3] === state).slice(0, maxRows);
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
