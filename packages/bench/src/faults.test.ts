import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { deployments } from './deployment.js';
import { runFaults } from './faults/run-faults.js';
import { faultKinds, type FaultKind } from './faults/schedule.js';

const runSmallFleet = (
  seed: number,
  durationMs: number,
  kinds: readonly FaultKind[],
  variantArgs?: string[],
) =>
  runFaults({
    deployment: deployments.small,
    dir: mkdtempSync(join(tmpdir(), 'hemlocksill-faults-')),
    seed,
    durationMs,
    kinds,
    variantArgs,
  });

const describeViolations = (violations: readonly { row: number; detail: string }[]): string[] =>
  violations.map((v) => `row ${v.row}: ${v.detail}`);

[101, 104].forEach((seed) => {
  test.serial(`all guarantees hold under a seeded mix of faults, seed ${seed}`, async (t) => {
    const result = await runSmallFleet(seed, 15_000, faultKinds);
    t.deepEqual(describeViolations(result.violations), []);
    t.true(result.calls > 200, `${result.calls} calls`);
  });
});

test.serial(
  'the checks detect a variant in which each VM keeps its claims only locally',
  async (t) => {
    const result = await runSmallFleet(201, 8_000, ['vm-replace'], ['--claims', 'local']);
    t.true(result.violations.some((v) => v.row === 5));
  },
);

test.serial('the checks detect a variant in which each VM grants the full rate', async (t) => {
  const result = await runSmallFleet(202, 8_000, ['vm-replace'], ['--rate', 'copied']);
  t.true(result.violations.some((v) => v.row === 4));
});
