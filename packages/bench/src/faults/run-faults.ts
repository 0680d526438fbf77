import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Deployment } from '../deployment.js';
import { startFleet, type Fleet } from '../fleet.js';
import { programs } from '../processes.js';
import { makeSeededRandom } from '../seeded-random.js';
import {
  checkAnswers,
  checkEnds,
  checkHolds,
  checkNotRun,
  checkRates,
  checkRevisions,
  checkRuns,
  checkTokens,
  checkUpgrades,
  checkWithdrawals,
  checkWorkspaces,
} from './checks.js';
import type {
  CallRecord,
  EngineReport,
  RevisionReport,
  ServiceControl,
  Violation,
  Withdrawal,
} from './records.js';
import { assembleSchedule, type Fault, type FaultKind } from './schedule.js';
import { strikes } from './inject-fault.js';
import { runWorkload, type CallerKey } from './workload.js';

/** Longest time a completion may take in a run; it bounds how long memory is held. */
const maxRequestMs = 20_000;

/** Longest freeze plus the time after which a call counts as hanging. */
const endBoundMs = maxRequestMs + 20_000;

/** Time after which all memory must be free: the longest request and the overdue margin. */
const holdBoundMs = maxRequestMs + 15_000;
const pollMs = 250;

/** Factor on all rates in runs with an even seed, so that workspaces ask for more. */
const scarceRateFactor = 0.1;

/** What a run is asked to do. */
export interface FaultRunOptions {
  readonly deployment: Deployment;
  readonly dir: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly kinds: readonly FaultKind[];
  /** Arguments of entry processes with a part replaced by a naive one. */
  readonly variantArgs?: readonly string[];
}

/** What a run showed. */
export interface FaultRunResult {
  readonly schedule: readonly Fault[];
  readonly violations: readonly Violation[];
  readonly calls: number;
  /** Calls by kind and how they ended. */
  readonly resultCounts: Readonly<Record<string, number>>;
  readonly storeCounts: Readonly<Record<string, number>>;
  readonly elapsedMs: number;
}

const readEngines = async (fleet: Fleet): Promise<Map<string, EngineReport>> => {
  const { prefills, decodes } = fleet.ports;
  const engines = new Map<string, EngineReport>();
  const read = async (name: string, port: number): Promise<void> => {
    engines.set(name, await fleet.readControl<EngineReport>(port, 'record'));
  };
  await Promise.all([
    ...prefills.map((port, i) => read(`prefill-${i + 1}`, port)),
    ...decodes.map((port, i) => read(`decode-${i + 1}`, port)),
  ]);
  return engines;
};

const readServices = async (fleet: Fleet): Promise<Map<string, ServiceControl>> => {
  const services = new Map<string, ServiceControl>();
  for (const [i, port] of fleet.ports.services.entries())
    services.set(`service-${i + 1}`, await fleet.readControl<ServiceControl>(port, 'record'));
  return services;
};

/** Waits until no engine holds anything, or until the bound. */
const awaitFreeEngines = async (fleet: Fleet): Promise<Map<string, EngineReport>> => {
  const deadline = performance.now() + holdBoundMs;
  for (;;) {
    const engines = await readEngines(fleet);
    const held = [...engines.values()].reduce((sum, e) => sum + e.held, 0);
    if (held === 0 || performance.now() > deadline) return engines;
    await sleep(pollMs);
  }
};

const watchRevisions = async (fleet: Fleet, stop: AbortSignal): Promise<RevisionReport[]> => {
  const reports: RevisionReport[] = [];
  while (!stop.aborted) {
    const answer = await fleet.runCli('status');
    if (answer.code === 0 || answer.code === 6) {
      const { vms } = JSON.parse(answer.stdout) as {
        vms: { status?: { incarnation: string; revision: number } }[];
      };
      vms.forEach(({ status }) => {
        if (status) reports.push({ ...status, at: performance.now() });
      });
    }
    await sleep(pollMs);
  }
  return reports;
};

