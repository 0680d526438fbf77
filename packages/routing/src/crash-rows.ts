/** Age up to which an incident is part of small messages. */
const recentIncidentMs = 5_000;

/** What a VM tells its peers about a part: incidents, or that an engine survived it. */
export type CrashRowState = 'suspect' | 'blocked' | 'survived';

/**
 * A part with its incidents, as [engine instance, age]; the third element is the time since the last
 * request with the part or, in the state `survived`, since the survival.
 */
export type CrashRow = readonly [
  part: string,
  incidents: readonly (readonly [instance: string, ageMs: number])[],
  idleMs: number,
  state: CrashRowState,
];

/**
 * Whether a row has to be part of small messages.
 *
 * @example
 * isRecentCrashRow(['9c4', [['i-1@17', 300]], 300, 'suspect']); // true
 */
export const isRecentCrashRow = ([, incidents, , state]: CrashRow): boolean =>
  state === 'survived' || incidents.some(([, ageMs]) => ageMs < recentIncidentMs);
