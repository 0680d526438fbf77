import { applyOperations } from '@hemlocksill/claims/claim-operations.js';
import { getClaimId } from '@hemlocksill/claims/claim-record.js';
import { makePeerClient } from '@hemlocksill/peer/peer-client.js';
import { startPeerServer } from '@hemlocksill/peer/peer-server.js';
import { rankByRendezvous } from '@hemlocksill/peer/rendezvous.js';
import { makePoolScheduler } from '@hemlocksill/placement/pool-scheduler.js';
import type { PoolMember } from '@hemlocksill/placement/pool-types.js';
import { acceptReturn, handleDraw, makeHolder, allBucketsFull } from '@hemlocksill/rate/holder.js';
import { renderTable } from '@hemlocksill/report/render-text.js';
import { assembleHead } from '@hemlocksill/revisions/head.js';
import { findKey, makeKey } from '@hemlocksill/revisions/keys.js';
import { computeDigest, splitDocument } from '@hemlocksill/revisions/parts.js';
import { assembleSnapshot } from '@hemlocksill/revisions/snapshot.js';

/** Cost of one operation at one size. */
type Row = readonly [operation: string, size: string, value: string, unit: string];

const rows: Row[] = [];
const addRow = (operation: string, size: number | string, value: number, unit: string): void => {
  rows.push([operation, String(size), value < 10 ? value.toFixed(2) : value.toFixed(0), unit]);
};

/**
 * Measures the mean processor time of one run, in microseconds, after a warm-up of a quarter as many
 * runs.
 */
const measureMicros = (count: number, run: (i: number) => void): number => {
  for (let i = 0; i < count / 4; i += 1) run(i);
  const before = process.cpuUsage();
  for (let i = 0; i < count; i += 1) run(i);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / count;
};

