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

/** Pause before a draw is tried again when no holder could be asked. */
const noHolderPauseMs = 25;

/** Any request may wait so long for a holder, as while a shard changes hands. */
const noHolderWaitMs = 1_500;
const longestPauseMs = 250;

const noHolderRetryAfterMs = 2_000;

/** Admission by the rates of workspaces. */
export interface Rate {
  /**
   * Reserves tokens, waiting until `deadline` at the latest. A wait that cannot end in
   * time is refused at once.
   */
  readonly reserve: (
    workspace: Workspace,
    tokens: number,
    deadline: number,
    signal: AbortSignal,
  ) => Promise<Result<Reservation, Refusal>>;
  readonly settle: (reservation: Reservation, used: number) => void;
  readonly methods: Readonly<Record<string, PeerMethod>>;
  readonly start: (signal: AbortSignal) => void;
}

/** What the rate controller needs. */
export interface RateOptions {
  readonly shards: RateShards;
  readonly peers: PeerClient;
  readonly findWorkspace: (name: string) => Workspace | undefined;
}

interface Waiter extends RateWaiter {
  readonly finish: (result: Result<Reservation, Refusal>) => void;
}

interface Line {
  readonly waiters: Waiter[];
  drawing: boolean;
  readonly shortage: Shortage;
  /** Ends the pause before the next draw. */
  wake: () => void;
}

type DrawOutcome = { answer: DrawReply; epoch: number; sentAt: number } | undefined;

interface PendingDraw {
  readonly epoch: number;
  readonly shard: number;
  readonly draw: { workspace: string; need: number; want: number };
  readonly resolve: (outcome: DrawOutcome) => void;
}

/** Answer of a VM that does not hold the shard, with what it knows of it. */
interface MovedAnswer {
  readonly kind: 'moved';
  readonly entry: StoreEntry | undefined;
}

interface DrawBatch {
  readonly draws: PendingDraw[];
  readonly to: PeerEndpoint;
}

