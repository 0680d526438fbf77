import { makeSeededRandom, type SeededRandom } from '@hemlocksill/bench/seeded-random.js';
import { generateEndlessFault, type EndlessFault } from './endless-faults.js';
import { engineFaultGenerators, type EngineFault } from './engine-faults.js';
import type { CallKind } from './records.js';
import type { ProxyMode } from './tcp-proxy.js';

/** What comes beside a planned stop of a VM; `pauseAt` counts from the signal. */
export type RestartCompanion =
  | { readonly beside: 'pause'; readonly pauseAt: number; readonly pauseMs: number }
  | { readonly beside: 'second-signal' | 'reloads' | 'start' | 'config-storm' };

/** A fault of a soak; `at` is its offset in the schedule, `forMs` its duration, in milliseconds. */
export type SoakFault = { readonly at: number; readonly forMs: number } & (
  | EngineFault
  | EndlessFault
  | { readonly kind: 'vm-kill' | 'vm-pause' | 'vm-stop'; readonly vm: number }
  /** The VM does not run, for less time than it would have to be taken out for. */
  | { readonly kind: 'vm-late'; readonly vm: number }
  /** The VM receives SIGHUP again and again. */
  | { readonly kind: 'vm-reload'; readonly vm: number }
  /** A planned stop of a VM, beside something else. */
  | ({ readonly kind: 'vm-restart'; readonly vm: number } & RestartCompanion)
  /** All VMs that are up lose power at the same moment. */
  | { readonly kind: 'all-vms-kill' }
  | { readonly kind: 'store'; readonly how: 'silent' | 'refusing' | 'forget' }
  | { readonly kind: 'store-link'; readonly vm: number; readonly mode: ProxyMode }
  | { readonly kind: 'server-link'; readonly server: number; readonly mode: ProxyMode }
  | { readonly kind: 'server-leaves'; readonly server: number }
  | { readonly kind: 'server-full'; readonly server: number }
  | { readonly kind: 'server-silent'; readonly server: number }
  /** Requests with one bad part in their prompt; `vm` gets the first of them. */
  | { readonly kind: 'crashing-part'; readonly vm: number }
  /** The same request again and again, which crashes servers; `vm` gets the first. */
  | {
      readonly kind: 'crashing-request';
      readonly vm: number;
      readonly call: CallKind;
      /** Whether its prompt has only parts that sound requests have, too; otherwise it has none. */
      readonly hasSharedParts: boolean;
    }
  /** The server names a limit, in requests a second. */
  | { readonly kind: 'server-limited'; readonly server: number; readonly requestsPerS: number }
  /** An engine of another software version starts beside the server, which leaves unless it is permanent. */
  | { readonly kind: 'server-upgraded'; readonly server: number }
  | { readonly kind: 'key-withdrawn' }
  | { readonly kind: 'config-storm' }
);

/**
 * Versions of the list from which kinds of faults are drawn. A new kind comes with a new version, since a
 * longer list changes the schedule of every seed.
 */
export const scheduleVersions = [
  'v1',
  'v2',
  'v3',
  'v4',
  'v5',
  'v6',
  'v7',
  'v8',
  'v9',
  'v10',
] as const;

export type ScheduleVersion = (typeof scheduleVersions)[number];

/**
 * Version with most kinds of faults; version 9 has those that put the events of streams out of order, version 10 adds
 * answers without an end.
 */
export const defaultScheduleVersion: ScheduleVersion = 'v8';

/** Options of a fault schedule. */
export interface FaultGenerationOptions {
  readonly version: ScheduleVersion;
  readonly vms: number;
  readonly servers: number;
  /** Length of the period in which faults start. */
  readonly faultMs: number;
}

/** Mean time between the starts of two faults; most faults last longer, so that they overlap. */
const meanGapMs = 900;
const minDurationMs = 300;
const maxDurationMs = 3_500;

/** Bounds of the time for which a sound server is silent. */
const minSilenceMs = 600;
const maxSilenceMs = 2_500;

/** Bounds of the time in which a request that crashes servers comes again. */
const minRepetitionMs = 6_000;
const maxRepetitionMs = 10_000;

