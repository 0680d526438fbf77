import { setMaxListeners } from 'node:events';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { build } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import { renderTable } from '@hemlocksill/report/render-text.js';
import { callCompletion } from './caller.js';
import { deployments } from './deployment.js';
import { startFleet, type Fleet } from './fleet.js';

const warmUpCalls = 300;
const measuredCalls = 3_000;
const concurrentStreams = 100;
const streamTokens = 1_500;
const idleStreams = 1_000;

const agent = new Agent({ connections: 64 });

const measureCalls = async (count: number, call: () => Promise<void>) => {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  for (let i = 0; i < warmUpCalls; i += 1) await call();
  for (let i = 0; i < count; i += 1) {
    const startedAt = performance.now();
    await call();
    histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * 1_000)));
  }
  const readPercentile = (p: number) => (histogram.getValueAtPercentile(p) / 1_000).toFixed(2);
  return { p50: readPercentile(50), p99: readPercentile(99) };
};

const makeStockReader =
  (url: string, headers: Record<string, string>) => async (): Promise<void> => {
    const res = await request(`${url}/stock/b`, { headers, dispatcher: agent });
    await res.body.dump();
  };

const measureThroughput = async (call: () => Promise<void>): Promise<number> => {
  const durationMs = 4_000;
  const deadline = performance.now() + durationMs;
  let completedCalls = 0;
  const run = async (): Promise<void> => {
    while (performance.now() < deadline) {
      await call();
      completedCalls += 1;
    }
  };
  await Promise.all(Array.from({ length: 64 }, run));
  return (completedCalls * 1_000) / durationMs;
};

interface Status {
  readonly cpuSeconds: number;
  readonly memoryMb: number;
}

const readStatus = async (fleet: Fleet): Promise<Status> => {
  const { stdout } = await fleet.runCli('status');
  const { vms } = JSON.parse(stdout) as { vms: { status: Status }[] };
  const status = vms[0]?.status;
  if (!status) throw new Error('vm-1 returned no status');
  return status;
};

/** Measures the memory of a VM for each open, nearly idle stream, in KiB. */
const measureMemory = async (fleet: Fleet, key: string): Promise<number> => {
  await Promise.all(fleet.ports.decodes.map((port) => fleet.setFaults(port, { slowdown: 400 })));
  await sleep(1_000);
  const before = await readStatus(fleet);
  const abort = new AbortController();
  setMaxListeners(0, abort.signal);
  const calls = Array.from({ length: idleStreams }, (_, i) =>
    callCompletion({
      url: fleet.urls[0] ?? '',
      key,
      model: fleet.deployment.model,
      prompt: `tokens=${streamTokens} idle ${i}`,
      maxTokens: streamTokens,
      urgent: false,
      signal: abort.signal,
    }),
  );
  await sleep(4_000);
  const after = await readStatus(fleet);
  abort.abort();
  await Promise.all(calls);
  return ((after.memoryMb - before.memoryMb) * 1_024) / idleStreams;
};

/** Measures concurrent streams through one entry process while the engines run at full speed. */
const measureStreams = async (fleet: Fleet, key: string) => {
  const before = await readStatus(fleet);
  const startedAt = performance.now();
  const calls = Array.from({ length: concurrentStreams }, (_, i) =>
    callCompletion({
      url: fleet.urls[0] ?? '',
      key,
      model: fleet.deployment.model,
      prompt: `tokens=${streamTokens} ${i}`,
      maxTokens: streamTokens,
      urgent: false,
    }),
  );
  const results = await Promise.all(calls);
  const elapsedS = (performance.now() - startedAt) / 1_000;
  const after = await readStatus(fleet);
  const tokens = results.reduce((sum, r) => sum + r.tokens, 0);
  return {
    tokensPerSecond: tokens / elapsedS,
    microsPerToken: ((after.cpuSeconds - before.cpuSeconds) * 1e6) / tokens,
    complete: results.filter((r) => r.complete).length,
  };
};

/** Assembles unused workspaces, to show whether the cost of a request grows with their number. */
const assembleWorkspaces = (count: number): string =>
  Array.from(
    { length: count },
    (_, i) => `[workspace idle-${i}]\nrate = 1000\nburst = 1000\n`,
  ).join('');

const singleVmDeployment = {
  ...deployments.small,
  vmCount: 1,
  workspaces: [['quotation', 100_000_000, 1_000_000_000, 1] as const],
};

const measureWithWorkspaces = async (workspaces: number): Promise<string[]> => {
  const dir = mkdtempSync(join(tmpdir(), 'hemlocksill-speed-'));
  const fleet = await startFleet(singleVmDeployment, dir, {
    groupStandIns: true,
    extraEntrySettings: 'log-level = warn\n',
    documentOptions: { limits: '' },
    extraDocument: assembleWorkspaces(workspaces),
    engineOptions: { tokenMs: 1, tokenMsPerStream: 0, slots: 600 },
  });
  try {
    const { key } = await fleet.createKey('quotation');
    await Promise.all(fleet.ports.services.map((port) => fleet.setFaults(port, { delayMs: 0 })));
    await sleep(2_000);
    // Measured first: later, the process could reuse freed memory and a stream would seem to need less.
    const kibPerStream = await measureMemory(fleet, key);
    await Promise.all(fleet.ports.decodes.map((port) => fleet.setFaults(port, { slowdown: 1 })));
    await sleep(5_000);
    const readDirectly = makeStockReader(`http://127.0.0.1:${fleet.ports.services[0]}`, {});
    const readViaEntry = makeStockReader(fleet.urls[0] ?? '', { authorization: `Bearer ${key}` });
    const directMs = await measureCalls(measuredCalls, readDirectly);
    const viaEntryMs = await measureCalls(measuredCalls, readViaEntry);
    const readsPerSecond = await measureThroughput(readViaEntry);
    const streams = await measureStreams(fleet, key);
    return [
      String(workspaces + 1),
      `${directMs.p50} / ${directMs.p99}`,
      `${viaEntryMs.p50} / ${viaEntryMs.p99}`,
      (Number(viaEntryMs.p50) - Number(directMs.p50)).toFixed(2),
      readsPerSecond.toFixed(0),
      streams.tokensPerSecond.toFixed(0),
      streams.microsPerToken.toFixed(1),
      `${streams.complete}/${concurrentStreams}`,
      kibPerStream.toFixed(0),
    ];
  } finally {
    await fleet.stop();
  }
};

const columnTitles = [
  'workspaces',
  'direct p50/p99 ms',
  'through p50/p99 ms',
  'added p50 ms',
  'reads/s',
  'tokens/s',
  'us/token',
  'whole',
  'KiB/stream',
];
const workspaceCounts = (process.argv[2] ?? '4,5999').split(',').map(Number);
const tableRows: string[][] = [];
for (const count of workspaceCounts) tableRows.push(await measureWithWorkspaces(count));
console.log(renderTable(columnTitles, tableRows));
process.exit(0);
