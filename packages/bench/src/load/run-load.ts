import { setTimeout as sleep } from 'node:timers/promises';
import { callCompletion, callService, type CallResult } from '../caller.js';
import type { Deployment } from '../deployment.js';
import { startFleet, type Fleet } from '../fleet.js';
import { programs } from '../processes.js';
import { makeSeededRandom } from '../seeded-random.js';
import type { EngineReport } from '../faults/records.js';
import {
  assembleArrivals,
  assemblePrompt,
  getMaxDecodeRate,
  type Arrival,
  type LoadOptions,
} from './arrivals.js';
import { measureLoad, type LoadCall, type LoadFigures } from './measure.js';
import { computeServedUpperBound } from './upper-bound.js';

/** Latency targets, as in the configuration documents of the runs. */
const latencyTargets = {
  urgentFirstTokenMs: 2_000,
  patientFirstTokenMs: 10_000,
  betweenTokensMs: 36,
};

/** Fault that is injected after a third of the run. */
export type LoadFault = 'none' | 'vm-kill' | 'engine-stall' | 'store-out' | 'upgrade';

/**
 * Distribution of calls over the VMs. `even` uses all VMs in turn, `one-vm` sends all calls of a
 * workspace to the same VM, and `moving` changes that VM every `movingPeriodMs`.
 */
export type CallerDistribution = 'even' | 'one-vm' | 'moving';

/** Options of a load run. */
export interface LoadRunOptions extends LoadOptions {
  readonly deployment: Deployment;
  readonly dir: string;
  readonly seed: number;
  /** Arguments of the entry processes when a part is replaced by a baseline; otherwise empty. */
  readonly variantArgs: readonly string[];
  readonly fault: LoadFault;
  readonly callerDistribution: CallerDistribution;
}

/** Costs of the control plane: means per VM and second, and the maximum memory of a VM. */
export interface LoadCosts {
  readonly storeCalls: number;
  readonly peerBytes: number;
  readonly cpuShare: number;
  readonly memoryMb: number;
}

/** Result of a load run. */
export interface LoadResult {
  readonly figures: LoadFigures;
  readonly costs: LoadCosts;
  /** Good completions as a share of the upper bound that holds for any schedule. */
  readonly ofBound: number;
}

const movingPeriodMs = 3_000;

const chooseVm = (
  distribution: CallerDistribution,
  arrival: Arrival,
  sequence: number,
  vmCount: number,
  workspaces: readonly string[],
): number => {
  if (distribution === 'even') return sequence % vmCount;
  const workspaceIndex = workspaces.indexOf(arrival.workspace);
  return distribution === 'one-vm'
    ? workspaceIndex % vmCount
    : (workspaceIndex + Math.floor(arrival.offsetMs / movingPeriodMs)) % vmCount;
};

const sendServiceCall = (
  fleet: Fleet,
  url: string,
  key: string,
  arrival: Arrival,
  sequence: number,
): Promise<CallResult> => {
  const isOrderDesk = fleet.deployment.serviceName === 'order-desk';
  const authorization = `Bearer ${key}`;
  if (arrival.kind === 'read')
    return callService(
      url,
      'GET',
      isOrderDesk ? '/stock/b40' : '/rota/r1',
      { authorization },
      undefined,
    );
  const path = isOrderDesk ? '/orders/7/confirm' : '/swaps/7/confirm';
  const headers = { authorization, 'idempotency-key': `load-${sequence}` };
  return callService(url, 'POST', path, headers, `{"n":${sequence}}`);
};

const injectFault = async (fleet: Fleet, fault: LoadFault, durationMs: number): Promise<void> => {
  await sleep(durationMs / 3);
  if (fault === 'vm-kill') {
    fleet.vms[0]?.child.kill('SIGKILL');
  } else if (fault === 'engine-stall') {
    const port = fleet.ports.decodes[0] ?? 0;
    await fleet.setFaults(port, { frozen: true });
    await sleep(durationMs / 3);
    await fleet.setFaults(port, { frozen: false });
  } else if (fault === 'store-out') {
    await fleet.setFaults(fleet.ports.store, { outage: 'down' });
    await sleep(durationMs / 3);
    await fleet.setFaults(fleet.ports.store, { outage: 'none' });
  } else if (fault === 'upgrade') {
    const { readFileSync, writeFileSync } = await import('node:fs');
    const text = readFileSync(fleet.documentFile, 'utf8');
    writeFileSync(fleet.documentFile, text.replace('version = v1', 'version = v2'));
    await fleet.runCli('--wait', '0', 'submit', fleet.documentFile);
  }
};

const readEngines = async (fleet: Fleet): Promise<Map<string, EngineReport>> => {
  const ports = [...fleet.ports.prefills, ...fleet.ports.decodes];
  const read = ports.map(
    async (port) => [String(port), await fleet.readControl<EngineReport>(port, 'record')] as const,
  );
  return new Map(await Promise.all(read));
};

