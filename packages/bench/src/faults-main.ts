import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Command } from 'commander';
import { deployments } from './deployment.js';
import { runFaults, type FaultRunResult } from './faults/run-faults.js';
import { faultKinds, type FaultKind } from './faults/schedule.js';

interface FaultsOptions {
  readonly seed: string;
  readonly seconds: string;
  readonly only?: string;
  readonly variant?: string;
}

const program = new Command()
  .name('faults')
  .description('runs a fleet under a seeded mix of faults and checks the guarantees')
  .option('--seed <n>', 'seed of the fault schedule and of the calls', '1')
  .option('--seconds <n>', 'length of the run in seconds', '30')
  .option('--only <kinds>', `comma-separated kinds of faults: ${faultKinds.join(', ')}`)
  .option(
    '--variant <args>',
    'replace a part by a naive implementation, for example "--claims local"',
  )
  .parse();

const printResult = (result: FaultRunResult): void => {
  result.schedule.forEach((f) =>
    console.log(`  ${(f.at / 1_000).toFixed(1)} s ${f.kind} #${f.target} for ${f.lastsMs} ms`),
  );
  console.log(`${result.calls} calls in ${(result.elapsedMs / 1_000).toFixed(0)} s`);
  Object.entries(result.resultCounts)
    .sort()
    .forEach(([resultName, count]) => console.log(`  ${resultName}: ${count}`));
  console.log(`store calls: ${JSON.stringify(result.storeCounts)}`);
  result.violations.forEach((v) => console.log(`VIOLATION of row ${v.row}: ${v.detail}`));
  console.log(`${result.violations.length} violations`);
};

const opts = program.opts<FaultsOptions>();
const kinds = (opts.only?.split(',') ?? faultKinds) as FaultKind[];
const unknownKinds = kinds.filter((k) => !faultKinds.includes(k));
if (unknownKinds.length > 0) {
  console.error(`unknown kinds of faults: ${unknownKinds.join(', ')}`);
  process.exit(2);
}
const dir = mkdtempSync(join(tmpdir(), 'hemlocksill-faults-'));
console.log(`seed ${opts.seed}, ${opts.seconds} s, logs in ${dir}`);
const result = await runFaults({
  deployment: deployments.small,
  dir,
  seed: Number(opts.seed),
  durationMs: Number(opts.seconds) * 1_000,
  kinds,
  variantArgs: opts.variant?.split(' '),
});
printResult(result);
process.exit(result.violations.length > 0 ? 1 : 0);
