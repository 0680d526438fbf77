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

const pollMs = 250;
const tickMs = 20;
const suspendMs = 2_000;

/** Time after its last request in which a scheduler goes on being kept. */
const idleMs = 60_000;

/** Margin of a placement call beyond the first-token deadline. */
const answerMarginMs = 500;

/** Outcome of asking for a placement. */
export type PlacementOutcome =
  | {
      readonly kind: 'assigned';
      readonly prefill: string;
      readonly decode: string;
      readonly end: PlacementReporter;
    }
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  /** The VM that schedules the pool gave no answer. */
  | { readonly kind: 'lost' };

/** Tells the scheduler how a placed request goes on. */
export interface PlacementReporter {
  readonly prefillEnded: () => void;
  readonly released: () => void;
  readonly failed: (server: string) => void;
}

/** Ordering and placement of completions over all VMs. */
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

/** What the pools controller needs. */
export interface PoolsOptions {
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly engines: EngineClient;
  readonly orphans: Orphans;
  readonly snapshot: () => Snapshot | undefined;
  readonly serverStates: () => ServerStates;
  readonly logEvent: LogEvent;
}

interface Keeper {
  readonly scheduler: PoolScheduler;
  readonly waiting: Map<string, (decision: PlacementDecision) => void>;
  readonly cacheSeqs: Map<string, number>;
  lastUsed: number;
}

/** Model, id, workspace, weight, class, prompt tokens, pieces, most tokens, due time. */
const requestSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.enum(['urgent', 'patient']),
  z.number(),
  z.array(z.string()),
  z.number(),
  // Milliseconds until the first token is due; clocks of VMs differ.
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
  const [, id, workspace, weight, cls, promptTokens, pieces, maxTokens, dueInMs] = message;
  const firstTokenBy = readClock() + dueInMs;
  return {
    id,
    owner,
    workspace,
    weight,
    class: cls,
    promptTokens,
    pieces,
    maxTokens,
    firstTokenDeadline: firstTokenBy,
  };
};