interface VmStatus {
  readonly storeCalls: Readonly<Record<string, number>>;
  readonly peerBytes: number;
  readonly cpuSeconds: number;
  readonly memoryMb: number;
}

const readStatuses = async (fleet: Fleet): Promise<VmStatus[]> => {
  const output = await fleet.runCli('status');
  const { vms } = JSON.parse(output.stdout) as { vms: { status?: VmStatus }[] };
  return vms.flatMap(({ status }) => status ?? []);
};

const countStoreCalls = (status: VmStatus): number =>
  Object.values(status.storeCalls).reduce((sum, n) => sum + n, 0);

const measureCosts = (
  before: readonly VmStatus[],
  after: readonly VmStatus[],
  elapsedMs: number,
): LoadCosts => {
  const computeMeanRate = (read: (s: VmStatus) => number): number =>
    (after.reduce((sum, s) => sum + read(s), 0) - before.reduce((sum, s) => sum + read(s), 0)) /
    Math.max(1, after.length) /
    (elapsedMs / 1_000);
  return {
    storeCalls: computeMeanRate(countStoreCalls),
    peerBytes: computeMeanRate((s) => s.peerBytes),
    cpuShare: computeMeanRate((s) => s.cpuSeconds),
    memoryMb: Math.max(...after.map((s) => s.memoryMb)),
  };
};

/** Starts a fleet, sends it a load and measures the result. */
export const runLoad = async (opts: LoadRunOptions): Promise<LoadResult> => {
  const { deployment } = opts;
  const arrivals = assembleArrivals(deployment, makeSeededRandom(opts.seed), opts);
  const variantArgs = ['--vms', String(deployment.vmCount), ...opts.variantArgs];
  const fleet = await startFleet(deployment, opts.dir, {
    groupStandIns: true,
    extraEntrySettings: 'log-level = warn\n',
    entryProgram:
      opts.variantArgs.length > 0 ? { file: programs.variant, args: variantArgs } : undefined,
  });
  try {
    const keys = new Map<string, string>();
    for (const [name] of deployment.workspaces) keys.set(name, (await fleet.createKey(name)).key);
    // VMs receive rate shards only after they have been members for some seconds.
    await sleep(4_000);
    const before = await readStatuses(fleet);
    const workspaceNames = deployment.workspaces.map(([name]) => name);
    const startedAt = performance.now();
    const calls: Promise<LoadCall>[] = [];
    const injection =
      opts.fault === 'none' ? undefined : injectFault(fleet, opts.fault, opts.durationMs);
    for (const [sequence, arrival] of arrivals.entries()) {
      const delayMs = startedAt + arrival.offsetMs - performance.now();
      if (delayMs > 1) await sleep(delayMs);
      let vm = chooseVm(
        opts.callerDistribution,
        arrival,
        sequence,
        fleet.urls.length,
        workspaceNames,
      );
      // A load balancer stops sending to a VM whose process has ended.
      if (fleet.vms[vm]?.child.signalCode) vm = (vm + 1) % fleet.urls.length;
      const url = fleet.urls[vm] ?? '';
      const key = keys.get(arrival.workspace) ?? '';
      const pendingResult =
        arrival.kind === 'completion'
          ? callCompletion({
              url,
              key,
              model: deployment.model,
              prompt: assemblePrompt(arrival, sequence),
              maxTokens: Math.ceil(arrival.outputTokens * 1.3),
              urgent: arrival.urgent,
            })
          : sendServiceCall(fleet, url, key, arrival, sequence);
      calls.push(pendingResult.then((result) => ({ arrival, result })));
    }
    const finishedCalls = await Promise.all(calls);
    await injection;
    const elapsedMs = performance.now() - startedAt;
    const after = await readStatuses(fleet);
    await sleep(1_000);
    const limits = new Map(
      deployment.workspaces.map(([name, rate, burst]) => [name, { rate, burst }]),
    );
    const floodingWorkspace = opts.floodFactor > 1 ? deployment.workspaces[1]?.[0] : undefined;
    const figures = measureLoad(
      finishedCalls,
      await readEngines(fleet),
      limits,
      latencyTargets,
      opts.durationMs,
      floodingWorkspace,
    );
    const servedUpperBound = computeServedUpperBound(
      arrivals,
      {
        prefillCount: deployment.prefillCount,
        prefillRate: 20_000,
        decodeCount: deployment.decodeCount,
        decodeRate: getMaxDecodeRate(20, 12, 0.6),
      },
      opts.durationMs + latencyTargets.patientFirstTokenMs,
    );
    const good = figures.goodUrgent + figures.goodPatient;
    return {
      figures,
      costs: measureCosts(before, after, elapsedMs),
      ofBound: good / Math.max(1, servedUpperBound),
    };
  } finally {
    await fleet.stop();
  }
};
