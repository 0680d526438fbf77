import { mkdirSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { Command } from 'commander';
import { renderTable } from '@hemlocksill/report/render-text.js';
import { deployments } from './deployment.js';
import {
  runLoad,
  type CallerDistribution,
  type LoadFault,
  type LoadResult,
} from './load/run-load.js';

/** Arguments of `variant-main` by policy name; they replace parts of the entry process. */
const policies: Readonly<Record<string, readonly string[]>> = {
  ours: [],
  'round-robin': ['--placement', 'round-robin', '--rate', 'fixed'],
  'least-loaded': ['--placement', 'least-loaded', '--rate', 'fixed'],
  'two-choices': ['--placement', 'two-choices', '--rate', 'fixed'],
  'two-choices-escrow': ['--placement', 'two-choices'],
  'fixed-rate': ['--rate', 'fixed'],
  'store-rate': ['--rate', 'store'],
};

interface BenchOptions {
  readonly deployment: 'saaremets' | 'turnolibre';
  readonly load: string;
  readonly seed: string;
  readonly seconds: string;
  readonly policy: string;
  readonly fault: LoadFault;
  readonly flood: string;
  readonly landing: CallerDistribution;
  readonly out?: string;
}

const program = new Command()
  .name('bench')
  .description('runs a load against a deployment and measures each policy')
  .option('--deployment <name>', 'saaremets or turnolibre', 'saaremets')
  .option('--load <share>', 'load as a share of the capacity of the pools', '0.9')
  .option('--seed <list>', 'seeds, comma-separated', '1')
  .option('--seconds <n>', 'length of a run in seconds', '20')
  .option('--policy <list>', `comma-separated: ${Object.keys(policies).join(', ')}`, 'ours')
  .option('--fault <name>', 'none, vm-kill, engine-stall, store-out or upgrade', 'none')
  .option('--flood <times>', 'multiple of its rate at which one workspace sends', '1')
  .option(
    '--landing <how>',
    'distribution of the calls over the VMs: even, one-vm or moving',
    'even',
  )
  .option('--out <file>', 'write all results to this file as JSON')
  .parse();

const opts = program.opts<BenchOptions>();
const deployment = deployments[opts.deployment];
const policyNames = opts.policy.split(',');
const unknownPolicies = policyNames.filter((name) => policies[name] === undefined);
if (!deployment || unknownPolicies.length > 0) {
  console.error(`unknown deployment or policy: ${opts.deployment} ${unknownPolicies.join(', ')}`);
  process.exit(2);
}

const formatPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const formatRow = (name: string, seed: number, { figures: f, costs: c, ofBound }: LoadResult) => [
  name,
  String(seed),
  String(f.offered),
  formatPercent((f.goodUrgent + f.goodPatient) / f.offered),
  formatPercent(f.goodUrgent / f.offeredUrgent),
  formatPercent(f.goodPatient / f.offeredPatient),
  formatPercent(ofBound),
  formatPercent(f.wastedPrefill),
  formatPercent(f.worstServed),
  `${f.wrongfulRefusals}+${f.wrongfulOfFlooder}/${f.insideRate}`,
  f.tokensOverRate.toFixed(0),
  f.firstTokenP95.toFixed(0),
  f.refusalP95.toFixed(0),
  c.storeCalls.toFixed(1),
  c.peerBytes.toFixed(0),
  formatPercent(c.cpuShare),
  String(c.memoryMb),
];

const columnTitles = [
  'policy',
  'seed',
  'offered',
  'good',
  'urgent',
  'patient',
  'of bound',
  'wasted',
  'worst served',
  'wrongful',
  'over rate',
  'ttft p95',
  'refusal p95',
  'store/s',
  'peer B/s',
  'cpu',
  'MB',
];

const results: { name: string; seed: number; result: LoadResult }[] = [];
for (const seed of opts.seed.split(',').map(Number)) {
  for (const name of policyNames) {
    const result = await runLoad({
      deployment,
      dir: mkdtempSync(join(tmpdir(), 'hemlocksill-bench-')),
      seed,
      loadFactor: Number(opts.load),
      durationMs: Number(opts.seconds) * 1_000,
      floodFactor: Number(opts.flood),
      variantArgs: policies[name] ?? [],
      fault: opts.fault,
      callerDistribution: opts.landing,
    });
    results.push({ name, seed, result });
    console.error(
      `${name} seed ${seed}: ${JSON.stringify(result.figures.refusals)}; p50, p95 and maximum time to a refusal in ms: ${JSON.stringify(result.figures.refusalTimes)}`,
    );
  }
}
const { deployment: deploymentName, load, seconds, fault, flood, landing } = opts;
console.log(
  `${deploymentName}, load ${load}, ${seconds} s, fault ${fault}, flood ${flood}, landing ${landing}`,
);
console.log(
  renderTable(
    columnTitles,
    results.map((r) => formatRow(r.name, r.seed, r.result)),
  ),
);
if (opts.out !== undefined) {
  mkdirSync(dirname(opts.out), { recursive: true });
  writeFileSync(opts.out, `${JSON.stringify({ opts, results }, null, 2)}\n`);
}
process.exit(0);
