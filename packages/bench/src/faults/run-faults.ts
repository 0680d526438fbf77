import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Deployment } from '../deployment.js';
import { startFleet, type Fleet } from '../fleet.js';
import { programs } from '../processes.js';
import { makeSeededRandom } from '../seeded-random.js';
import {
  checkCompleteness,
  checkTermination,
  checkMemoryReleased,
  checkNotRunCompletions,
  checkRateLimits,
  checkRevisionOrder,
  checkAtMostOnce,
  checkTokens,
  checkUpgrades,
  checkKeyWithdrawals,
  checkWorkspaceIsolation,
} from './checks.js';
import type {
  CallRecord,
  EngineReport,
  RevisionReport,
  ServiceReport,
  Violation,
  KeyWithdrawal,
} from './records.js';
import { assembleSchedule, type Fault, type FaultKind } from './schedule.js';
import { faultInjectors } from './inject-fault.js';
import { runWorkload, type CallerKey } from './workload.js';

/** Maximum duration of a completion in a run; it limits how long engines hold memory. */
const maxRequestMs = 20_000;

/**
 * Time within which every call must end. The addition covers the longest freeze and the time after
 * which a call counts as hanging.
 */
const maxCallDurationMs = maxRequestMs + 20_000;

/**
 * Time within which engines must release all memory: the longest request and the margin after which
 * a hold is overdue.
 */
const memoryReleaseTimeoutMs = maxRequestMs + 15_000;
const pollMs = 250;

/** Factor on all rates in runs with an even seed, so that workspaces exceed their rates. */
const lowRateFactor = 0.1;

/** Options of a fault run. */
export interface FaultRunOptions {
  readonly deployment: Deployment;
  readonly dir: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly kinds: readonly FaultKind[];
  /** Arguments of the entry processes when a part is replaced by a naive implementation. */
  readonly variantArgs?: readonly string[];
}

