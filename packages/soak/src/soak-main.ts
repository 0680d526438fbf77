import { mkdirSync, writeFileSync } from 'node:fs';
import { Command, Option } from 'commander';
import {
  defaultScheduleVersion,
  scheduleVersions,
  type ScheduleVersion,
} from './generate-faults.js';
import { runSoak } from './run-soak.js';

const program = new Command('soak')
  .description(
    'injects seeded faults into running router processes and checks the documented guarantees',
  )
  .option('--seed <n>', 'first seed', Number, 1)
  .option('--seeds <n>', 'number of seeds', Number, 1)
  .option('--seconds <n>', 'length of the period in which faults start', Number, 10)
  .option('--vms <n>', 'router processes', Number, 4)
  .addOption(
    new Option('--schedule <version>', 'version of the schedule, for a seed recorded earlier')
      .choices(scheduleVersions)
      .default(defaultScheduleVersion),
  )
  .option('--out <folder>', 'folder for the faults and logs of failed seeds', 'out/soak')
  .parse();

const { seed, seeds, seconds, vms, schedule, out } = program.opts<{
  seed: number;
  seeds: number;
  seconds: number;
  vms: number;
  schedule: ScheduleVersion;
  out: string;
}>();

let failedSeeds = 0;
for (let n = seed; n < seed + seeds; n += 1) {
  const result = await runSoak({ seed: n, version: schedule, faultMs: seconds * 1_000, vms });
  const { violations, faults, logLines } = result;
  console.log(
    `seed ${n}: ${faults.length} faults, ${result.served} of ${result.calls} served (${result.takeUpsServed} of ${result.takeUps} that take streams up), ${violations.length} violations`,
  );
  if (result.peakBytes !== undefined)
    console.log(
      `  ${result.endlessAnswers} answers without an end; at most ${Math.round(result.peakBytes / 1_000_000)} MB of a VM; the soak itself was late by ${result.latenessMs} ms at most`,
    );
  violations
    .slice(0, 10)
    .forEach((violation) => console.log(`  ${violation.promise}: ${violation.detail}`));
  if (violations.length > 0) {
    failedSeeds += 1;
    mkdirSync(out, { recursive: true });
    writeFileSync(`${out}/${n}.json`, JSON.stringify({ faults, violations }, null, 1));
    writeFileSync(`${out}/${n}.log`, logLines.join('\n'));
  }
}
console.log(`${seeds} seeds, ${failedSeeds} with violations`);
process.exit(failedSeeds === 0 ? 0 : 1);