/** Model, id, what has happened, and the server that failed. */
const noteSchema = z.tuple([
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

type Note = z.output<typeof noteSchema>;

/**
 * Keeps the schedulers of the pools that this VM is responsible for and asks other VMs
 * for the rest. Two VMs that both think they are responsible are harmless: each sees the
 * other's slots in the engines' own lists.
 */
export const makePools = (opts: PoolsOptions): Pools => {
  const { membership, peers, engines, orphans, logEvent } = opts;
  const keepers = new Map<string, Keeper>();
  const loads = new Map<string, EngineLoad>();
  const unreachable = new Set<string>();

  const listServers = (model: string): BackendServer[] =>
    [...(opts.snapshot()?.document.backendServers.values() ?? [])].filter(
      (s) => s.role !== 'service' && s.model === model,
    );

  const refreshKeeper = (model: string, keeper: Keeper): void => {
    const pool = opts.snapshot()?.document.pools.get(model);
    if (!pool) return;
    const leaving = opts.serverStates();
    const members = listServers(model).map((s) => ({
      name: s.name,
      role: s.role === 'prefill' ? ('prefill' as const) : ('decode' as const),
      dataCentre: s.dataCentre,
      accepting: !leaving[s.name] && (loads.get(s.name)?.state ?? 'serving') === 'serving',
    }));
    keeper.scheduler.setMembers(members, pool, readClock());
  };

  const getKeeper = (model: string): Keeper => {
    const known = keepers.get(model);
    if (known) return known;
    const made: Keeper = {
      scheduler: makePoolScheduler(),
      waiting: new Map(),
      cacheSeqs: new Map(),
      lastUsed: readClock(),
    };
    keepers.set(model, made);
    refreshKeeper(model, made);
    return made;
  };

  const deliver = (keeper: Keeper, decisions: readonly PlacementDecision[]): void =>
    decisions.forEach((decision) => {
      keeper.waiting.get(decision.id)?.(decision);
      keeper.waiting.delete(decision.id);
    });

  const placeHere = (model: string, req: PlacementRequest): Promise<PlacementDecision> =>
    new Promise((resolve) => {
      const keeper = getKeeper(model);
      keeper.lastUsed = readClock();
      keeper.waiting.set(req.id, resolve);
      deliver(keeper, keeper.scheduler.enqueue(req, readClock()));
    });

  const noteHere = ([model, id, note, server]: Note): void => {
    const keeper = getKeeper(model);
    const now = readClock();
    if (note === 'prefill-ended') deliver(keeper, keeper.scheduler.endPrefill(id, now));
    if (note === 'failed') keeper.scheduler.suspend(server, now + suspendMs);
    if (note !== 'prefill-ended') deliver(keeper, keeper.scheduler.release(id, now));
  };

  const makeEnds = (model: string, id: string, send: (note: Note) => void): PlacementReporter => ({
    prefillEnded: () => send([model, id, 'prefill-ended', '']),
    released: () => send([model, id, 'released', '']),
    failed: (server) => send([model, id, 'failed', server]),
  });

  const toOutcome = (decision: PlacementDecision, ends: PlacementReporter): PlacementOutcome =>
    decision.kind === 'assigned'
      ? { kind: 'assigned', prefill: decision.prefill, decode: decision.decode, end: ends }
      : decision;

  const place: Pools['place'] = async (model, req, signal) => {
    const keeper = membership.findResponsible(`pool/${model}`) ?? membership.self();
    const isHere = keeper.incarnation === membership.self().incarnation;
    const ends = makeEnds(model, req.id, (note) => {
      if (isHere) noteHere(note);
      else peers.notify(keeper.peers, 'placement.note', note);
    });
    const giveUp = () => ends.released();
    signal.addEventListener('abort', giveUp, { once: true });
    if (isHere) {
      const decision = await placeHere(model, req);
      signal.removeEventListener('abort', giveUp);
      return toOutcome(decision, ends);
    }
    const message = toMessage(model, req);
    const timeoutMs = req.firstTokenDeadline - readClock() + answerMarginMs;
    const answer = await peers.call(keeper.peers, 'placement.place', message, timeoutMs);
    signal.removeEventListener('abort', giveUp);
    const parsed = answer.isOk() ? decisionSchema.safeParse(answer.value.value) : undefined;
    if (parsed?.success) return toOutcome(parsed.data, ends);
    membership.suspect(keeper.incarnation);
    ends.released();
    return { kind: 'lost' };
  };

  const noteReachable = (server: BackendServer, reachable: boolean): void => {
    if (reachable && unreachable.delete(server.name)) logEvent(1502, { server: server.name });
    if (reachable || unreachable.has(server.name)) return;
    unreachable.add(server.name);
    logEvent(1501, { server: server.name });
  };

  const takeHolds = (keeper: Keeper, server: BackendServer, holds: readonly EngineHold[]): void => {
    if (server.role !== 'decode') return;
    const ids = holds.filter((h) => h.kind === 'decode').map((h) => h.id);
    deliver(keeper, keeper.scheduler.reconcile(server.name, ids, readClock()));
  };

  const readCache = async (keeper: Keeper, server: BackendServer): Promise<void> => {
    if (server.role !== 'prefill') return;
    const after = keeper.cacheSeqs.get(server.name) ?? 0;
    const cache = await engines.readCacheEvents(server.url, after);
    if (cache.isErr()) return;
    keeper.cacheSeqs.set(server.name, cache.value.last);
    cache.value.events.forEach((e) =>
      keeper.scheduler.recordCacheEvent(server.name, e.kind, e.piece),
    );
  };

  const pollServer = async (
    model: string,
    keeper: Keeper,
    server: BackendServer,
  ): Promise<void> => {
    const [load, holds] = await Promise.all([
      engines.readLoad(server.url),
      engines.readHolds(server.url),
    ]);
    noteReachable(server, load.isOk() && holds.isOk());
    if (load.isErr() || holds.isErr()) {
      keeper.scheduler.suspend(server.name, readClock() + suspendMs);
      return;
    }
    loads.set(server.name, load.value);
    takeHolds(keeper, server, holds.value);
    await readCache(keeper, server);
    refreshKeeper(model, keeper);
    const maxMs = opts.snapshot()?.document.limits.maxRequestMs ?? 0;
    await orphans.search(server.url, holds.value, maxMs);
  };

  /** Servers with a poll under way; a slow one must not delay the others. */
  const busy = new Set<string>();
  const pollUnlessBusy = async (
    model: string,
    keeper: Keeper,
    server: BackendServer,
  ): Promise<void> => {
    if (busy.has(server.name)) return;
    busy.add(server.name);
    await pollServer(model, keeper, server);
    busy.delete(server.name);
  };

  const isResponsible = (model: string): boolean =>
    membership.findResponsible(`pool/${model}`)?.incarnation === membership.self().incarnation;

  const pollModel = (model: string): void => {
    if (isResponsible(model)) getKeeper(model).lastUsed = readClock();
    const keeper = keepers.get(model);
    if (!keeper) return;
    if (readClock() - keeper.lastUsed > idleMs) {
      keepers.delete(model);
      return;
    }
    refreshKeeper(model, keeper);
    listServers(model).forEach((server) => void pollUnlessBusy(model, keeper, server));
  };

  const pollAll = (): Promise<void> => {
    [...(opts.snapshot()?.document.pools.keys() ?? [])].forEach(pollModel);
    return Promise.resolve();
  };

  return {
    place,
    describe: () =>
      Object.fromEntries([...keepers].map(([model, k]) => [model, k.scheduler.describe()])),
    loads: () => loads,
    refresh: () => keepers.forEach((keeper, model) => refreshKeeper(model, keeper)),
    methods: {
      'placement.place': async (params, from) => {
        const parsed = requestSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('a placement request expected');
        return placeHere(parsed.data[0], fromMessage(parsed.data, from.incarnation));
      },
      'placement.note': (params) => {
        const parsed = noteSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('a placement note expected');
        noteHere(parsed.data);
        return Promise.resolve(true);
      },
    },
    start: (signal) => {
      void repeatUntilStopped(pollMs, signal, pollAll);
      void repeatUntilStopped(tickMs, signal, () => {
        keepers.forEach((keeper) => deliver(keeper, keeper.scheduler.tick(readClock())));
        return Promise.resolve();
      });
    },
  };
};
