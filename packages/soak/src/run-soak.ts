import { setTimeout as pause } from 'node:timers/promises';
import { makeSeededRandom } from '@hemlocksill/bench/seeded-random.js';
import { checkPromises, type Violation } from './check-promises.js';
import { driveCallers } from './drive-callers.js';
import { planFaults, type SoakFault } from './generate-faults.js';
import type { CallRecord, SoakRecord } from './records.js';
import { serverCount, startWorld, streamEvents, type World } from './start-environment.js';
import { strike } from './inject-fault.js';

const callerCount = 16;

/** Calm time at the end, in which the fleet must serve again. */
const calmMs = 16_000;

/** Keeps the choices of callers apart from those of the plan. */
const callerSeedOffset = 1_000_000;

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults begin. */
  readonly faultMs: number;
  readonly vms: number;
}

/** What a soak found. */
export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  readonly served: number;
  readonly faults: readonly SoakFault[];
  readonly violations: readonly Violation[];
  /** Log lines of all VMs, for tracing a violation. */
  readonly lines: readonly string[];
}

/** Plays all faults at their times; resolves when the last is over. */
const playFaults = async (world: World, faults: readonly SoakFault[]): Promise<void> => {
  const from = world.now();
  await Promise.all(
    faults.map(async (fault) => {
      await pause(Math.max(0, from + fault.at - world.now()));
      await strike(world, fault);
    }),
  );
};

const gatherRecord = (
  world: World,
  calls: readonly CallRecord[],
  calmFrom: number,
): SoakRecord => ({
  calls,
  runs: world.listRuns(),
  changes: world.changes,
  storeOutages: world.storeOutages,
  vmTroubles: new Map(world.vms.map((vm) => [vm.process.vm, vm.troubles])),
  serverTroubles: world.serverTroubles,
  stops: world.stops,
  endedAt: world.now(),
  calmFrom,
});

/**
 * Plays the faults of a seed against real router processes and checks what is promised.
 *
 * @example
 * (await runSoak({ seed: 1, faultMs: 5_000, vms: 4 })).violations.length; // 0
 */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, faultMs, vms } = options;
  const faults = planFaults(seed, { vms, servers: serverCount, faultMs });
  const world = await startWorld(vms);
  const callers = driveCallers(
    {
      vms: world.vms,
      key: () => world.key,
      random: makeSeededRandom(seed + callerSeedOffset),
      now: world.now,
    },
    callerCount,
  );
  await playFaults(world, faults);
  const calmFrom = world.now();
  await pause(calmMs);
  await callers.stop();
  const record = gatherRecord(world, callers.records, calmFrom);
  const lines = world.platform.getLogLines();
  await world.close();
  return {
    seed,
    calls: record.calls.length,
    served: record.calls.filter((call) => call.status === 200 && call.isWhole).length,
    faults,
    violations: checkPromises(record, streamEvents),
    lines,
  };
};
