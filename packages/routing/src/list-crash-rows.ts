import type { CrashRow } from './crash-rows.js';
import { getLatestIncident, type PartCase } from './part-case.js';
import { isRequestPart } from './request-part.js';

/** Rows of each kind in one message. */
const maxPartRows = 8;
const maxRequestRows = 16;

/** Rows in one state that are read of a message. */
export const maxRowsOfState = maxPartRows + maxRequestRows;

/** Age up to which an incident of a request is told before those that all VMs should know. */
const newIncidentMs = 5_000;

/** Time for which peers are told that a part survived. */
export const survivalRepeatMs = 5_000;

type Entry = readonly [part: string, partCase: PartCase];

const isRequest = ([part]: Entry): boolean => isRequestPart(part);

const hasNewIncident = ([, partCase]: Entry, now: number): boolean =>
  now - getLatestIncident(partCase) < newIncidentMs;

const makeIncidentRow = (
  [part, { incidents, lastSeenAt, isBlocked }]: Entry,
  now: number,
): CrashRow => [
  part,
  [...incidents].map(([instance, at]) => [instance, Math.round(now - at)] as const),
  Math.round(now - lastSeenAt),
  isBlocked ? 'blocked' : 'suspect',
];

const makeSurvivalRow = ([part, { clearedAt }]: Entry, now: number): CrashRow => [
  part,
  [],
  Math.round(now - clearedAt),
  'survived',
];

/** Parts of prompts with incidents: blocked ones, then those with the newest incidents. */
const choosePromptParts = (entries: readonly Entry[]): Entry[] =>
  entries
    .filter((entry) => !isRequest(entry) && entry[1].incidents.size > 0)
    .sort(
      ([, first], [, second]) =>
        Number(second.isBlocked) - Number(first.isBlocked) ||
        getLatestIncident(second) - getLatestIncident(first),
    )
    .slice(0, maxPartRows);

/**
 * Requests with incidents: those with the newest ones, then some of the others, so that a VM that has just
 * started hears of all in time. Most requests that were at one server when it crashed did not crash it.
 */
const chooseRequests = (
  entries: readonly Entry[],
  now: number,
  random: () => number,
): readonly Entry[] => {
  const requests = entries.filter(isRequest);
  const isNew = (entry: Entry): boolean => hasNewIncident(entry, now);
  const newest = requests
    .filter(isNew)
    .sort(([, first], [, second]) => getLatestIncident(second) - getLatestIncident(first));
  const others = requests.filter((entry) => !isNew(entry) && entry[1].incidents.size > 1);
  const start = Math.floor(random() * others.length);
  return [...newest, ...others.slice(start), ...others.slice(0, start)].slice(0, maxRequestRows);
};

/**
 * Lists what the peers are told of crashes.
 *
 * @param isTold - whether the incidents of a part concern the peers
 * @param random - chooses among the requests that don't fit into one message
 * @example
 * listCrashRows(new Map(), () => true, now, Math.random); // []
 */
export const listCrashRows = (
  cases: ReadonlyMap<string, PartCase>,
  isTold: (part: string, partCase: PartCase) => boolean,
  now: number,
  random: () => number,
): CrashRow[] => {
  const entries = [...cases];
  const withIncidents = entries.filter((entry) => isTold(...entry));
  const survived = entries.filter(([, { clearedAt }]) => now - clearedAt < survivalRepeatMs);
  const toIncidentRow = (entry: Entry): CrashRow => makeIncidentRow(entry, now);
  const toSurvivalRow = (entry: Entry): CrashRow => makeSurvivalRow(entry, now);
  // VMs of the release before read the first rows in each state only.
  return [
    ...choosePromptParts(withIncidents).map(toIncidentRow),
    ...survived
      .filter((entry) => !isRequest(entry))
      .slice(-maxPartRows)
      .map(toSurvivalRow),
    ...chooseRequests(withIncidents, now, random).map(toIncidentRow),
    ...survived.filter(isRequest).slice(-maxPartRows).map(toSurvivalRow),
  ];
};
