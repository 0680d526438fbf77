import { z } from 'zod';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import { makePoolScheduler, type PoolScheduler } from '@hemlocksill/placement/pool-scheduler.js';
import type {
  PlacementDecision,
  PlacementRequest,
  PoolDescription,
} from '@hemlocksill/placement/pool-types.js';
import type { BackendServer, Snapshot } from '@hemlocksill/types/config-document.js';
import { readClock, repeatUntilStopped } from '../clock.js';
import type { EngineClient, EngineHold, EngineLoad } from '../engine-client.js';
import type { LogEvent } from '../events.js';
import type { Membership } from './membership.js';
import type { Orphans } from './orphans.js';
import type { ServerStates } from './server-states.js';

const pollPeriodMs = 250;
const tickPeriodMs = 20;
/** How long a backend server that failed receives no new requests. */
const suspendMs = 2_000;

/** How long the scheduler of a pool is kept after the last request for the pool. */
const maxIdleMs = 60_000;

/** Time that a placement call may last beyond the first-token deadline. */
const replyMarginMs = 500;

/** Outcome of a placement request. */
export type PlacementOutcome =
  | {
      readonly kind: 'assigned';
      readonly prefill: string;
      readonly decode: string;
      readonly reporter: PlacementReporter;
    }
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  /** The VM that schedules the pool did not reply. */
  | { readonly kind: 'lost' };

/** Reports the progress of a placed request to the scheduler. */
export interface PlacementReporter {
  readonly prefillEnded: () => void;
  readonly released: () => void;
  readonly failed: (server: string) => void;
}

/** Schedules completions on the engines of all pools, across all VMs. */
export interface Pools {
  readonly place: (
    model: string,
    req: PlacementRequest,
    signal: AbortSignal,
  ) => Promise<PlacementOutcome>;
  readonly describe: () => Readonly<Record<string, PoolDescription>>;
  /** Last load reports of the engines that this VM polls. */
  readonly loads: () => ReadonlyMap<string, EngineLoad>;
  readonly refresh: () => void;
  readonly methods: Readonly<Record<string, PeerMethod>>;
  readonly start: (signal: AbortSignal) => void;
}

/** Dependencies of the pools controller. */
export interface PoolsOptions {
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly engines: EngineClient;
  readonly orphans: Orphans;
  readonly snapshot: () => Snapshot | undefined;
  readonly serverStates: () => ServerStates;
  readonly logEvent: LogEvent;
}

interface ManagedPool {
  readonly scheduler: PoolScheduler;
  readonly pendingDecisions: Map<string, (decision: PlacementDecision) => void>;
  readonly cacheSequences: Map<string, number>;
  lastUsedAt: number;
}

/** Model, id, workspace, weight, class, prompt tokens, pieces, max output tokens, due time. */
const requestSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.enum(['urgent', 'patient']),
  z.number(),
  z.array(z.string()),
  z.number(),
  // Milliseconds until the first token is due, not a time, because the clocks of VMs differ.
  z.number(),
]);

type RequestMessage = z.output<typeof requestSchema>;

const toMessage = (model: string, req: PlacementRequest): RequestMessage => [
  model,
  req.id,
  req.workspace,
  req.weight,
  req.class,
  req.promptTokens,
  [...req.pieces],
  req.maxTokens,
  Math.max(0, Math.round(req.firstTokenDeadline - readClock())),
];

const fromMessage = (message: RequestMessage, owner: string): PlacementRequest => {
  const [, id, workspace, weight, requestClass, promptTokens, pieces, maxTokens, dueInMs] = message;
  const firstTokenDeadline = readClock() + dueInMs;
  return {
    id,
    owner,
    workspace,
    weight,
    class: requestClass,
    promptTokens,
    pieces,
    maxTokens,
    firstTokenDeadline,
  };
};

/** Model, id, event, and the server that failed (empty for other events). */
const updateSchema = z.tuple([
  z.string(),
  z.string(),
  z.enum(['prefill-ended', 'released', 'failed']),
  z.string(),
]);

const decisionSchema = z.union([
  z.object({
    kind: z.literal('assigned'),
    id: z.string(),
    prefill: z.string(),
    decode: z.string(),
  }),
  z.object({
    kind: z.literal('refused'),
    id: z.string(),
    reason: z.enum(['late', 'no-servers', 'cancelled']),
    retryAfterMs: z.number(),
  }),
]);

type PlacementUpdate = z.output<typeof updateSchema>;