/** Result of a fault run. */
export interface FaultRunResult {
  readonly schedule: readonly Fault[];
  readonly violations: readonly Violation[];
  readonly calls: number;
  /** Number of calls by kind and result. */
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

const readServices = async (fleet: Fleet): Promise<Map<string, ServiceReport>> => {
  const services = new Map<string, ServiceReport>();
  for (const [i, port] of fleet.ports.services.entries())
    services.set(`service-${i + 1}`, await fleet.readControl<ServiceReport>(port, 'record'));
  return services;
};

/** Waits until no engine holds memory or the timeout has passed, and returns the last reports. */
const waitUntilMemoryReleased = async (fleet: Fleet): Promise<Map<string, EngineReport>> => {
  const deadline = performance.now() + memoryReleaseTimeoutMs;
  for (;;) {
    const engines = await readEngines(fleet);
    const held = [...engines.values()].reduce((sum, e) => sum + e.held, 0);
    if (held === 0 || performance.now() > deadline) return engines;
    await sleep(pollMs);
  }
};

const watchRevisions = async (fleet: Fleet, signal: AbortSignal): Promise<RevisionReport[]> => {
  const reports: RevisionReport[] = [];
  while (!signal.aborted) {
    const output = await fleet.runCli('status');
    if (output.code === 0 || output.code === 6) {
      const { vms } = JSON.parse(output.stdout) as {
        vms: { status?: { incarnation: string; revision: number } }[];
      };
      vms.forEach(({ status }) => {
        if (status) reports.push({ ...status, observedAt: performance.now() });
      });
    }
    await sleep(pollMs);
  }
  return reports;
};

const createKeys = async (fleet: Fleet): Promise<CallerKey[]> => {
  const callerKeys: CallerKey[] = [];
  for (const [workspace] of fleet.deployment.workspaces) {
    callerKeys.push({ ...(await fleet.createKey(workspace)), workspace });
    callerKeys.push({ ...(await fleet.createKey(workspace)), workspace });
  }
  return callerKeys;
};

const countResults = (calls: readonly CallRecord[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  calls.forEach((c) => {
    const description = c.result.complete
      ? 'whole'
      : [c.result.outcome, c.result.code ?? `status-${c.result.status}`].filter(Boolean).join(' ');
    const cancelled = c.kind === 'completion' && c.cancelled ? ' (cancelled)' : '';
    const name = `${c.kind} ${description}${cancelled}`;
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
};

/** Runs a fleet under a seeded mix of faults and checks the guarantees in docs/GUARANTEES.md. */
export const runFaults = async (opts: FaultRunOptions): Promise<FaultRunResult> => {
  const startedAt = performance.now();
  const random = makeSeededRandom(opts.seed);
  const schedule = assembleSchedule(random, opts.durationMs, opts.kinds);
  const rateFactor = opts.seed % 2 === 0 ? lowRateFactor : 1;
  const fleet = await startFleet(opts.deployment, join(opts.dir, `seed-${opts.seed}`), {
    documentOptions: {
      rateFactor,
      limits: `max-request-ms = ${maxRequestMs}\ndrain-ms = 30000\n`,
    },
    entryProgram: opts.variantArgs && { file: programs.variant, args: opts.variantArgs },
    extraEntrySettings: 'lame-duck-ms = 500\nshutdown-ms = 25000\n',
  });
  try {
    const callerKeys = await createKeys(fleet);
    const withdrawals: KeyWithdrawal[] = [];
    const keyToWithdraw = callerKeys[1];
    const withdrawKey = async (): Promise<void> => {
      if (!keyToWithdraw) return;
      for (;;) {
        const output = await fleet.runCli('--wait', '0', 'keys', 'withdraw', keyToWithdraw.id);
        if (output.code === 0 || output.code === 6) {
          withdrawals.push({ keyId: keyToWithdraw.id, acceptedAt: performance.now() });
          return;
        }
        // A retry after an unknown outcome finds no such key if the first attempt took effect.
        if (output.code === 2) {
          withdrawals.push({ keyId: keyToWithdraw.id, acceptedAt: performance.now() });
          return;
        }
        await sleep(500);
      }
    };
    const stopWatching = new AbortController();
    const revisions = watchRevisions(fleet, stopWatching.signal);
    const unavailableVms = new Set<number>();
    const workloadStartedAt = performance.now();
    const injections = schedule.map(async (fault) => {
      await sleep(workloadStartedAt + fault.at - performance.now());
      await faultInjectors[fault.kind]({ fleet, unavailableVms, withdrawKey }, fault);
    });
    const calls = await runWorkload(fleet, random, callerKeys, workloadStartedAt + opts.durationMs);
    await Promise.all(injections);
    const engines = await waitUntilMemoryReleased(fleet);
    const services = await readServices(fleet);
    stopWatching.abort();
    const limits = new Map(
      fleet.deployment.workspaces.map(([name, rate, burst]) => [
        name,
        { rate: Math.round(rate * rateFactor), burst: Math.round(burst * rateFactor) },
      ]),
    );
    const violations = [
      ...checkMemoryReleased(engines),
      ...checkCompleteness(calls),
      ...checkTokens(calls),
      ...checkWorkspaceIsolation(calls, engines, services),
      ...checkKeyWithdrawals(calls, withdrawals),
      ...checkRateLimits(calls, limits, 1),
      ...checkAtMostOnce(calls, services),
      ...checkNotRunCompletions(calls, engines),
      ...checkUpgrades(engines),
      ...checkRevisionOrder(await revisions),
      ...checkTermination(calls, maxCallDurationMs),
    ];
    return {
      schedule,
      violations,
      calls: calls.length,
      resultCounts: countResults(calls),
      storeCounts: await fleet.readControl(fleet.ports.store, 'counts'),
      elapsedMs: performance.now() - startedAt,
    };
  } finally {
    await fleet.stop();
  }
};