/** Returns the heap in use in bytes; garbage is excluded only if Node.js runs with `--expose-gc`. */
const readHeap = (): number => {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

const makeMembers = (count: number): PoolMember[] =>
  Array.from({ length: count }, (_, i) => ({
    name: `server-${i}`,
    role: i % 3 === 0 ? ('prefill' as const) : ('decode' as const),
    dataCentre: `dc-${i % 3}`,
    isAccepting: true,
  }));

const measurePlacement = (servers: number): void => {
  const pool = makePoolScheduler();
  const limits = { slots: 20, prefillRate: 20_000, pieceTokens: 2_048, patientShare: 0.3 };
  pool.setMembers(makeMembers(servers), limits, 0);
  const pieces = ['a', 'b', 'c', 'd'];
  let now = 0;
  const openIds: string[] = [];
  const micros = measureMicros(5_000, (i) => {
    now += 200 / servers;
    const id = `${servers}.${i}.${now}`;
    pool.enqueue(
      {
        id,
        owner: 'vm',
        workspace: `w${i % 50}`,
        weight: 1,
        class: i % 3 === 0 ? 'urgent' : 'patient',
        promptTokens: 2_000,
        pieces,
        maxTokens: 200,
        firstTokenDeadline: now + 10_000,
      },
      now,
    );
    pool.endPrefill(id, now);
    openIds.push(id);
    if (openIds.length > servers * 8) pool.release(openIds.shift() ?? '', now);
  });
  addRow('slot book: place, end, release', `${servers} servers`, micros, 'us/request');
};

const measureRate = (workspaces: number): void => {
  const heap = readHeap();
  const holder = makeHolder(0, 1, 0, allBucketsFull);
  const limit = { rate: 1e6, burst: 1e7 };
  const makeDraw = (i: number) => ({
    workspace: `w${i % workspaces}`,
    need: 400,
    want: 600,
    requester: 'a',
  });
  for (let i = 0; i < workspaces; i += 1) handleDraw(holder, makeDraw(i), limit, 0);
  const bytes = (readHeap() - heap) / workspaces;
  const micros = measureMicros(20_000, (i) => {
    const now = i * 5;
    const drawResult = handleDraw(holder, makeDraw(i), limit, now);
    if (drawResult.kind !== 'granted') return;
    const { workspace } = makeDraw(i);
    const { slot, tokens } = drawResult;
    acceptReturn(holder, 1, { workspace, slot, settled: tokens, unused: 100 }, now);
  });
  addRow('rate holder: draw and return', `${workspaces} workspaces`, micros, 'us/draw');
  addRow('rate holder: state', `${workspaces} workspaces`, bytes, 'B/workspace');
};

const measureClaims = (claims: number): void => {
  const entries = Array.from({ length: claims }, (_, i) => ({
    id: getClaimId('forge', `order-${i}`),
    fingerprint: getClaimId('x', `f${i}`),
    writer: '00112233445566ff',
    attempt: `00112233445566ff.${i}`,
    state: 'done' as const,
    answer: { status: 200, contentType: 'application/json', body: '{"confirmed":true}' },
  }));
  const micros = measureMicros(200, (i) => {
    const req = { id: `n${i}`, fingerprint: 'f', writer: 'w', attempt: 'a' };
    const applied = applyOperations(new Map(), entries, [{ kind: 'take', req }]);
    JSON.stringify(applied.entries);
  });
  addRow('claims: one write of a segment', `${claims} claims`, micros, 'us/write');
  addRow('claims: record', `${claims} claims`, JSON.stringify(entries).length / claims, 'B/claim');
};

const assembleDocument = (workspaces: number): string =>
  `[limits]\n${Array.from(
    { length: workspaces },
    (_, i) => `[workspace w-${i}]\nrate = 1000\nburst = 4000\nweight = 1\n`,
  ).join('')}`;

const measureConfiguration = (workspaces: number): void => {
  const parts = splitDocument(assembleDocument(workspaces));
  const partRefs = new Map(
    [...parts].map(([name, text]) => [name, { key: `/p/${name}`, digest: computeDigest(text) }]),
  );
  const author = { writeId: '0011223344556677', operator: 'operator', at: '2026-01-01T00:00:00Z' };
  const head = JSON.stringify(assembleHead(undefined, partRefs, author, true));
  const heap = readHeap();
  const snapshot = assembleSnapshot(1, parts)._unsafeUnwrap();
  const bytes = readHeap() - heap;
  const micros = measureMicros(8, () => assembleSnapshot(1, parts));
  const largestPartLength = Math.max(...[...parts.values()].map((t) => t.length));
  const size = `${workspaces} workspaces`;
  addRow('configuration: assemble a revision', size, micros / 1_000, 'ms/change');
  addRow('configuration: head and largest part', size, head.length + largestPartLength, 'B/change');
  addRow(
    'configuration: in memory',
    size,
    bytes / 1_024,
    `KiB (${snapshot.document.workspaces.size})`,
  );
};

const measureKeys = (count: number): void => {
  const createdKeys = Array.from({ length: count }, () => makeKey('trial', 'forge', ''));
  const keys = new Map(createdKeys.map((k) => [k.record.id, k.record]));
  const micros = measureMicros(20_000, (i) => findKey(keys, createdKeys[i % count]?.text ?? ''));
  addRow('keys: find', `${count} keys`, micros, 'us/request');
};

const measureRendezvous = (vms: number): void => {
  const names = Array.from({ length: vms }, (_, i) => `incarnation-${i}`);
  const micros = measureMicros(500, (i) => rankByRendezvous(names, `pool/${i % 13}`));
  addRow('membership: rank for one key', `${vms} VMs`, micros, 'us/change and key');
};

/** Measures gossip over real connections, from one client to many listeners in the same process. */
const measureGossip = async (vms: number): Promise<void> => {
  const secrets = () => ['0123456789abcdef'];
  let bytes = 0;
  const countBytes = (n: number): void => {
    bytes += n;
  };
  const view = { revision: 1_700, proofAgeMs: 1_234.5, storeReachable: true };
  const heap = readHeap();
  const servers = await Promise.all(
    Array.from({ length: vms }, (_, i) =>
      startPeerServer({
        host: '127.0.0.1',
        port: 0,
        self: { vm: `vm-${i}`, incarnation: `incarnation-${i}` },
        secrets,
        countBytes: () => {},
        onRejected: () => {},
        methods: { 'gossip.sync': () => Promise.resolve(view) },
      }),
    ),
  );
  const client = makePeerClient({ self: { vm: 'a', incarnation: 'b' }, secrets, countBytes });
  const exchangeGossip = (port: number) =>
    client.call(
      { host: '127.0.0.1', port },
      'gossip.sync',
      { ...view, wantsMembers: false },
      5_000,
    );
  await Promise.all(servers.map((s) => exchangeGossip(s.port)));
  const kibPerPeer = (readHeap() - heap) / vms / 1_024;
  bytes = 0;
  const rounds = Math.ceil(4_000 / vms);
  const before = process.cpuUsage();
  for (let i = 0; i < rounds; i += 1) await Promise.all(servers.map((s) => exchangeGossip(s.port)));
  const { user, system } = process.cpuUsage(before);
  const exchanges = rounds * vms;
  addRow('gossip: exchange, both ends', `${vms} peers`, (user + system) / exchanges, 'us/exchange');
  addRow('gossip: exchange', `${vms} peers`, bytes / exchanges, 'B/exchange');
  addRow('gossip: connection, both ends', `${vms} peers`, kibPerPeer, 'KiB/peer');
  client.close();
  await Promise.all(servers.map((s) => s.close()));
};

[13, 48, 200, 630].forEach(measurePlacement);
[5, 600, 6_000].forEach(measureRate);
[10, 100, 200].forEach(measureClaims);
[5, 600, 6_000].forEach(measureConfiguration);
[10, 6_000].forEach(measureKeys);
[8, 100, 390].forEach(measureRendezvous);
for (const vms of [1, 10, 100, 390]) await measureGossip(vms);
console.log(
  renderTable(
    ['role', 'at', 'slope', 'unit'],
    rows.map((r) => [...r]),
  ),
);
process.exit(0);
