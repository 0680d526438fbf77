import type { SeededRandom } from '@hemlocksill/bench/seeded-random.js';
import type { EndlessFormName } from '@hemlocksill/platform/fakes/endless-forms.js';
import type { EndlessPart } from '@hemlocksill/platform/fakes/endless-process.js';
import type { Service } from './records.js';

/** Where answers have no end. */
export interface EndlessPlace {
  readonly service: Service;
  readonly stage: 'prefill' | 'decode' | undefined;
  readonly part: EndlessPart;
}

/** How many backend servers answer without an end, and whether they are new or those that were there. */
export type EndlessServers =
  | { readonly servers: 'newcomers'; readonly count: number }
  /** The share of the servers of a service and stage; at least one. */
  | { readonly servers: 'turned'; readonly share: number };

/** Backend servers answer without an end for `forMs`, `times` times with a pause after each; times in milliseconds. */
export type EndlessFault = {
  readonly kind: 'endless-answers';
  readonly at: number;
  readonly forMs: number;
  readonly times: number;
  readonly pauseMs: number;
  /** Forms and statuses, in turn. */
  readonly forms: readonly EndlessFormName[];
  readonly statuses: readonly (200 | 500)[];
  /** Callers that leave their connection open for long, and read all that they get or nothing. */
  readonly holders: { readonly count: number; readonly areReading: boolean };
} & EndlessPlace &
  EndlessServers;

/** Forms in the order in which seeds refer to them; new ones need a new version of the schedule. */
export const soakForms = [
  'header line',
  'junk for the size of a chunk',
  'one chunk',
  'chunks of one byte',
  'huge length',
  'no length',
  'small pieces',
  'whole events',
  'events in chunks of one byte',
  'events that say nothing',
  'empty lines',
  'chunk extensions',
  'many fields',
  'informational responses',
  'trailers',
] as const satisfies readonly EndlessFormName[];

/** Places in proportion to what callers send there. */
const places: readonly EndlessPlace[] = [
  { service: 'desk', stage: undefined, part: 'requests' },
  { service: 'desk', stage: undefined, part: 'requests' },
  { service: 'desk', stage: undefined, part: 'requests' },
  { service: 'llm', stage: 'decode', part: 'requests' },
  { service: 'llm', stage: 'decode', part: 'requests' },
  { service: 'llm', stage: 'decode', part: 'requests' },
  { service: 'llm', stage: 'decode', part: 'reservations' },
  { service: 'llm', stage: 'decode', part: 'reports' },
  { service: 'llm', stage: 'prefill', part: 'prefills' },
  { service: 'llm', stage: 'prefill', part: 'reports' },
];

const statusChoices: readonly (readonly (200 | 500)[])[] = [[200], [500], [200, 500]];

/** Shares of the servers that are there; with all of them, nothing can take over. */
const shares = [0.25, 0.5, 1] as const;

const maxNewcomers = 3;
const newcomerShare = 0.6;
const maxForms = 3;
const maxTimes = 3;
const maxPauseMs = 800;
const maxHolders = 8;

/**
 * Generates a fault of backend servers that answer without an end.
 *
 * @example
 * generateEndlessFault(500, 2_000, makeSeededRandom(1));
 */
export const generateEndlessFault = (
  at: number,
  forMs: number,
  random: SeededRandom,
): EndlessFault => {
  const place = random.pick(places);
  const servers: EndlessServers =
    random.next() < newcomerShare
      ? { servers: 'newcomers', count: random.integer(1, maxNewcomers) }
      : { servers: 'turned', share: random.pick(shares) };
  return {
    kind: 'endless-answers',
    at,
    forMs,
    ...place,
    ...servers,
    times: random.integer(1, maxTimes),
    pauseMs: random.integer(0, maxPauseMs),
    forms: Array.from({ length: random.integer(1, maxForms) }, () => random.pick(soakForms)),
    statuses: random.pick(statusChoices),
    holders: { count: random.integer(0, maxHolders), areReading: random.next() < 0.5 },
  };
};