/** Bounds of the time for which a server names a limit. */
const minLimitMs = 6_000;
const maxLimitMs = 10_000;

/** Bounds of the time until the VMs are started again after a loss of all, as seen in operation. */
const minPowerLossMs = 1_000;
const maxPowerLossMs = 2_600;

/** Bounds of the time for which a late VM does not run. */
const minLateMs = 100;
const maxLateMs = 700;

/**
 * Times after the signal between which a late VM that stops is paused: when it handles the signal, when it closes
 * its listener and its idle connections, and before the end of its grace period.
 */
const stopPauses: readonly (readonly [number, number])[] = [
  [0, 0],
  [1_300, 2_200],
  [1_300, 2_200],
  [2_600, 2_900],
];

const serverLimitsPerS = [0, 0.5, 2, 5] as const;

const linkFaultModes: readonly ProxyMode[] = ['delay', 'silent', 'one-way', 'reset'];

const crashingRequests: readonly { readonly call: CallKind; readonly hasSharedParts: boolean }[] = [
  { call: 'read', hasSharedParts: false },
  { call: 'confirm', hasSharedParts: false },
  { call: 'stream', hasSharedParts: false },
  { call: 'stream', hasSharedParts: true },
];

type FaultGenerator = (
  at: number,
  forMs: number,
  random: SeededRandom,
  options: FaultGenerationOptions,
) => SoakFault;

const pickVm = (random: SeededRandom, options: FaultGenerationOptions): number =>
  random.integer(0, options.vms - 1);
const pickServer = (random: SeededRandom, options: FaultGenerationOptions): number =>
  random.integer(0, options.servers - 1);

const firstGenerators: readonly FaultGenerator[] = [
  (at, forMs, random, options) => ({ kind: 'vm-kill', at, forMs, vm: pickVm(random, options) }),
  (at, forMs, random, options) => ({ kind: 'vm-pause', at, forMs, vm: pickVm(random, options) }),
  (at, forMs, random, options) => ({ kind: 'vm-stop', at, forMs, vm: pickVm(random, options) }),
  (at, forMs, random) => ({
    kind: 'store',
    at,
    forMs,
    how: random.pick(['silent', 'refusing', 'forget'] as const),
  }),
  (at, forMs, random, options) => ({
    kind: 'store-link',
    at,
    forMs,
    vm: pickVm(random, options),
    mode: random.pick(linkFaultModes),
  }),
  (at, forMs, random, options) => ({
    kind: 'server-link',
    at,
    forMs,
    server: pickServer(random, options),
    mode: random.pick(linkFaultModes),
  }),
  (at, forMs, random, options) => ({
    kind: 'server-leaves',
    at,
    forMs,
    server: pickServer(random, options),
  }),
  (at, forMs, random, options) => ({
    kind: 'server-full',
    at,
    forMs,
    server: pickServer(random, options),
  }),
  (at, forMs) => ({ kind: 'key-withdrawn', at, forMs }),
  (at, forMs) => ({ kind: 'config-storm', at, forMs }),
];

const secondGenerators: readonly FaultGenerator[] = [
  ...firstGenerators,
  (at, _, random, options) => ({
    kind: 'server-silent',
    at,
    forMs: random.integer(minSilenceMs, maxSilenceMs),
    server: pickServer(random, options),
  }),
];

const thirdGenerators: readonly FaultGenerator[] = [
  ...secondGenerators,
  (at, forMs, random, options) => ({
    kind: 'crashing-part',
    at,
    forMs,
    vm: pickVm(random, options),
  }),
];

const fourthGenerators: readonly FaultGenerator[] = [
  ...thirdGenerators,
  (at, _, random, options) => ({
    kind: 'crashing-request',
    at,
    forMs: random.integer(minRepetitionMs, maxRepetitionMs),
    vm: pickVm(random, options),
    ...random.pick(crashingRequests),
  }),
];

const fifthGenerators: readonly FaultGenerator[] = [
  ...fourthGenerators,
  (at, _, random, options) => ({
    kind: 'server-limited',
    at,
    forMs: random.integer(minLimitMs, maxLimitMs),
    server: pickServer(random, options),
    requestsPerS: random.pick(serverLimitsPerS),
  }),
];

