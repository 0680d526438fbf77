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
const upgradeBoundMs = 90_000;

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

const awaitVersion = async (fleet: Fleet, version: string): Promise<string[]> => {
  const deadline = Date.now() + upgradeBoundMs;
  let versions: string[] = [];
  do {
    await sleep(250);
    versions = (await readEngines(fleet)).map((e) => e.version);
  } while (versions.some((v) => v !== version) && Date.now() < deadline);
  return versions;
};

const pickVm = (killed: number, sequence: number): number =>
  [0, 1, 2].filter((vm) => vm !== killed)[sequence % 2] ?? 0;

test('all backend servers are upgraded under load, through a change and the loss of the controller', async (t) => {
  const fleet = await startFleet(small, mkdtempSync(join(tmpdir(), 'hemlocksill-test-')), {
    documentOptions: { limits: 'max-request-ms = 20000\ndrain-ms = 20000\n' },
  });
  t.teardown(() => fleet.stop());
  const { key } = await fleet.createKey('quotation');
  const state = { stop: false, killed: -1 };
  const ends: { vm: number; end: CallResult }[] = [];
  const callForever = async (caller: number): Promise<void> => {
    for (let i = 0; !state.stop; i += 1) {
      const vm = pickVm(state.killed, caller + i);
      const end = await callCompletion({
        url: fleet.urls[vm] ?? '',
        key,
        model: small.model,
        prompt: `tokens=40 ${caller} ${i} ${'x'.repeat(2_000)}`,
        maxTokens: 60,
        urgent: caller % 2 === 0,
      });
      ends.push({ vm, end });
    }
  };
  const callers = Array.from({ length: 10 }, (_, i) => callForever(i));
  await fleet.setFaults(fleet.ports.decodes[0] ?? 0, { loseOrderAnswers: 1 });
  t.is(await submitVersion(fleet, 'v2'), 0);
  await sleep(5_000);
  t.is(await submitVersion(fleet, 'v3'), 0);
  const controller = await findController(fleet);
  state.killed = controller;
  fleet.vms[controller]?.child.kill('SIGKILL');
  const versions = await awaitVersion(fleet, 'v3');
  state.stop = true;
  await Promise.all(callers);
  t.deepEqual([...new Set(versions)], ['v3']);
  const engines = await readEngines(fleet);
  t.is(
    engines.reduce((sum, e) => sum + e.lostByLoading, 0),
    0,
  );
  const cut = ends.filter(({ vm, end }) => vm !== controller && !end.complete);
  t.deepEqual(
    cut.map(({ end }) => [end.status, end.code]),
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
