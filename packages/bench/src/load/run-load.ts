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
  fullDecodeRate,
  type Arrival,
  type LoadOptions,
} from './arrivals.js';
import { measureLoad, type LoadCall, type LoadFigures } from './measure.js';
import { boundServed } from './upper-bound.js';

/** Targets of the documents that runs use. */
const targets = { urgentFirstMs: 2_000, patientFirstMs: 10_000, betweenMs: 36 };

/** A fault under load: when it strikes and what it does. */
export type LoadFault = 'none' | 'vm-kill' | 'engine-stall' | 'store-out' | 'upgrade';

/** How callers spread over the VMs. */
export type CallerDistribution = 'even' | 'one-vm' | 'moving';

/** What a load run does. */
export interface LoadRunOptions extends LoadOptions {
  readonly deployment: Deployment;
  readonly dir: string;
  readonly seed: number;
  /** Arguments of entry processes with a part replaced by a baseline. */
  readonly variantArgs: readonly string[];
  readonly fault: LoadFault;
  readonly callerDistribution: CallerDistribution;
}

/** Costs of control, per VM and second. */
export interface LoadCosts {
  readonly storeCalls: number;
  readonly peerBytes: number;
  readonly cpuShare: number;
  readonly memoryMb: number;
}

/** What a load run showed. */
export interface LoadResult {
  readonly figures: LoadFigures;
  readonly costs: LoadCosts;
  /** Good completions as a share of an upper bound for any schedule. */
  readonly ofBound: number;
}

const movingPeriodMs = 3_000;

const chooseVm = (
  landing: CallerDistribution,
  arrival: Arrival,
  sequence: number,
  vms: number,
  workspaces: readonly string[],
): number => {
  if (landing === 'even') return sequence % vms;
  const home = workspaces.indexOf(arrival.workspace);
  return landing === 'one-vm' ? home % vms : (home + Math.floor(arrival.at / movingPeriodMs)) % vms;
};

const sendService = (
  fleet: Fleet,
  url: string,
  key: string,
  arrival: Arrival,
  sequence: number,
): Promise<CallResult> => {
  const isForge = fleet.deployment.serviceName === 'order-desk';
  const authorization = `Bearer ${key}`;
  if (arrival.kind === 'read')
    return callService(
      url,
      'GET',
      isForge ? '/stock/b40' : '/rota/r1',
      { authorization },
      undefined,
    );
  const path = isForge ? '/orders/7/confirm' : '/swaps/7/confirm';
  const headers = { authorization, 'idempotency-key': `load-${sequence}` };
  return callService(url, 'POST', path, headers, `{"n":${sequence}}`);
};

const strike = async (fleet: Fleet, fault: LoadFault, lengthMs: number): Promise<void> => {
  await sleep(lengthMs / 3);
  if (fault === 'vm-kill') {
    fleet.vms[0]?.child.kill('SIGKILL');
  } else if (fault === 'engine-stall') {
    const port = fleet.ports.decodes[0] ?? 0;
    await fleet.setFaults(port, { frozen: true });
    await sleep(lengthMs / 3);
    await fleet.setFaults(port, { frozen: false });
  } else if (fault === 'store-out') {
    await fleet.setFaults(fleet.ports.store, { outage: 'down' });
    await sleep(lengthMs / 3);
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
  const answer = await fleet.runCli('status');
  const { vms } = JSON.parse(answer.stdout) as { vms: { status?: VmStatus }[] };
  return vms.flatMap(({ status }) => status ?? []);
};

const sumCalls = (status: VmStatus): number =>
  Object.values(status.storeCalls).reduce((sum, n) => sum + n, 0);

const measureCosts = (
  before: readonly VmStatus[],
  after: readonly VmStatus[],
  elapsedMs: number,
): LoadCosts => {
  const mean = (read: (s: VmStatus) => number): number =>
    (after.reduce((sum, s) => sum + read(s), 0) - before.reduce((sum, s) => sum + read(s), 0)) /
    Math.max(1, after.length) /
    (elapsedMs / 1_000);
  return {
    storeCalls: mean(sumCalls),
    peerBytes: mean((s) => s.peerBytes),
    cpuShare: mean((s) => s.cpuSeconds),
    memoryMb: Math.max(...after.map((s) => s.memoryMb)),
  };
};

/** Runs a load against a fleet and measures it. */
export const runLoad = async (opts: LoadRunOptions): Promise<LoadResult> => {
  const { deployment } = opts;
  const arrivals = assembleArrivals(deployment, makeSeededRandom(opts.seed), opts);
  const variant = ['--vms', String(deployment.vmCount), ...opts.variantArgs];
  const fleet = await startFleet(deployment, opts.dir, {
    groupStandIns: true,
    extraEntrySettings: 'log-level = warn\n',
    entryProgram:
      opts.variantArgs.length > 0 ? { file: programs.variant, args: variant } : undefined,
  });
  try {
    const keys = new Map<string, string>();
    for (const [name] of deployment.workspaces) keys.set(name, (await fleet.createKey(name)).key);
    // Rate shards are handed to VMs that have been known for a while.
    await sleep(4_000);
    const before = await readStatuses(fleet);
    const names = deployment.workspaces.map(([name]) => name);
    const begin = performance.now();
    const calls: Promise<LoadCall>[] = [];
    const struck = opts.fault === 'none' ? undefined : strike(fleet, opts.fault, opts.durationMs);
    for (const [sequence, arrival] of arrivals.entries()) {
      const pauseMs = begin + arrival.at - performance.now();
      if (pauseMs > 1) await sleep(pauseMs);
      let vm = chooseVm(opts.callerDistribution, arrival, sequence, fleet.urls.length, names);
      // The balancer stops sending to a VM that is gone.
      if (fleet.vms[vm]?.child.signalCode) vm = (vm + 1) % fleet.urls.length;
      const url = fleet.urls[vm] ?? '';
      const key = keys.get(arrival.workspace) ?? '';
      const sent =
        arrival.kind === 'completion'
          ? callCompletion({
              url,
              key,
              model: deployment.model,
              prompt: assemblePrompt(arrival, sequence),
              maxTokens: Math.ceil(arrival.outputTokens * 1.3),
              urgent: arrival.urgent,
            })
          : sendService(fleet, url, key, arrival, sequence);
      calls.push(sent.then((end) => ({ arrival, end })));
    }
    const ended = await Promise.all(calls);
    await struck;
    const elapsedMs = performance.now() - begin;
    const after = await readStatuses(fleet);
    await sleep(1_000);
    const limits = new Map(
      deployment.workspaces.map(([name, rate, burst]) => [name, { rate, burst }]),
    );
    const flooder = opts.floodFactor > 1 ? deployment.workspaces[1]?.[0] : undefined;
    const figures = measureLoad(
      ended,
      await readEngines(fleet),
      limits,
      targets,
      opts.durationMs,
      flooder,
    );
    const bound = boundServed(
      arrivals,
      {
        prefills: deployment.prefillCount,
        prefillRate: 20_000,
        decodes: deployment.decodeCount,
        decodeRate: fullDecodeRate(20, 12, 0.6),
      },
      opts.durationMs + targets.patientFirstMs,
    );
    const good = figures.goodUrgent + figures.goodPatient;
    return {
      figures,
      costs: measureCosts(before, after, elapsedMs),
      ofBound: good / Math.max(1, bound),
    };
  } finally {
    await fleet.stop();
  }
};