const sixthGenerators: readonly FaultGenerator[] = [
  ...fifthGenerators,
  (at, forMs, random, options) => ({
    kind: 'server-upgraded',
    at,
    forMs,
    server: pickServer(random, options),
  }),
];

const seventhGenerators: readonly FaultGenerator[] = [
  ...sixthGenerators,
  (at, _, random) => ({
    kind: 'all-vms-kill',
    at,
    forMs: random.integer(minPowerLossMs, maxPowerLossMs),
  }),
];

const makeRestartGenerator =
  (beside: Exclude<RestartCompanion['beside'], 'pause'>): FaultGenerator =>
  (at, forMs, random, options) => ({
    kind: 'vm-restart',
    at,
    forMs,
    vm: pickVm(random, options),
    beside,
  });

const eighthGenerators: readonly FaultGenerator[] = [
  ...seventhGenerators,
  (at, _, random, options) => ({
    kind: 'vm-late',
    at,
    forMs: random.integer(minLateMs, maxLateMs),
    vm: pickVm(random, options),
  }),
  (at, forMs, random, options) => ({ kind: 'vm-reload', at, forMs, vm: pickVm(random, options) }),
  (at, forMs, random, options) => ({
    kind: 'vm-restart',
    at,
    forMs,
    vm: pickVm(random, options),
    beside: 'pause',
    pauseAt: random.integer(...random.pick(stopPauses)),
    pauseMs: random.integer(minLateMs, maxLateMs),
  }),
  makeRestartGenerator('second-signal'),
  makeRestartGenerator('reloads'),
  makeRestartGenerator('start'),
  makeRestartGenerator('config-storm'),
];

const ninthGenerators: readonly FaultGenerator[] = [
  ...engineFaultGenerators,
  (at, forMs, random, options) => ({ kind: 'vm-kill', at, forMs, vm: pickVm(random, options) }),
  (at, forMs, random, options) => ({ kind: 'vm-reload', at, forMs, vm: pickVm(random, options) }),
  (at, forMs, random, options) => ({
    kind: 'vm-late',
    at,
    forMs: Math.min(forMs, maxLateMs),
    vm: pickVm(random, options),
  }),
  (at, forMs, random, options) => ({
    kind: 'store-link',
    at,
    forMs,
    vm: pickVm(random, options),
    mode: random.pick(linkFaultModes),
  }),
  makeRestartGenerator('second-signal'),
  makeRestartGenerator('reloads'),
  makeRestartGenerator('start'),
];

/** Of the faults of the tenth version, answers without an end are about a half. */
const tenthGenerators: readonly FaultGenerator[] = [
  ...eighthGenerators,
  ...eighthGenerators.map(() => generateEndlessFault),
];

const generatorsByVersion: Readonly<Record<ScheduleVersion, readonly FaultGenerator[]>> = {
  v1: firstGenerators,
  v2: secondGenerators,
  v3: thirdGenerators,
  v4: fourthGenerators,
  v5: fifthGenerators,
  v6: sixthGenerators,
  v7: seventhGenerators,
  v8: eighthGenerators,
  v9: ninthGenerators,
  v10: tenthGenerators,
};

/**
 * Generates the fault schedule of a seed. Faults follow one another or overlap; with a probability of
 * 0.2, three faults of the same kind are scheduled in a row.
 *
 * @example
 * generateFaults(7, { version: 'v1', vms: 4, servers: 7, faultMs: 8_000 });
 */
export const generateFaults = (
  seed: number,
  options: FaultGenerationOptions,
): readonly SoakFault[] => {
  const random = makeSeededRandom(seed);
  const faultGenerators = generatorsByVersion[options.version];
  const faults: SoakFault[] = [];
  let at = 500;
  while (at < options.faultMs) {
    const generateFault = random.pick(faultGenerators);
    const count = random.next() < 0.2 ? 3 : 1;
    for (let n = 0; n < count; n += 1) {
      const forMs = random.integer(minDurationMs, maxDurationMs);
      faults.push(generateFault(Math.round(at), forMs, random, options));
      at += random.exponential(meanGapMs);
    }
  }
  return faults;
};
