/** Engines that crash within this time of each other count once: a rack or a link ends many at a time. */
const incidentSpacingMs = 40;

/** Crashes that VMs report of one listed instance within this time are the same one: it has to start again. */
const repeatSpacingMs = 1_000;

const repeatPattern = /~\d+$/;

/** Returns the listed instance of a crash. */
export const getListedInstance = (instance: string): string => instance.replace(repeatPattern, '');

/** What is known of a part on which engines crashed, or that survived lately. */
export interface PartCase {
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

/** Creates the case of a part without incidents. */
export const makePartCase = (now: number, probeDelayMs: number): PartCase => ({
  incidents: new Map(),
  lastSeenAt: now,
  isBlocked: false,
  isWitness: false,
  clearedAt: Number.NEGATIVE_INFINITY,
  probeAt: Number.POSITIVE_INFINITY,
  probeDelayMs,
  blockedAt: Number.POSITIVE_INFINITY,
  probeId: undefined,
});

/** Time of the latest incident, minus infinity if there is none. */
export const getLatestIncident = ({ incidents }: PartCase): number =>
  Math.max(...incidents.values());

/** Whether an incident is the same as one of a case, or happened at the same moment. */
export const hasIncident = ({ incidents }: PartCase, instance: string, at: number): boolean =>
  incidents.has(instance) ||
  [...incidents].some(([other, otherAt]) => {
    const isSameListed = getListedInstance(other) === getListedInstance(instance);
    return Math.abs(otherAt - at) < (isSameListed ? repeatSpacingMs : incidentSpacingMs);
  });

/** Names another crash of a listed instance: by itself, or with its time if it is listed although it crashed before. */
export const makeRepeatedInstance = (
  { incidents }: PartCase,
  instance: string,
  at: number,
): string => (incidents.has(instance) ? `${instance}~${Math.round(at)}` : instance);

/** Whether an incident at an instance is known that is not older than `since`. */
export const hasIncidentSince = (
  { incidents }: PartCase,
  instance: string,
  since: number,
): boolean =>
  [...incidents].some(([other, at]) => getListedInstance(other) === instance && at >= since);
