import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  refuseRateExceeded,
  refuseRateUnknown,
  refuseTooLarge,
} from '@hemlocksill/errors/refusals.js';
import type { PeerClient, PeerEndpoint } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import { acceptReturn, handleDraw, type DrawReply } from '@hemlocksill/rate/holder.js';
import { selectLateWaiters, type RateWaiter } from '@hemlocksill/rate/select-late.js';
import { getWorkspaceShard } from '@hemlocksill/rate/shard-record.js';
import {
  makeShortage,
  recordShortage,
  predictShortageWait,
  type Shortage,
} from '@hemlocksill/rate/shortage.js';
import {
  addGrant,
  collectReturns,
  countAvailable,
  getExpectedDemand,
  makeRateConsumer,
  recordDemand,
  reserveTokens,
  settleReservation,
  type EpochReturn,
  type Reservation,
} from '@hemlocksill/rate/rate-consumer.js';
import type { Workspace } from '@hemlocksill/types/config-document.js';
import type { StoreEntry } from '@hemlocksill/types/ports.js';
import type { Refusal } from '@hemlocksill/types/requests.js';
import { readClock, repeatUntilStopped } from '../clock.js';
import type { RateShards } from './rate-shards.js';

const drawTimeoutMs = 400;
const returnPeriodMs = 250;

/** Delay before a draw is retried when no holder is known or the holder did not reply. */
const noHolderRetryDelayMs = 25;

/**
 * Time that every request may wait for a holder, even if its deadline is earlier, because a
 * hand-over of the shard takes some time.
 */
const minHolderWaitMs = 1_500;
const maxDrawDelayMs = 250;

const noHolderRetryAfterMs = 2_000;

/** Admits requests by the token rates of their workspaces. */
export interface Rate {
  /**
   * Reserves tokens, waiting until `deadline` at the latest. A request whose tokens cannot
   * arrive in time is refused immediately.
   */
  readonly reserve: (
    workspace: Workspace,
    tokens: number,
    deadline: number,
    signal: AbortSignal,
  ) => Promise<Result<Reservation, Refusal>>;
  /** Settles a reservation with the number of tokens that the request used. */
  readonly settle: (reservation: Reservation, used: number) => void;
  readonly methods: Readonly<Record<string, PeerMethod>>;
  readonly start: (signal: AbortSignal) => void;
}

/** Dependencies of the rate controller. */
export interface RateOptions {
  readonly shards: RateShards;
  readonly peers: PeerClient;
  readonly findWorkspace: (name: string) => Workspace | undefined;
}

interface Waiter extends RateWaiter {
  readonly finish: (result: Result<Reservation, Refusal>) => void;
}

/** Requests of one workspace that wait for tokens. */
interface WaitQueue {
  readonly waiters: Waiter[];
  isDrawing: boolean;
  readonly shortage: Shortage;
  /** Ends the delay before the next draw. */
  wake: () => void;
}

type DrawOutcome = { reply: DrawReply; epoch: number; sentAt: number } | undefined;

interface PendingDraw {
  readonly epoch: number;
  readonly shard: number;
  readonly draw: { workspace: string; need: number; want: number };
  readonly resolve: (outcome: DrawOutcome) => void;
}

/** Reply of a VM that does not hold the shard; `entry` is the shard record, if known there. */
interface MovedReply {
  readonly kind: 'moved';
  readonly entry: StoreEntry | undefined;
}

interface DrawBatch {
  readonly draws: PendingDraw[];
  readonly address: PeerEndpoint;
}

const drawsSchema = z.object({
  /** Shard, epoch, workspace, needed tokens, and wanted tokens. */
  draws: z.array(z.tuple([z.number(), z.number(), z.string(), z.number(), z.number()])),
  /** Workspace, epoch, slot, settled tokens, and how many of these were not used. */
  returns: z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()])),
});

type ReturnMessage = z.output<typeof drawsSchema>['returns'][number];

const toReturnMessage = (r: EpochReturn): ReturnMessage => [
  r.workspace,
  r.epoch,
  r.slot,
  r.settled,
  r.unused,
];

const fromReturnMessage = ([workspace, epoch, slot, settled, unused]: ReturnMessage) => ({
  workspace,
  epoch,
  slot,
  settled,
  unused,
});

