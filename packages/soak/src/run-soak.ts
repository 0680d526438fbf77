import { setTimeout as sleep } from 'node:timers/promises';
import { makeSeededRandom } from '@hemlocksill/bench/seeded-random.js';
import { checkPromises, type Violation } from './check-promises.js';
import { driveCallers } from './drive-callers.js';
import { generateFaults, type ScheduleVersion, type SoakFault } from './generate-faults.js';
import type { CallKind, CallRecord, SoakRecord, Span } from './records.js';
import {
  countServers,
  countStreamEvents,
  startEnvironment,
  type ServerSet,
  type SoakEnvironment,
} from './start-environment.js';
import { injectFault } from './inject-fault.js';
import { watchVms, type VmObservations } from './watch-vms.js';

const callerCount = 16;

/** Callers that leave their connections idle for seconds between two requests. */
const patientCallerCount = 16;

/** Time without faults at the end, in which the fleet must recover. */
const recoveryMs = 16_000;

/** Time without faults at the end of a soak that is about the order of events, not the recovery. */
const shortRecoveryMs = 3_000;

/** Interval at which the process of the soak is looked at, and its minimum delay that is recorded. */
const watchPeriodMs = 20;
const minLatenessMs = 50;

/** Gives the callers a random sequence other than that of the fault schedule. */
const callerSeedOffset = 1_000_000;

/** Kinds from which callers draw their requests, most of them streams if the order of events is the point. */
const callKinds: readonly CallKind[] = ['stream', 'confirm', 'read'];
const orderCallKinds: readonly CallKind[] = ['stream', 'stream', 'stream', 'confirm', 'read'];

/** Share of the streams that can't be resumed. */
const draftShare = 0.2;

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly version: ScheduleVersion;
  /** Length of the period in which faults start. */
  readonly faultMs: number;
  readonly vms: number;
}

/** Outcome of a soak. */
export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  readonly served: number;
  /** Calls that take a stream up and got a response, and those of them that were answered to the end. */
  readonly takeUps: number;
  readonly takeUpsServed: number;
  readonly faults: readonly SoakFault[];
  readonly violations: readonly Violation[];
  /** Number of answers without an end that VMs met. */
  readonly endlessAnswers: number;
  /** Largest resident memory of a VM, in bytes; undefined if it was not read. */
  readonly peakBytes: number | undefined;
  /** Longest time for which the process of the soak itself did not run, in milliseconds. */
  readonly latenessMs: number;
  /** Log lines of all VMs, for diagnosing a violation. */
  readonly logLines: readonly string[];
}

/** Injects each fault at its scheduled time; resolves when the last one has ended. */
const injectFaults = async (
  environment: SoakEnvironment,
  faults: readonly SoakFault[],
): Promise<void> => {
  const startedAt = environment.now();
  await Promise.all(
    faults.map(async (fault) => {
      await sleep(Math.max(0, startedAt + fault.at - environment.now()));
      await injectFault(environment, fault);
    }),
  );
};

/** Records when the process of the soak, which is that of the callers, does not run in time. */
const watchLateness = (now: () => number): { readonly stop: () => readonly Span[] } => {
  const spans: Span[] = [];
  let expectedAt = now() + watchPeriodMs;
  const timer = setInterval(() => {
    const at = now();
    if (at - expectedAt > minLatenessMs) spans.push({ from: expectedAt, to: at });
    expectedAt = at + watchPeriodMs;
  }, watchPeriodMs);
  return {
    stop: () => {
      clearInterval(timer);
      return spans;
    },
  };
};

