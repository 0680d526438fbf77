import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { callCompletion, type CallResult } from './caller.js';
import { deployments } from './deployment.js';
import type { EngineReport } from './faults/records.js';
import { startFleet, type Fleet } from './fleet.js';

const { small } = deployments;
const upgradeTimeoutMs = 90_000;

const readEngines = (fleet: Fleet): Promise<EngineReport[]> =>
  Promise.all(
    [...fleet.ports.prefills, ...fleet.ports.decodes].map((port) =>
      fleet.readControl<EngineReport>(port, 'record'),
    ),
  );

const submitVersion = async (fleet: Fleet, version: string): Promise<number> => {
  const text = readFileSync(fleet.documentFile, 'utf8').replace(
    /^version = v\d+$/m,
    `version = ${version}`,
  );
  writeFileSync(fleet.documentFile, text);
  return (await fleet.runCli('submit', fleet.documentFile)).code;
};

const waitForVersion = async (fleet: Fleet, version: string): Promise<string[]> => {
  const deadline = Date.now() + upgradeTimeoutMs;
  let versions: string[] = [];
  do {
    await sleep(250);
    versions = (await readEngines(fleet)).map((e) => e.version);
  } while (versions.some((v) => v !== version) && Date.now() < deadline);
  return versions;
};

const chooseLiveVm = (killedVm: number, sequence: number): number =>
  [0, 1, 2].filter((vm) => vm !== killedVm)[sequence % 2] ?? 0;

test('all backend servers are upgraded under load, through a change and the loss of the controller', async (t) => {
  const fleet = await startFleet(small, mkdtempSync(join(tmpdir(), 'hemlocksill-test-')), {
    documentOptions: { limits: 'max-request-ms = 20000\ndrain-ms = 20000\n' },
  });
  t.teardown(() => fleet.stop());
  const { key } = await fleet.createKey('quotation');
  const state = { isStopping: false, killedVm: -1 };
  const calls: { vm: number; result: CallResult }[] = [];
  const sendCalls = async (caller: number): Promise<void> => {
    for (let i = 0; !state.isStopping; i += 1) {
      const vm = chooseLiveVm(state.killedVm, caller + i);
      const result = await callCompletion({
        url: fleet.urls[vm] ?? '',
        key,
        model: small.model,
        prompt: `tokens=40 ${caller} ${i} ${'x'.repeat(2_000)}`,
        maxTokens: 60,
        urgent: caller % 2 === 0,
      });
      calls.push({ vm, result });
    }
  };
  const callers = Array.from({ length: 10 }, (_, i) => sendCalls(i));
  await fleet.setFaults(fleet.ports.decodes[0] ?? 0, { loseOrderAnswers: 1 });
  t.is(await submitVersion(fleet, 'v2'), 0);
  await sleep(5_000);
  t.is(await submitVersion(fleet, 'v3'), 0);
  const controller = await findController(fleet);
  state.killedVm = controller;
  fleet.vms[controller]?.child.kill('SIGKILL');
  const versions = await waitForVersion(fleet, 'v3');
  state.isStopping = true;
  await Promise.all(callers);
  t.deepEqual([...new Set(versions)], ['v3']);
  const engines = await readEngines(fleet);
  t.is(
    engines.reduce((sum, e) => sum + e.lostByLoading, 0),
    0,
  );
  const incomplete = calls.filter(({ vm, result }) => vm !== controller && !result.complete);
  t.deepEqual(
    incomplete.map(({ result }) => [result.status, result.code]),
    [],
  );
});

const findController = async (fleet: Fleet): Promise<number> => {
  const { stdout } = await fleet.runCli('status');
  const { vms } = JSON.parse(stdout) as { vms: { status?: { upgrades: object } }[] };
  return Math.max(
    0,
    vms.findIndex((v) => Object.keys(v.status?.upgrades ?? {}).length > 0),
  );
};
