import { randomBytes } from 'node:crypto';
import { z } from 'zod';
import type { StoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { parseValue } from '@hemlocksill/store/parse-value.js';
import { writeAndSettle } from '@hemlocksill/store/settle-write.js';
import type { BackendServer, Pool, Snapshot } from '@hemlocksill/types/config-document.js';
import type { Store } from '@hemlocksill/types/ports.js';
import {
  planUpgradeStep,
  type ObservedServer,
  type UpgradeStep,
} from '@hemlocksill/upgrade/plan-step.js';
import { readClock, repeatUntilStopped } from '../clock.js';
import type { EngineClient } from '../engine-client.js';
import type { LogEvent } from '../events.js';
import type { ControlWatch } from './control-watch.js';
import type { Membership } from './membership.js';
import { readServerStates, type ServerStates } from './server-states.js';

const periodMs = 500;

/** Time between two looks at a pool that had nothing to upgrade. */
const idlePeriodMs = 5_000;

/** Time after its lease in which an order of an earlier controller may still arrive. */
const orderTimeMs = 3_000;

const roleSchema = z.strictObject({
  /** Empty when the last holder has released the role. */
  incarnation: z.string(),
  /** Fencing number of orders. */
  epoch: z.number().int(),
  writeId: z.string(),
});

type Role = z.output<typeof roleSchema>;

/** Upgrades of backend servers to the versions that the document states. */
export interface Upgrades {
  readonly start: (signal: AbortSignal) => void;
  readonly release: () => Promise<void>;
  /** Last step planned for each model, while this VM controls upgrades. */
  readonly describe: () => Readonly<Record<string, string>>;
}

/** What upgrade control needs. */
export interface UpgradesOptions {
  readonly store: Store;
  readonly keys: StoreKeys;
  readonly watch: ControlWatch;
  readonly membership: Membership;
  readonly engines: EngineClient;
  readonly snapshot: () => Snapshot | undefined;
  readonly isProven: () => boolean;
  readonly logEvent: LogEvent;
}

interface HeldRole {
  readonly role: Role;
  readonly leaseId: string;
  readonly ordersFrom: number;
}

const readRole = (text: string): Role | undefined =>
  parseValue(roleSchema, text).unwrapOr(undefined);

const makeWriteId = (): string => randomBytes(8).toString('hex');

/** Holds the role of upgrade control when it falls to this VM, and upgrades step by step. */
export const makeUpgrades = (opts: UpgradesOptions): Upgrades => {
  const { store, keys, watch, membership, engines, logEvent } = opts;
  const described: Record<string, string> = {};
  let held: HeldRole | undefined;

  const selfId = (): string => membership.self().incarnation;

  /** Whether this VM may act now; checked before every order and every write. */
  const isInCharge = (): boolean => {
    const lease = membership.lease();
    return held !== undefined && lease?.leaseId === held.leaseId && readClock() < lease.until;
  };

  const readStates = (): { states: ServerStates; revision: number } => {
    const entry = watch.entries.get(keys.serverStates);
    return { states: readServerStates(entry?.value), revision: entry?.revision ?? 0 };
  };

  const takeRole = async (): Promise<void> => {
    const entry = watch.entries.get(keys.upgrade);
    const known = entry && readRole(entry.value);
    const lease = membership.lease();
    if (!lease || membership.findResponsible('upgrade')?.incarnation !== selfId()) return;
    const named = known?.incarnation ?? '';
    const isOther = named !== '' && named !== selfId();
    if (isOther && (await membership.isRegistered(named)) !== false) return;
    const role = { incarnation: selfId(), epoch: (known?.epoch ?? 0) + 1, writeId: makeWriteId() };
    const value = JSON.stringify(role);
    const written = await writeAndSettle(store, {
      key: keys.upgrade,
      expected: entry?.revision ?? 0,
      value,
    });
    if (written.isErr() || written.value.kind !== 'written') return;
    watch.learn({ key: keys.upgrade, value, revision: written.value.revision });
    const released = known === undefined || known.incarnation === '';
    const ordersFrom = released ? readClock() : readClock() + lease.ttlMs + orderTimeMs;
    held = { role, leaseId: lease.leaseId, ordersFrom };
    logEvent(1601, { epoch: role.epoch });
  };

  const observe = async (server: BackendServer, states: ServerStates): Promise<ObservedServer> => {
    const [load, holds] = await Promise.all([
      engines.readLoad(server.url),
      engines.readHolds(server.url),
    ]);
    const answered = load.isOk() && holds.isOk();
    return {
      name: server.name,
      role: server.role === 'prefill' ? 'prefill' : 'decode',
      model: server.model,
      version: load.isOk() ? load.value.version : undefined,
      state: load.isOk() && answered ? load.value.state : 'unreachable',
      heldRequests: holds.isOk() ? holds.value.length : 0,
      leavingSince: states[server.name]?.since,
    };
  };

  const writeStates = async (states: ServerStates, revision: number): Promise<boolean> => {
    if (!isInCharge()) return false;
    const value = JSON.stringify(states);
    const written = await writeAndSettle(store, {
      key: keys.serverStates,
      expected: revision,
      value,
    });
    if (written.isErr() || written.value.kind !== 'written') return false;
    watch.learn({ key: keys.serverStates, value, revision: written.value.revision });
    return true;
  };

  const orderLoad = async (server: BackendServer, version: string): Promise<void> => {
    // An engine that ignores fencing numbers must not get an order late.
    if (!held || !isInCharge()) return;
    if (!server.fencing && readClock() < held.ordersFrom) return;
    const done = await engines.order(server.url, { fencing: held.role.epoch, version });
    if (done.isErr()) logEvent(1605, { server: server.name, fault: done.error });
    else logEvent(1602, { server: server.name, step: 'load', version });
  };

  const runStep = async (
    pool: Pool,
    step: UpgradeStep,
    servers: readonly BackendServer[],
  ): Promise<void> => {
    const { states, revision } = readStates();
    if (step.kind === 'drain') {
      const leaving = { state: 'leaving' as const, since: Date.now(), version: pool.version };
      if (await writeStates({ ...states, [step.server]: leaving }, revision))
        logEvent(1602, { server: step.server, step: 'drain' });
    } else if (step.kind === 'reopen') {
      const { [step.server]: done, ...rest } = states;
      if (done && (await writeStates(rest, revision)))
        logEvent(1603, { server: step.server, version: pool.version });
    } else if (step.kind === 'load') {
      const server = servers.find((s) => s.name === step.server);
      if (server) await orderLoad(server, step.version);
    }
  };

  const describeStep = (model: string, step: UpgradeStep): void => {
    const text = step.kind === 'wait' ? `wait: ${step.reason}` : step.kind;
    if (text === 'wait: capacity' && described[model] !== text) logEvent(1604, { model });
    described[model] = text;
  };

  const idleUntil = new Map<string, { version: string; until: number }>();

  const isIdle = (pool: Pool): boolean => {
    const idle = idleUntil.get(pool.model);
    return idle?.version === pool.version && readClock() < idle.until;
  };

  const runPool = async (pool: Pool, document: Snapshot['document']): Promise<void> => {
    if (isIdle(pool)) return;
    const servers = [...document.backendServers.values()].filter((s) => s.model === pool.model);
    const { states } = readStates();
    const observed = await Promise.all(servers.map((s) => observe(s, states)));
    const step = planUpgradeStep({
      model: pool.model,
      targetVersion: pool.version,
      slots: pool.slots,
      servers: observed,
      now: Date.now(),
      drainMs: document.limits.drainMs,
    });
    describeStep(pool.model, step);
    if (step.kind === 'none')
      idleUntil.set(pool.model, { version: pool.version, until: readClock() + idlePeriodMs });
    if (isInCharge()) await runStep(pool, step, servers);
  };

  const pass = async (): Promise<void> => {
    if (!isInCharge()) {
      held = undefined;
      await takeRole();
    }
    const snapshot = opts.snapshot();
    if (!isInCharge() || !snapshot || !opts.isProven()) return;
    const { document } = snapshot;
    for (const pool of document.pools.values()) await runPool(pool, document);
  };

  return {
    start: (signal) => void repeatUntilStopped(periodMs, signal, pass),
    release: async () => {
      const entry = watch.entries.get(keys.upgrade);
      if (!held || !entry) return;
      const value = JSON.stringify({ ...held.role, incarnation: '', writeId: makeWriteId() });
      held = undefined;
      await writeAndSettle(store, { key: keys.upgrade, expected: entry.revision, value });
    },
    describe: () => ({ ...described }),
  };
};