const collectRecord = async (
  environment: SoakEnvironment,
  calls: readonly CallRecord[],
  faultsEndedAt: number,
  callerLateSpans: readonly Span[],
  observations: VmObservations,
): Promise<SoakRecord> => ({
  ...observations,
  calls: [...calls, ...environment.crashingCalls],
  runs: await environment.listRuns(),
  rejections: environment.listRejections(),
  changes: environment.changes,
  storeOutages: environment.storeOutages,
  vmFaultSpans: new Map(environment.vms.map((vm) => [vm.process.vm, vm.faultSpans])),
  storeLinkSpans: new Map(environment.vms.map((vm) => [vm.process.vm, vm.storeLinkSpans])),
  lateSpans: new Map(environment.vms.map((vm) => [vm.process.vm, vm.lateSpans])),
  serverFaultSpans: [
    ...environment.servers,
    ...(environment.engines?.list ?? []).map((engine) => ({ ...engine, service: 'llm' as const })),
  ].flatMap(({ service, faultSpans }) => faultSpans.map((span) => ({ ...span, service }))),
  stops: environment.stops,
  callerLateSpans,
  crashingParts: environment.crashingParts,
  crashingRequests: environment.crashingRequests,
  crashes: environment.crashes,
  limitSpans: environment.limitSpans,
  endedAt: environment.now(),
  faultsEndedAt,
});

/**
 * From the second version on, odd seeds play with one backend server of each service and stage; in the ninth,
 * engines come back under their id, and those of odd seeds have two software versions from the start.
 */
const chooseServerSet = (seed: number, version: ScheduleVersion): ServerSet => {
  const isEven = seed % 2 === 0;
  if (version === 'v9') return isEven ? 'returning' : 'returning-mixed';
  return version === 'v1' || isEven ? 'several' : 'single';
};

/**
 * Runs the fault schedule of a seed against real router processes and checks the guarantees.
 *
 * @example
 * (await runSoak({ seed: 1, version: 'v1', faultMs: 5_000, vms: 4 })).violations.length; // 0
 */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, version, faultMs, vms } = options;
  const serverSet = chooseServerSet(seed, version);
  const servers = countServers(serverSet);
  const streamEvents = countStreamEvents(serverSet);
  const hasPromptParts = version !== 'v1' && version !== 'v2';
  const takesUpStreams = !['v1', 'v2', 'v3', 'v4', 'v5'].includes(version);
  const recordsOrigins = takesUpStreams && version !== 'v6';
  const hasPatientCallers = recordsOrigins && version !== 'v7';
  const faults = generateFaults(seed, { version, vms, servers, faultMs });
  const environment = await startEnvironment(vms, serverSet, recordsOrigins, version === 'v10');
  const watch = watchVms(environment, version === 'v10');
  const callers = driveCallers(
    {
      vms: environment.vms,
      getKey: () => environment.key,
      hasPromptParts,
      takesUpStreams,
      outlivesLosses: recordsOrigins,
      patientFrom: hasPatientCallers ? callerCount : undefined,
      callKinds: version === 'v9' ? orderCallKinds : callKinds,
      draftShare: version === 'v9' ? draftShare : 0,
      streamEvents,
      random: makeSeededRandom(seed + callerSeedOffset),
      now: environment.now,
    },
    hasPatientCallers ? callerCount + patientCallerCount : callerCount,
  );
  const callerLateness = watchLateness(environment.now);
  await injectFaults(environment, faults);
  const faultsEndedAt = environment.now();
  await sleep(version === 'v9' ? shortRecoveryMs : recoveryMs);
  await callers.stop();
  const observations = await watch.stop();
  const lateSpans = callerLateness.stop();
  const record = await collectRecord(
    environment,
    callers.records,
    faultsEndedAt,
    lateSpans,
    observations,
  );
  const logLines = environment.platform.getLogLines();
  const served = callers.records.filter((call) => call.status === 200 && call.isComplete);
  const isTakeUp = ({ takesUp, status }: CallRecord): boolean =>
    takesUp !== undefined && status !== undefined;
  await environment.close();
  return {
    seed,
    calls: callers.records.length,
    served: served.length,
    takeUps: callers.records.filter(isTakeUp).length,
    takeUpsServed: served.filter(isTakeUp).length,
    faults,
    violations: checkPromises(record, streamEvents),
    endlessAnswers: record.runs.filter(({ endlessForm }) => endlessForm !== undefined).length,
    peakBytes: observations.memoryPeaks
      .map(({ bytes }) => bytes)
      .sort((a, b) => a - b)
      .at(-1),
    latenessMs: Math.round(Math.max(0, ...lateSpans.map(({ from, to }) => to - from))),
    logLines,
  };
};