/** Draws grants from holders, serves waiting requests, and answers draws of other VMs. */
export const makeRate = (opts: RateOptions): Rate => {
  const { shards, peers, findWorkspace } = opts;
  const consumer = makeRateConsumer();
  const queues = new Map<string, WaitQueue>();
  const pendingBatches = new Map<string, DrawBatch>();
  let pendingReturns: EpochReturn[] = [];

  const handleLocalDraw = (
    shard: number,
    epoch: number,
    draw: PendingDraw['draw'],
    requester: string,
  ): DrawReply | undefined => {
    const holder = shards.findLocal(shard);
    const workspace = findWorkspace(draw.workspace);
    if (!holder || holder.epoch !== epoch || !workspace) return undefined;
    const reply = handleDraw(holder, { ...draw, requester }, workspace, readClock());
    if (reply.kind === 'short') shards.recallDeposit(shard, draw.workspace);
    return reply;
  };

  const applyReturns = (returned: readonly EpochReturn[]): void => {
    const now = readClock();
    returned.forEach((r) => {
      const holder = shards.findLocal(getWorkspaceShard(r.workspace));
      if (holder) acceptReturn(holder, r.epoch, r, now);
    });
  };

  const dequeueReturns = (incarnation: string): EpochReturn[] => {
    const dueReturns = pendingReturns.filter(
      (r) => shards.findHolder(getWorkspaceShard(r.workspace))?.incarnation === incarnation,
    );
    pendingReturns = pendingReturns.filter((r) => !dueReturns.includes(r));
    return dueReturns;
  };

  const sendBatch = async (incarnation: string): Promise<void> => {
    const batch = pendingBatches.get(incarnation);
    pendingBatches.delete(incarnation);
    if (!batch) return;
    const sentAt = readClock();
    const draws = batch.draws.map(({ shard, epoch, draw }) => [
      shard,
      epoch,
      draw.workspace,
      draw.need,
      draw.want,
    ]);
    const message = { draws, returns: dequeueReturns(incarnation).map(toReturnMessage) };
    const reply = await peers.call(batch.address, 'rate.draw', message, drawTimeoutMs);
    const results = reply.isOk() ? (reply.value.value as (DrawReply | MovedReply)[]) : [];
    batch.draws.forEach((p, i) => {
      const result = results[i];
      if (result?.kind === 'moved' && result.entry) shards.applyEntry(p.shard, result.entry);
      const isAnswered = result !== undefined && result.kind !== 'moved';
      p.resolve(isAnswered ? { reply: result, epoch: p.epoch, sentAt } : undefined);
    });
  };

  const drawTokens = (workspace: string, need: number, want: number): Promise<DrawOutcome> => {
    const shard = getWorkspaceShard(workspace);
    const localHolder = shards.findLocal(shard);
    if (localHolder) {
      const reply = handleLocalDraw(
        shard,
        localHolder.epoch,
        { workspace, need, want: need },
        'self',
      );
      const outcome = reply && { reply, epoch: localHolder.epoch, sentAt: readClock() };
      return Promise.resolve(outcome);
    }
    const holder = shards.findHolder(shard);
    if (!holder) return Promise.resolve(undefined);
    const { incarnation } = holder;
    return new Promise((resolve) => {
      const batch: DrawBatch = pendingBatches.get(incarnation) ?? {
        draws: [],
        address: holder.peers,
      };
      if (batch.draws.length === 0) setImmediate(() => void sendBatch(incarnation));
      pendingBatches.set(incarnation, batch);
      batch.draws.push({ epoch: holder.epoch, shard, draw: { workspace, need, want }, resolve });
    });
  };

  const serveWaiters = (workspace: string, queue: WaitQueue): void => {
    while (queue.waiters.length > 0) {
      const [next] = queue.waiters;
      if (!next) return;
      const reservation = reserveTokens(consumer, workspace, next.tokens, readClock());
      if (!reservation) return;
      queue.waiters.shift();
      next.finish(ok(reservation));
    }
  };

  const refuseMatching = (
    queue: WaitQueue,
    isRefused: (waiter: Waiter) => boolean,
    makeRefusal: (waiter: Waiter) => Refusal,
  ): void => {
    const refused = queue.waiters.filter(isRefused);
    refused.forEach((w) => {
      queue.waiters.splice(queue.waiters.indexOf(w), 1);
      w.finish(err(makeRefusal(w)));
    });
  };

  /** Refuses waiters whose tokens cannot arrive in time. */
  const refuseLate = (workspace: string, queue: WaitQueue, newest?: Waiter): void => {
    const rate = findWorkspace(workspace)?.rate ?? 1;
    const now = readClock();
    const late = selectLateWaiters(
      queue.waiters,
      (tokens) => predictShortageWait(queue.shortage, tokens, rate, now),
      now,
      newest,
    );
    refuseMatching(
      queue,
      (w) => late.has(w),
      (w) => refuseRateExceeded('the workspace is over its rate', Math.ceil(late.get(w) ?? 0)),
    );
  };

  /** Refuses the waiters that may not wait longer for a holder; returns the retry delay. */
  const refuseWithoutHolder = (queue: WaitQueue): number => {
    queue.waiters.forEach((w) => {
      w.holderWasUnavailable = true;
    });
    const nextRetryAt = readClock() + noHolderRetryDelayMs;
    const message = 'the rate of the workspace cannot be checked now';
    refuseMatching(
      queue,
      (w) => w.deadlineWithoutHolder <= nextRetryAt,
      () => refuseRateUnknown(message, noHolderRetryAfterMs),
    );
    return noHolderRetryDelayMs;
  };

  /** Handles the outcome of a draw; returns the delay in milliseconds before the next one. */
  const handleDrawOutcome = (workspace: string, queue: WaitQueue, outcome: DrawOutcome): number => {
    if (!outcome) return refuseWithoutHolder(queue);
    const { reply, epoch, sentAt } = outcome;
    if (reply.kind === 'granted') {
      addGrant(consumer, workspace, { epoch, slot: reply.slot, tokens: reply.tokens }, sentAt);
      return 0;
    }
    if (reply.kind === 'never') {
      refuseMatching(
        queue,
        (w) => w === queue.waiters[0],
        () => refuseTooLarge('the request asks for more tokens than the burst of the workspace'),
      );
      return 0;
    }
    // The buckets of a new holder do not fill yet, so its shortage says nothing about the rate.
    if (reply.starting) return refuseWithoutHolder(queue);
    const localWaiting = queue.waiters.reduce((sum, w) => sum + w.tokens, 0);
    recordShortage(queue.shortage, reply.backlog, localWaiting, readClock());
    refuseLate(workspace, queue);
    return Math.min(reply.waitMs, maxDrawDelayMs);
  };

  const delayNextDraw = (queue: WaitQueue, ms: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      queue.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });

  const processQueue = async (workspace: string, queue: WaitQueue): Promise<void> => {
    if (queue.isDrawing) return;
    queue.isDrawing = true;
    while (queue.waiters.length > 0) {
      const now = readClock();
      const firstTokens = queue.waiters[0]?.tokens ?? 0;
      const available = countAvailable(consumer, workspace, now);
      const waitingTokens = queue.waiters.reduce((sum, w) => sum + w.tokens, 0);
      const need = Math.max(1, Math.ceil(firstTokens - available));
      const want = Math.ceil(
        waitingTokens - available + getExpectedDemand(consumer, workspace, now),
      );
      const outcome = await drawTokens(workspace, need, Math.max(need, want));
      const delayMs = handleDrawOutcome(workspace, queue, outcome);
      serveWaiters(workspace, queue);
      if (delayMs > 0 && queue.waiters.length > 0) await delayNextDraw(queue, delayMs);
    }
    queue.isDrawing = false;
  };

  const sendReturns = (): Promise<void> => {
    pendingReturns.push(...collectReturns(consumer, readClock()));
    const localReturns = pendingReturns.filter((r) =>
      shards.findLocal(getWorkspaceShard(r.workspace)),
    );
    applyReturns(localReturns);
    pendingReturns = pendingReturns.filter((r) => !localReturns.includes(r));
    const holders = new Map(
      pendingReturns.flatMap((r) => {
        const holder = shards.findHolder(getWorkspaceShard(r.workspace));
        return holder ? [[holder.incarnation, holder] as const] : [];
      }),
    );
    if (holders.size === 0) pendingReturns = [];
    holders.forEach((holder, incarnation) => {
      const dueReturns = dequeueReturns(incarnation).map(toReturnMessage);
      // Sent without a retry: a lost return loses tokens, but they are never returned twice.
      peers.notify(holder.peers, 'rate.draw', { draws: [], returns: dueReturns });
    });
    return Promise.resolve();
  };

  return {
    reserve: (workspace, tokens, deadline, signal) => {
      const { name } = workspace;
      if (tokens > workspace.burst)
        return Promise.resolve(
          err(refuseTooLarge('the request asks for more tokens than the burst of the workspace')),
        );
      const now = readClock();
      recordDemand(consumer, name, tokens, now);
      const queue = queues.get(name) ?? {
        waiters: [],
        isDrawing: false,
        shortage: makeShortage(),
        wake: () => {},
      };
      queues.set(name, queue);
      if (queue.waiters.length === 0) {
        const reservation = reserveTokens(consumer, name, tokens, now);
        if (reservation) return Promise.resolve(ok(reservation));
      }
      return new Promise((resolve) => {
        const deadlineWithoutHolder = Math.max(deadline, now + minHolderWaitMs);
        const waiter: Waiter = {
          tokens,
          deadline,
          deadlineWithoutHolder,
          holderWasUnavailable: false,
          finish: resolve,
        };
        // Ordered by deadline: urgent requests may wait for less time and so come first.
        const nextIndex = queue.waiters.findIndex((w) => w.deadline > deadline);
        queue.waiters.splice(nextIndex < 0 ? queue.waiters.length : nextIndex, 0, waiter);
        refuseLate(name, queue, waiter);
        // A request at the head must not wait for the delay set for the requests behind it.
        if (queue.waiters[0] === waiter) queue.wake();
        signal.addEventListener('abort', () => {
          const index = queue.waiters.indexOf(waiter);
          if (index < 0) return;
          queue.waiters.splice(index, 1);
          resolve(err(refuseRateExceeded('the caller has gone')));
        });
        void processQueue(name, queue);
      });
    },
    settle: (reservation, used) => settleReservation(consumer, reservation, used),
    methods: {
      'rate.draw': (params, from) => {
        const parsed = drawsSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('draws and returns expected');
        applyReturns(parsed.data.returns.map(fromReturnMessage));
        return Promise.resolve(
          parsed.data.draws.map(
            ([shard, epoch, workspace, need, want]) =>
              handleLocalDraw(shard, epoch, { workspace, need, want }, from.incarnation) ?? {
                kind: 'moved',
                entry: shards.readEntry(shard),
              },
          ),
        );
      },
    },
    start: (signal) => void repeatUntilStopped(returnPeriodMs, signal, sendReturns),
  };
};
