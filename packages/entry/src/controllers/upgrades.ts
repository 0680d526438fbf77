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
import { parseServerStates, type ServerStates } from './server-states.js';

const passPeriodMs = 500;

/** Interval between two checks of a pool that needs no upgrade. */
const idlePoolPeriodMs = 5_000;

/** Time after the lease of an earlier controller in which its last order may still arrive. */
const maxOrderDelayMs = 3_000;

const roleSchema = z.strictObject({
  /** Empty when the last holder has released the role. */
  incarnation: z.string(),
  /** Fencing number sent with each order. */
  epoch: z.number().int(),
  writeId: z.string(),
});

type Role = z.output<typeof roleSchema>;

/** Upgrades backend servers to the versions in the configuration document. */
export interface Upgrades {
  readonly start: (signal: AbortSignal) => void;
  /** Gives up the role of upgrade controller, so that another VM can acquire it immediately. */
  readonly releaseRole: () => Promise<void>;
  /** Last step planned for each model, while this VM controls upgrades. */
  readonly describe: () => Readonly<Record<string, string>>;
}

/** Dependencies of the upgrade controller. */
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
  readonly ordersAllowedFrom: number;
}

const parseRole = (text: string): Role | undefined =>
  parseValue(roleSchema, text).unwrapOr(undefined);

const makeWriteId = (): string => randomBytes(8).toString('hex');

/**
 * Acquires the role of upgrade controller when this VM is responsible for it, and upgrades
 * backend servers step by step.
 */
export const makeUpgrades = (opts: UpgradesOptions): Upgrades => {
  const { store, keys, watch, membership, engines, logEvent } = opts;
  const lastSteps: Record<string, string> = {};
  let held: HeldRole | undefined;

  const selfId = (): string => membership.self().incarnation;

  /** Whether this VM is the controller now; checked before every order and every write. */
  const isController = (): boolean => {
    const lease = membership.lease();
    return held !== undefined && lease?.leaseId === held.leaseId && readClock() < lease.until;
  };

  const readStates = (): { states: ServerStates; revision: number } => {
    const entry = watch.entries.get(keys.serverStates);
    return { states: parseServerStates(entry?.value), revision: entry?.revision ?? 0 };
  };

  const acquireRole = async (): Promise<void> => {
    const entry = watch.entries.get(keys.upgrade);
    const previous = entry && parseRole(entry.value);
    const lease = membership.lease();
    if (!lease || membership.findResponsible('upgrade')?.incarnation !== selfId()) return;
    const previousHolder = previous?.incarnation ?? '';
    const isHeldByOther = previousHolder !== '' && previousHolder !== selfId();
    if (isHeldByOther && (await membership.isRegistered(previousHolder)) !== false) return;
    const role = {
      incarnation: selfId(),
      epoch: (previous?.epoch ?? 0) + 1,
      writeId: makeWriteId(),
    };
    const value = JSON.stringify(role);
    const written = await writeAndSettle(store, {
      key: keys.upgrade,
      expected: entry?.revision ?? 0,
      value,
    });
    if (written.isErr() || written.value.kind !== 'written') return;
    watch.applyEntry({ key: keys.upgrade, value, revision: written.value.revision });
    const wasReleased = previous === undefined || previous.incarnation === '';
    const ordersAllowedFrom = wasReleased
      ? readClock()
      : readClock() + lease.ttlMs + maxOrderDelayMs;
    held = { role, leaseId: lease.leaseId, ordersAllowedFrom };
    logEvent(1601, { epoch: role.epoch });
  };

  const observeServer = async (
    server: BackendServer,
    states: ServerStates,
  ): Promise<ObservedServer> => {
    const [load, holds] = await Promise.all([
      engines.readLoad(server.url),
      engines.readHolds(server.url),
    ]);
    const isReachable = load.isOk() && holds.isOk();
    return {
      name: server.name,
      role: server.role === 'prefill' ? 'prefill' : 'decode',
      model: server.model,
      version: load.isOk() ? load.value.version : undefined,
      state: load.isOk() && isReachable ? load.value.state : 'unreachable',
      heldRequests: holds.isOk() ? holds.value.length : 0,
      leavingSince: states[server.name]?.since,
    };
  };

  const writeStates = async (states: ServerStates, revision: number): Promise<boolean> => {
    if (!isController()) return false;
    const value = JSON.stringify(states);
    const written = await writeAndSettle(store, {
      key: keys.serverStates,
      expected: revision,
      value,
    });
    if (written.isErr() || written.value.kind !== 'written') return false;
    watch.applyEntry({ key: keys.serverStates, value, revision: written.value.revision });
    return true;
  };

  const orderLoad = async (server: BackendServer, version: string): Promise<void> => {
    if (!held || !isController()) return;
    // An engine without fencing would also follow a late order of an earlier controller, so it
    // is sent no order until no late one can arrive any more.
    if (!server.fencing && readClock() < held.ordersAllowedFrom) return;
    const orderResult = await engines.order(server.url, { fencing: held.role.epoch, version });
    if (orderResult.isErr()) logEvent(1605, { server: server.name, fault: orderResult.error });
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
      const { [step.server]: reopened, ...remainingStates } = states;
      if (reopened && (await writeStates(remainingStates, revision)))
        logEvent(1603, { server: step.server, version: pool.version });
    } else if (step.kind === 'load') {
      const server = servers.find((s) => s.name === step.server);
      if (server) await orderLoad(server, step.version);
    }
  };

  const recordStep = (model: string, step: UpgradeStep): void => {
    const text = step.kind === 'wait' ? `wait: ${step.reason}` : step.kind;
    if (text === 'wait: capacity' && lastSteps[model] !== text) logEvent(1604, { model });
    lastSteps[model] = text;
  };

  const idlePools = new Map<string, { version: string; until: number }>();

  const isIdle = (pool: Pool): boolean => {
    const idlePool = idlePools.get(pool.model);
    return idlePool?.version === pool.version && readClock() < idlePool.until;
  };

  const upgradePool = async (pool: Pool, document: Snapshot['document']): Promise<void> => {
    if (isIdle(pool)) return;
    const servers = [...document.backendServers.values()].filter((s) => s.model === pool.model);
    const { states } = readStates();
    const observed = await Promise.all(servers.map((s) => observeServer(s, states)));
    const step = planUpgradeStep({
      model: pool.model,
      targetVersion: pool.version,
      slots: pool.slots,
      servers: observed,
      now: Date.now(),
      drainMs: document.limits.drainMs,
    });
    recordStep(pool.model, step);
    if (step.kind === 'none')
      idlePools.set(pool.model, { version: pool.version, until: readClock() + idlePoolPeriodMs });
    if (isController()) await runStep(pool, step, servers);
  };

  const runPass = async (): Promise<void> => {
    if (!isController()) {
      held = undefined;
      await acquireRole();
    }
    const snapshot = opts.snapshot();
    if (!isController() || !snapshot || !opts.isProven()) return;
    const { document } = snapshot;
    for (const pool of document.pools.values()) await upgradePool(pool, document);
  };

  return {
    start: (signal) => void repeatUntilStopped(passPeriodMs, signal, runPass),
    releaseRole: async () => {
      const entry = watch.entries.get(keys.upgrade);
      if (!held || !entry) return;
      const value = JSON.stringify({ ...held.role, incarnation: '', writeId: makeWriteId() });
      held = undefined;
      await writeAndSettle(store, { key: keys.upgrade, expected: entry.revision, value });
    },
    describe: () => ({ ...lastSteps }),
  };
};