const drawsSchema = z.object({
  draws: z.array(z.tuple([z.number(), z.number(), z.string(), z.number(), z.number()])),
  /** Workspace, epoch, slot, settled tokens and those of them that were not used. */
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

/** Draws grants from holders, serves waiting requests and answers other VMs' draws. */
export const makeRate = (opts: RateOptions): Rate => {
  const { shards, peers, findWorkspace } = opts;
  const taker = makeRateConsumer();
  const lines = new Map<string, Line>();
  const pending = new Map<string, DrawBatch>();
  let returns: EpochReturn[] = [];

  const answerOwn = (
    shard: number,
    epoch: number,
    draw: PendingDraw['draw'],
    asker: string,
  ): DrawReply | undefined => {
    const holder = shards.findOwn(shard);
    const workspace = findWorkspace(draw.workspace);
    if (!holder || holder.epoch !== epoch || !workspace) return undefined;
    const answer = handleDraw(holder, { ...draw, requester: asker }, workspace, readClock());
    if (answer.kind === 'short') shards.recallDeposit(shard, draw.workspace);
    return answer;
  };

  const takeReturns = (back: readonly EpochReturn[]): void => {
    const now = readClock();
    back.forEach((r) => {
      const holder = shards.findOwn(getWorkspaceShard(r.workspace));
      if (holder) acceptReturn(holder, r.epoch, r, now);
    });
  };

  const takeReturnsFor = (incarnation: string): EpochReturn[] => {
    const due = returns.filter(
      (r) => shards.findHolder(getWorkspaceShard(r.workspace))?.incarnation === incarnation,
    );
    returns = returns.filter((r) => !due.includes(r));
    return due;
  };

  const sendBatch = async (incarnation: string): Promise<void> => {
    const batch = pending.get(incarnation);
    pending.delete(incarnation);
    if (!batch) return;
    const sentAt = readClock();
    const draws = batch.draws.map(({ shard, epoch, draw }) => [
      shard,
      epoch,
      draw.workspace,
      draw.need,
      draw.want,
    ]);
    const message = { draws, returns: takeReturnsFor(incarnation).map(toReturnMessage) };
    const answer = await peers.call(batch.to, 'rate.draw', message, drawTimeoutMs);
    const answers = answer.isOk() ? (answer.value.value as (DrawReply | MovedAnswer)[]) : [];
    batch.draws.forEach((p, i) => {
      const given = answers[i];
      if (given?.kind === 'moved' && given.entry) shards.learnEntry(p.shard, given.entry);
      const isDrawn = given !== undefined && given.kind !== 'moved';
      p.resolve(isDrawn ? { answer: given, epoch: p.epoch, sentAt } : undefined);
    });
  };

  const draw = (workspace: string, need: number, want: number): Promise<DrawOutcome> => {
    const shard = getWorkspaceShard(workspace);
    const own = shards.findOwn(shard);
    if (own) {
      const answer = answerOwn(shard, own.epoch, { workspace, need, want: need }, 'self');
      const outcome = answer && { answer, epoch: own.epoch, sentAt: readClock() };
      return Promise.resolve(outcome);
    }
    const holder = shards.findHolder(shard);
    if (!holder) return Promise.resolve(undefined);
    const { incarnation } = holder;
    return new Promise((resolve) => {
      const batch: DrawBatch = pending.get(incarnation) ?? { draws: [], to: holder.peers };
      if (batch.draws.length === 0) setImmediate(() => void sendBatch(incarnation));
      pending.set(incarnation, batch);
      batch.draws.push({ epoch: holder.epoch, shard, draw: { workspace, need, want }, resolve });
    });
  };

  const serveWaiters = (workspace: string, line: Line): void => {
    while (line.waiters.length > 0) {
      const [next] = line.waiters;
      if (!next) return;
      const reservation = reserveTokens(taker, workspace, next.tokens, readClock());
      if (!reservation) return;
      line.waiters.shift();
      next.finish(ok(reservation));
    }
  };

  const refuseWhere = (
    line: Line,
    test: (waiter: Waiter) => boolean,
    refusal: (waiter: Waiter) => Refusal,
  ): void => {
    const refused = line.waiters.filter(test);
    refused.forEach((w) => {
      line.waiters.splice(line.waiters.indexOf(w), 1);
      w.finish(err(refusal(w)));
    });
  };

  /** Refuses waiters whose tokens cannot come in time. */
  const refuseLate = (workspace: string, line: Line, newest?: Waiter): void => {
    const rate = findWorkspace(workspace)?.rate ?? 1;
    const now = readClock();
    const late = selectLateWaiters(
      line.waiters,
      (tokens) => predictShortageWait(line.shortage, tokens, rate, now),
      now,
      newest,
    );
    refuseWhere(
      line,
      (w) => late.has(w),
      (w) => refuseRateExceeded('the workspace is over its rate', Math.ceil(late.get(w) ?? 0)),
    );
  };

  /** Refuses those that have waited long enough for a holder. */
  const refuseWithoutHolder = (line: Line): number => {
    line.waiters.forEach((w) => {
      w.holderWasUnavailable = true;
    });
    const late = readClock() + noHolderPauseMs;
    const message = 'the rate of the workspace cannot be checked now';
    refuseWhere(
      line,
      (w) => w.deadlineWithoutHolder <= late,
      () => refuseRateUnknown(message, noHolderRetryAfterMs),
    );
    return noHolderPauseMs;
  };

  /** Handles the answer to a draw; returns how long to pause before the next. */
  const handleOutcome = (workspace: string, line: Line, outcome: DrawOutcome): number => {
    if (!outcome) return refuseWithoutHolder(line);
    const { answer, epoch, sentAt } = outcome;
    if (answer.kind === 'granted') {
      addGrant(taker, workspace, { epoch, slot: answer.slot, tokens: answer.tokens }, sentAt);
      return 0;
    }
    if (answer.kind === 'never') {
      refuseWhere(
        line,
        (w) => w === line.waiters[0],
        () => refuseTooLarge('the request asks for more tokens than the burst of the workspace'),
      );
      return 0;
    }
    // A new holder that has nothing yet tells nothing about the rate.
    if (answer.starting) return refuseWithoutHolder(line);
    const ownWaiting = line.waiters.reduce((sum, w) => sum + w.tokens, 0);
    recordShortage(line.shortage, answer.backlog, ownWaiting, readClock());
    refuseLate(workspace, line);
    return Math.min(answer.waitMs, longestPauseMs);
  };

  const pauseLine = (line: Line, ms: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      line.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });

  const runLine = async (workspace: string, line: Line): Promise<void> => {
    if (line.drawing) return;
    line.drawing = true;
    while (line.waiters.length > 0) {
      const now = readClock();
      const first = line.waiters[0]?.tokens ?? 0;
      const have = countAvailable(taker, workspace, now);
      const waiting = line.waiters.reduce((sum, w) => sum + w.tokens, 0);
      const need = Math.max(1, Math.ceil(first - have));
      const want = Math.ceil(waiting - have + getExpectedDemand(taker, workspace, now));
      const outcome = await draw(workspace, need, Math.max(need, want));
      const pauseMs = handleOutcome(workspace, line, outcome);
      serveWaiters(workspace, line);
      if (pauseMs > 0 && line.waiters.length > 0) await pauseLine(line, pauseMs);
    }
    line.drawing = false;
  };

  const sendReturns = (): Promise<void> => {
    returns.push(...collectReturns(taker, readClock()));
    const mine = returns.filter((r) => shards.findOwn(getWorkspaceShard(r.workspace)));
    takeReturns(mine);
    returns = returns.filter((r) => !mine.includes(r));
    const holders = new Map(
      returns.flatMap((r) => {
        const holder = shards.findHolder(getWorkspaceShard(r.workspace));
        return holder ? [[holder.incarnation, holder] as const] : [];
      }),
    );
    if (holders.size === 0) returns = [];
    holders.forEach((holder, incarnation) => {
      const due = takeReturnsFor(incarnation).map(toReturnMessage);
      // A lost return loses tokens and never doubles them.
      peers.notify(holder.peers, 'rate.draw', { draws: [], returns: due });
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
      recordDemand(taker, name, tokens, now);
      const line = lines.get(name) ?? {
        waiters: [],
        drawing: false,
        shortage: makeShortage(),
        wake: () => {},
      };
      lines.set(name, line);
      if (line.waiters.length === 0) {
        const reservation = reserveTokens(taker, name, tokens, now);
        if (reservation) return Promise.resolve(ok(reservation));
      }
      return new Promise((resolve) => {
        const holderDeadline = Math.max(deadline, now + noHolderWaitMs);
        const waiter: Waiter = {
          tokens,
          deadline,
          deadlineWithoutHolder: holderDeadline,
          holderWasUnavailable: false,
          finish: resolve,
        };
        // Urgent requests may wait less and so come first.
        const behind = line.waiters.findIndex((w) => w.deadline > deadline);
        line.waiters.splice(behind < 0 ? line.waiters.length : behind, 0, waiter);
        refuseLate(name, line, waiter);
        // A request that goes first must not wait out the pause of those behind it.
        if (line.waiters[0] === waiter) line.wake();
        signal.addEventListener('abort', () => {
          const at = line.waiters.indexOf(waiter);
          if (at < 0) return;
          line.waiters.splice(at, 1);
          resolve(err(refuseRateExceeded('the caller has gone')));
        });
        void runLine(name, line);
      });
    },
    settle: (reservation, used) => settleReservation(taker, reservation, used),
    methods: {
      'rate.draw': (params, from) => {
        const parsed = drawsSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('draws and returns expected');
        takeReturns(parsed.data.returns.map(fromReturnMessage));
        return Promise.resolve(
          parsed.data.draws.map(
            ([shard, epoch, workspace, need, want]) =>
              answerOwn(shard, epoch, { workspace, need, want }, from.incarnation) ?? {
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