/**
 * Runs the schedulers of the pools that this VM is responsible for, and requests placements
 * in the other pools from the VMs responsible for them. Two VMs that both act as responsible
 * for a pool do no harm: each sees the slots that the other uses in the holds that the engines
 * report.
 */
export const makePools = (opts: PoolsOptions): Pools => {
  const { membership, peers, engines, orphans, logEvent } = opts;
  const managedPools = new Map<string, ManagedPool>();
  const loads = new Map<string, EngineLoad>();
  const unreachableServers = new Set<string>();

  const listServers = (model: string): BackendServer[] =>
    [...(opts.snapshot()?.document.backendServers.values() ?? [])].filter(
      (s) => s.role !== 'service' && s.model === model,
    );

  const refreshMembers = (model: string, managedPool: ManagedPool): void => {
    const pool = opts.snapshot()?.document.pools.get(model);
    if (!pool) return;
    const leavingServers = opts.serverStates();
    const members = listServers(model).map((s) => ({
      name: s.name,
      role: s.role === 'prefill' ? ('prefill' as const) : ('decode' as const),
      dataCentre: s.dataCentre,
      isAccepting: !leavingServers[s.name] && (loads.get(s.name)?.state ?? 'serving') === 'serving',
    }));
    managedPool.scheduler.setMembers(members, pool, readClock());
  };

  const getManagedPool = (model: string): ManagedPool => {
    const existing = managedPools.get(model);
    if (existing) return existing;
    const newPool: ManagedPool = {
      scheduler: makePoolScheduler(),
      pendingDecisions: new Map(),
      cacheSequences: new Map(),
      lastUsedAt: readClock(),
    };
    managedPools.set(model, newPool);
    refreshMembers(model, newPool);
    return newPool;
  };

  const deliver = (managedPool: ManagedPool, decisions: readonly PlacementDecision[]): void =>
    decisions.forEach((decision) => {
      managedPool.pendingDecisions.get(decision.id)?.(decision);
      managedPool.pendingDecisions.delete(decision.id);
    });

  const placeLocally = (model: string, req: PlacementRequest): Promise<PlacementDecision> =>
    new Promise((resolve) => {
      const managedPool = getManagedPool(model);
      managedPool.lastUsedAt = readClock();
      managedPool.pendingDecisions.set(req.id, resolve);
      deliver(managedPool, managedPool.scheduler.enqueue(req, readClock()));
    });

  const applyUpdate = ([model, id, event, server]: PlacementUpdate): void => {
    const managedPool = getManagedPool(model);
    const now = readClock();
    if (event === 'prefill-ended') deliver(managedPool, managedPool.scheduler.endPrefill(id, now));
    if (event === 'failed') managedPool.scheduler.suspend(server, now + suspendMs);
    if (event !== 'prefill-ended') deliver(managedPool, managedPool.scheduler.release(id, now));
  };

  const makeReporter = (
    model: string,
    id: string,
    send: (update: PlacementUpdate) => void,
  ): PlacementReporter => ({
    prefillEnded: () => send([model, id, 'prefill-ended', '']),
    released: () => send([model, id, 'released', '']),
    failed: (server) => send([model, id, 'failed', server]),
  });

  const toOutcome = (decision: PlacementDecision, reporter: PlacementReporter): PlacementOutcome =>
    decision.kind === 'assigned'
      ? { kind: 'assigned', prefill: decision.prefill, decode: decision.decode, reporter }
      : decision;

  const place: Pools['place'] = async (model, req, signal) => {
    const responsibleVm = membership.findResponsible(`pool/${model}`) ?? membership.self();
    const isLocal = responsibleVm.incarnation === membership.self().incarnation;
    const reporter = makeReporter(model, req.id, (update) => {
      if (isLocal) applyUpdate(update);
      else peers.notify(responsibleVm.peers, 'placement.note', update);
    });
    const releasePlacement = () => reporter.released();
    signal.addEventListener('abort', releasePlacement, { once: true });
    if (isLocal) {
      const decision = await placeLocally(model, req);
      signal.removeEventListener('abort', releasePlacement);
      return toOutcome(decision, reporter);
    }
    const message = toMessage(model, req);
    const timeoutMs = req.firstTokenDeadline - readClock() + replyMarginMs;
    const reply = await peers.call(responsibleVm.peers, 'placement.place', message, timeoutMs);
    signal.removeEventListener('abort', releasePlacement);
    const parsed = reply.isOk() ? decisionSchema.safeParse(reply.value.value) : undefined;
    if (parsed?.success) return toOutcome(parsed.data, reporter);
    membership.markSuspect(responsibleVm.incarnation);
    reporter.released();
    return { kind: 'lost' };
  };

  const recordReachability = (server: BackendServer, isReachable: boolean): void => {
    if (isReachable && unreachableServers.delete(server.name))
      logEvent(1502, { server: server.name });
    if (isReachable || unreachableServers.has(server.name)) return;
    unreachableServers.add(server.name);
    logEvent(1501, { server: server.name });
  };

  const reconcileHolds = (
    managedPool: ManagedPool,
    server: BackendServer,
    holds: readonly EngineHold[],
  ): void => {
    if (server.role !== 'decode') return;
    const ids = holds.filter((h) => h.kind === 'decode').map((h) => h.id);
    deliver(managedPool, managedPool.scheduler.reconcile(server.name, ids, readClock()));
  };

  const readCacheEvents = async (
    managedPool: ManagedPool,
    server: BackendServer,
  ): Promise<void> => {
    if (server.role !== 'prefill') return;
    const after = managedPool.cacheSequences.get(server.name) ?? 0;
    const cache = await engines.readCacheEvents(server.url, after);
    if (cache.isErr()) return;
    managedPool.cacheSequences.set(server.name, cache.value.last);
    cache.value.events.forEach((e) =>
      managedPool.scheduler.recordCacheEvent(server.name, e.kind, e.piece),
    );
  };

  const pollServer = async (
    model: string,
    managedPool: ManagedPool,
    server: BackendServer,
  ): Promise<void> => {
    const [load, holds] = await Promise.all([
      engines.readLoad(server.url),
      engines.readHolds(server.url),
    ]);
    recordReachability(server, load.isOk() && holds.isOk());
    if (load.isErr() || holds.isErr()) {
      managedPool.scheduler.suspend(server.name, readClock() + suspendMs);
      return;
    }
    loads.set(server.name, load.value);
    reconcileHolds(managedPool, server, holds.value);
    await readCacheEvents(managedPool, server);
    refreshMembers(model, managedPool);
    const maxRequestMs = opts.snapshot()?.document.limits.maxRequestMs ?? 0;
    await orphans.search(server.url, holds.value, maxRequestMs);
  };

  /** Servers whose poll is in progress; a slow server must not delay the others. */
  const serversBeingPolled = new Set<string>();
  const pollUnlessBusy = async (
    model: string,
    managedPool: ManagedPool,
    server: BackendServer,
  ): Promise<void> => {
    if (serversBeingPolled.has(server.name)) return;
    serversBeingPolled.add(server.name);
    await pollServer(model, managedPool, server);
    serversBeingPolled.delete(server.name);
  };

  const isResponsible = (model: string): boolean =>
    membership.findResponsible(`pool/${model}`)?.incarnation === membership.self().incarnation;

  const pollModel = (model: string): void => {
    if (isResponsible(model)) getManagedPool(model).lastUsedAt = readClock();
    const managedPool = managedPools.get(model);
    if (!managedPool) return;
    if (readClock() - managedPool.lastUsedAt > maxIdleMs) {
      managedPools.delete(model);
      return;
    }
    refreshMembers(model, managedPool);
    listServers(model).forEach((server) => void pollUnlessBusy(model, managedPool, server));
  };

  const pollAll = (): Promise<void> => {
    [...(opts.snapshot()?.document.pools.keys() ?? [])].forEach(pollModel);
    return Promise.resolve();
  };

  return {
    place,
    describe: () =>
      Object.fromEntries(
        [...managedPools].map(([model, pool]) => [model, pool.scheduler.describe()]),
      ),
    loads: () => loads,
    refresh: () => managedPools.forEach((managedPool, model) => refreshMembers(model, managedPool)),
    methods: {
      'placement.place': async (params, from) => {
        const parsed = requestSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('a placement request expected');
        return placeLocally(parsed.data[0], fromMessage(parsed.data, from.incarnation));
      },
      'placement.note': (params) => {
        const parsed = updateSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('a placement note expected');
        applyUpdate(parsed.data);
        return Promise.resolve(true);
      },
    },
    start: (signal) => {
      void repeatUntilStopped(pollPeriodMs, signal, pollAll);
      void repeatUntilStopped(tickPeriodMs, signal, () => {
        managedPools.forEach((managedPool) =>
          deliver(managedPool, managedPool.scheduler.tick(readClock())),
        );
        return Promise.resolve();
      });
    },
  };
};
