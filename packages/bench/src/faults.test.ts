import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { deployments } from './deployment.js';
import { runFaults } from './faults/run-faults.js';
import { faultKinds, type FaultKind } from './faults/schedule.js';

const run = (seed: number, lengthMs: number, kinds: readonly FaultKind[], variant?: string[]) =>
  runFaults({
    deployment: deployments.small,
    dir: mkdtempSync(join(tmpdir(), 'hemlocksill-faults-')),
    seed,
    durationMs: lengthMs,
    kinds,
    variantArgs: variant,
  });

const describe = (violations: readonly { row: number; detail: string }[]): string[] =>
  violations.map((v) => `row ${v.row}: ${v.detail}`);

[101, 104].forEach((seed) => {
  test.serial(
    `a seeded mixture of faults breaks nothing that must always hold, seed ${seed}`,
    async (t) => {
      const result = await run(seed, 15_000, faultKinds);
      t.deepEqual(describe(result.violations), []);
      t.true(result.calls > 200, `${result.calls} calls`);
    },
  );
});

test.serial('claims that each VM keeps for itself are caught', async (t) => {
  const result = await run(201, 8_000, ['vm-replace'], ['--claims', 'local']);
  t.true(result.violations.some((v) => v.row === 5));
});

test.serial('a rate that each VM grants in full is caught', async (t) => {
  const result = await run(202, 8_000, ['vm-replace'], ['--rate', 'copied']);
  t.true(result.violations.some((v) => v.row === 4));
});