const giveKeys = async (fleet: Fleet): Promise<CallerKey[]> => {
  const callers: CallerKey[] = [];
  for (const [workspace] of fleet.deployment.workspaces) {
    callers.push({ ...(await fleet.createKey(workspace)), workspace });
    callers.push({ ...(await fleet.createKey(workspace)), workspace });
  }
  return callers;
};

const countEnds = (calls: readonly CallRecord[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  calls.forEach((c) => {
    const how = c.end.complete
      ? 'whole'
      : [c.end.outcome, c.end.code ?? `status-${c.end.status}`].filter(Boolean).join(' ');
    const cancelled = c.kind === 'completion' && c.cancelled ? ' (cancelled)' : '';
    const name = `${c.kind} ${how}${cancelled}`;
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
};

/** Runs a fleet under a seeded mixture of faults and checks what must always hold. */
export const runFaults = async (opts: FaultRunOptions): Promise<FaultRunResult> => {
  const startedAt = performance.now();
  const random = makeSeededRandom(opts.seed);
  const schedule = assembleSchedule(random, opts.durationMs, opts.kinds);
  const rateFactor = opts.seed % 2 === 0 ? scarceRateFactor : 1;
  const fleet = await startFleet(opts.deployment, join(opts.dir, `seed-${opts.seed}`), {
    documentOptions: {
      rateFactor,
      limits: `max-request-ms = ${maxRequestMs}\ndrain-ms = 30000\n`,
    },
    entryProgram: opts.variantArgs && { file: programs.variant, args: opts.variantArgs },
    extraEntrySettings: 'lame-duck-ms = 500\nshutdown-ms = 25000\n',
  });
  try {
    const callers = await giveKeys(fleet);
    const withdrawals: Withdrawal[] = [];
    const victim = callers[1];
    const withdrawKey = async (): Promise<void> => {
      if (!victim) return;
      for (;;) {
        const done = await fleet.runCli('--wait', '0', 'keys', 'withdraw', victim.id);
        if (done.code === 0 || done.code === 6) {
          withdrawals.push({ keyId: victim.id, acceptedAt: performance.now() });
          return;
        }
        // A repeat after an unknown outcome finds no such key when the first took effect.
        if (done.code === 2) {
          withdrawals.push({ keyId: victim.id, acceptedAt: performance.now() });
          return;
        }
        await sleep(500);
      }
    };
    const stop = new AbortController();
    const revisions = watchRevisions(fleet, stop.signal);
    const busyVms = new Set<number>();
    const begin = performance.now();
    const struck = schedule.map(async (fault) => {
      await sleep(begin + fault.at - performance.now());
      await strikes[fault.kind]({ fleet, busyVms, withdrawKey }, fault);
    });
    const calls = await runWorkload(fleet, random, callers, begin + opts.durationMs);
    await Promise.all(struck);
    const engines = await awaitFreeEngines(fleet);
    const services = await readServices(fleet);
    stop.abort();
    const limits = new Map(
      fleet.deployment.workspaces.map(([name, rate, burst]) => [
        name,
        { rate: Math.round(rate * rateFactor), burst: Math.round(burst * rateFactor) },
      ]),
    );
    const violations = [
      ...checkHolds(engines),
      ...checkAnswers(calls),
      ...checkTokens(calls),
      ...checkWorkspaces(calls, engines, services),
      ...checkWithdrawals(calls, withdrawals),
      ...checkRates(calls, limits, 1),
      ...checkRuns(calls, services),
      ...checkNotRun(calls, engines),
      ...checkUpgrades(engines),
      ...checkRevisions(await revisions),
      ...checkEnds(calls, endBoundMs),
    ];
    return {
      schedule,
      violations,
      calls: calls.length,
      resultCounts: countEnds(calls),
      storeCounts: await fleet.readControl(fleet.ports.store, 'counts'),
      elapsedMs: performance.now() - startedAt,
    };
  } finally {
    await fleet.stop();
  }
};
