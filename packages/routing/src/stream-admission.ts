import { listBoundRows } from './bound-streams.js';
import type { StreamQueue, WaitingStream } from './stream-queue.js';

/**
 * Age after which the waiting streams of another VM no longer count, and interval at which a VM repeats what waits
 * there. A VM in a data centre that is not told of the placement would leave memory unused for that time.
 */
const maxWaitingAgeMs = 400;
export const waitingRepeatMs = 300;

/** Time constant of the tokens that a workspace was sent recently, about the length of a stream. */
const sentWindowMs = 4_000;

/** Time constant of the arrivals of a priority; a VM of a large fleet sees one in some seconds. */
const arrivalWindowMs = 10_000;

/** Share of the memory that is freed which each waiting priority gets at least. */
const minShare = 0.1;

/** Time of a burst in which free memory must not be used up if nothing is to be held in reserve. */
const burstStartMs = 1_000;

/** Time for which a refused caller is expected after the stated time, which is spread over 0.3 of itself. */
const returnSlackMs = 2_000;
const returnSpread = 0.3;

/** Minimum time after which a refused caller may come back. */
const minRetryDelayMs = 300;

/** Prediction for a service without running streams, whose end would free memory. */
const idleRetryDelayMs = 1_000;

/** Streams of a service that don't fit after which no later one is tried. */
const maxSkippedStreams = 4;

/** Step in which the sizes of streams are rounded up, so that streams of about a size share a measurement. */
const memoryStepTokens = 1_024;

/** Time for which a measurement is used again; messages between VMs are collected for about as long. */
const momentMs = 10;

/** Time constants after which what a VM reported has lost its weight. */
const forgetWindows = 5;

/** Separates the fields of a row's key; not part of names. */
const separator = '\t';

/** Who a stream is from, as far as its order depends on it. */
export type StreamRank = Pick<WaitingStream, 'service' | 'priority' | 'workspace'>;

/** Memory of the decode engines of a service, in tokens. */
export interface ServiceMemory {
  readonly usedTokens: number;
  /** Free memory of the engines that have room for a stream of a given size. */
  readonly freeTokens: number;
  /** Average time for which a stream holds its memory. */
  readonly streamMs: number;
  /** Time in which one engine frees the memory of one stream. */
  readonly engineFreeMs: number;
}

/** What the admission asks about the fleet. */
export interface AdmissionFacts {
  /** `tokens` is the memory that a stream needs; only engines of the version count, if one is given. */
  readonly getMemory: (
    service: string,
    tokens: number,
    now: number,
    softwareVersion: string | undefined,
  ) => ServiceMemory;
  readonly countVms: () => number;
}

/** The queue of a VM with one order over the fleet. */
export interface StreamAdmission extends StreamQueue {
  /**
   * Records the arrival of a stream.
   *
   * @returns the time at which its caller was refused before, if it is expected back
   */
  readonly recordArrival: (rank: StreamRank, tokens: number, now: number) => number | undefined;
  /** Records that memory was taken for a stream. */
  readonly recordSent: (rank: StreamRank, tokens: number, now: number) => void;
  /** Records a refusal, after which the caller may return; `refusedAt` is that of an earlier refusal. */
  readonly recordRefusal: (
    rank: StreamRank,
    retryAfterMs: number,
    now: number,
    refusedAt?: number,
  ) => void;
  /** Records what is waiting at another VM; the rows replace those before. */
  readonly recordPeer: (
    incarnation: string,
    rows: Readonly<Record<string, number>>,
    now: number,
  ) => void;
  /**
   * Lists what is waiting here, by service, priority and workspace, and the tokens that the workspaces
   * which wait at any VM were sent here.
   */
  readonly listRows: (now: number) => Record<string, number>;
  /** Predicts after how many milliseconds the share of a stream has room. */
  readonly predictWaitMs: (
    rank: StreamRank,
    tokens: number,
    now: number,
    softwareVersion?: string,
  ) => number;
  /** Whether memory is left for a stream after those that come before it. */
  readonly mayPlace: (stream: WaitingStream, now: number) => boolean;
}

/** A sum whose parts lose their weight with time. */
interface DecayingSum {
  readonly tokens: number;
  readonly at: number;
}

const decay = (sum: DecayingSum | undefined, windowMs: number, now: number): number =>
  sum ? sum.tokens * Math.exp((sum.at - now) / windowMs) : 0;

/** A caller that was refused and may come back. */
interface ReturnTicket {
  readonly refusedAt: number;
  readonly from: number;
  readonly until: number;
}

/** What waits at other VMs for one rank. */
interface WaitingRank extends StreamRank {
  readonly tokens: number;
  /** Tokens that the workspace was sent recently. */
  readonly sentTokens: number;
}

interface PeerRows {
  readonly waiting: readonly (StreamRank & { readonly key: string; readonly tokens: number })[];
  readonly sent: ReadonlyMap<string, number>;
  readonly receivedAt: number;
}

const makeWorkspaceKey = ({ service, workspace }: Omit<StreamRank, 'priority'>): string =>
  [service, '', workspace].join(separator);

const makeRankKey = ({ service, priority, workspace }: StreamRank): string =>
  [service, priority, workspace].join(separator);

const isBound = ({ softwareVersion }: WaitingStream): boolean => softwareVersion !== undefined;

/**
 * Creates the queue of a VM in which streams of all VMs have one order: by priority, then by the tokens that their
 * workspace was sent recently, then callers that return, then by arrival.
 *
 * Load pattern: a burst of one class, or of one workspace at several times its usual load, fills the memory
 * of all engines. Each VM sees a stream in some seconds, so that only what waits at other VMs tells it to
 * leave memory that is freed to a more urgent stream.
 *
 * @example
 * const admission = makeStreamAdmission(facts);
 * admission.predictWaitMs({ service: 'llm', priority: 0, workspace: 'forge' }, 3_300, now);
 */
export const makeStreamAdmission = (facts: AdmissionFacts): StreamAdmission => {
  let streams: WaitingStream[] = [];
  const peers = new Map<string, PeerRows>();
  const sentHere = new Map<string, DecayingSum>();
  /** The same with what the other VMs report. */
  const sentAnywhere = new Map<string, DecayingSum>();
  /** Tokens that arrived at this VM, by service and priority. */
  const arrivals = new Map<string, Map<number, DecayingSum>>();
  const tickets = new Map<string, ReturnTicket[]>();
  /** Memory that a priority may take though more urgent streams wait, by service and priority. */
  const credits = new Map<string, number>();
  let creditedAt = 0;
  /** Values computed for one moment: memory by service, version and size, and what waits at other VMs by service. */
  const memoryAtMoment = new Map<string, ServiceMemory>();
  const peerRanksAtMoment = new Map<string, readonly WaitingRank[]>();
  let moment = 0;

  const forgetMoment = (): void => {
    memoryAtMoment.clear();
    peerRanksAtMoment.clear();
  };
  const beginMoment = (now: number): void => {
    if (now >= moment && now < moment + momentMs) return;
    forgetMoment();
    moment = now;
  };

  const getMemory = (
    service: string,
    tokens: number,
    now: number,
    softwareVersion?: string,
  ): ServiceMemory => {
    beginMoment(now);
    const sizedTokens = Math.ceil(tokens / memoryStepTokens) * memoryStepTokens;
    const key = [service, softwareVersion, sizedTokens].join(separator);
    const memory =
      memoryAtMoment.get(key) ?? facts.getMemory(service, sizedTokens, now, softwareVersion);
    memoryAtMoment.set(key, memory);
    return memory;
  };

  const addTo = (
    sums: Map<string, DecayingSum>,
    key: string,
    tokens: number,
    windowMs: number,
    now: number,
  ): void => {
    sums.set(key, { tokens: decay(sums.get(key), windowMs, now) + tokens, at: now });
  };

  /** Adds up what waits at other VMs, by rank. */
  const listPeerRanks = (service: string, now: number): readonly WaitingRank[] => {
    beginMoment(now);
    const known = peerRanksAtMoment.get(service);
    if (known) return known;
    const ranks = new Map<string, { rank: StreamRank; tokens: number }>();
    peers.forEach(({ waiting, receivedAt }) => {
      if (now - receivedAt > maxWaitingAgeMs) return;
      waiting.forEach((row) => {
        if (row.service !== service) return;
        const sum = ranks.get(row.key) ?? { rank: row, tokens: 0 };
        sum.tokens += row.tokens;
        ranks.set(row.key, sum);
      });
    });
    const list = [...ranks.values()].map(({ rank, tokens }) => ({
      ...rank,
      tokens,
      sentTokens: getSentTokens(rank, now),
    }));
    peerRanksAtMoment.set(service, list);
    return list;
  };

  /** Tokens that a workspace was sent recently, as far as this VM knows. */
  const getSentTokens = (rank: StreamRank, now: number): number =>
    decay(sentAnywhere.get(makeWorkspaceKey(rank)), sentWindowMs, now);

  /** Tokens per millisecond that arrive at the fleet for the priorities that `counts` accepts. */
  const getArrivalRate = (
    service: string,
    now: number,
    counts: (priority: number) => boolean,
  ): number => {
    let tokens = 0;
    arrivals.get(service)?.forEach((sum, priority) => {
      if (counts(priority)) tokens += decay(sum, arrivalWindowMs, now);
    });
    return (tokens * facts.countVms()) / arrivalWindowMs;
  };

  /** Memory that streams of a priority leave free for more urgent ones that arrive. */
  const getReserve = (
    rank: StreamRank,
    tokens: number,
    memory: ServiceMemory,
    now: number,
  ): number => {
    const urgentRate = getArrivalRate(rank.service, now, (priority) => priority < rank.priority);
    if (urgentRate === 0 || memory.usedTokens === 0) return 0;
    const reserve = urgentRate * memory.engineFreeMs;
    const freedRate = memory.usedTokens / memory.streamMs;
    const netRate = Math.max(0, getArrivalRate(rank.service, now, () => true) - freedRate);
    const left = memory.freeTokens - tokens - netRate * burstStartMs;
    return left < reserve ? reserve : 0;
  };

  const sort = (now: number): void => {
    const sentTokens = new Map<string, number>();
    streams.forEach((stream) => {
      const key = makeWorkspaceKey(stream);
      if (!sentTokens.has(key)) sentTokens.set(key, getSentTokens(stream, now));
    });
    const getSent = (stream: WaitingStream): number =>
      sentTokens.get(makeWorkspaceKey(stream)) ?? 0;
    streams.sort(
      (a, b) =>
        a.priority - b.priority ||
        // Fewer engines can take streams that have begun.
        Number(isBound(b)) - Number(isBound(a)) ||
        (a.workspace === b.workspace ? 0 : getSent(a) - getSent(b)) ||
        (a.refusedAt ?? Number.POSITIVE_INFINITY) - (b.refusedAt ?? Number.POSITIVE_INFINITY) ||
        a.arrivedAt - b.arrivedAt,
    );
  };

  const remove = (id: string): void => {
    streams = streams.filter((stream) => stream.id !== id);
  };

  /** Gives each priority that waits here its share of the memory that was freed since the last call. */
  const addCredits = (now: number): void => {
    const elapsedMs = Math.max(0, now - creditedAt);
    creditedAt = now;
    const waitingHere = new Map<string, { first: WaitingStream; tokens: number }>();
    streams.forEach((stream) => {
      const key = [stream.service, stream.priority].join(separator);
      const waiting = waitingHere.get(key) ?? { first: stream, tokens: 0 };
      waiting.tokens += stream.neededTokens;
      waitingHere.set(key, waiting);
    });
    credits.forEach((_, key) => {
      if (!waitingHere.has(key)) credits.delete(key);
    });
    waitingHere.forEach(({ first, tokens }, key) => {
      const { service, priority } = first;
      const memory = getMemory(service, first.neededTokens, now);
      const waitingElsewhere = listPeerRanks(service, now)
        .filter((row) => row.priority === priority)
        .reduce((sum, row) => sum + row.tokens, 0);
      const freed = (memory.usedTokens / memory.streamMs) * elapsedMs;
      // A priority that has just begun to wait had no share of the time before.
      const added = credits.has(key)
        ? (minShare * freed * tokens) / (tokens + waitingElsewhere)
        : 0;
      credits.set(key, Math.min(2 * first.neededTokens, (credits.get(key) ?? 0) + added));
    });
  };

  /** Tokens that wait at this VM or another one, before a rank and of the same rank. */
  const countWaiting = (rank: StreamRank, now: number): { ahead: number; same: number } => {
    let ahead = 0;
    let same = 0;
    const sentTokens = getSentTokens(rank, now);
    const add = (other: StreamRank, tokens: number, otherSentTokens: () => number): void => {
      if (other.priority > rank.priority) return;
      if (other.priority < rank.priority) ahead += tokens;
      else if (other.workspace === rank.workspace) same += tokens;
      else if (otherSentTokens() < sentTokens) ahead += tokens;
    };
    listPeerRanks(rank.service, now).forEach((row) => add(row, row.tokens, () => row.sentTokens));
    streams.forEach((stream) => {
      if (stream.service === rank.service)
        add(stream, stream.neededTokens, () => getSentTokens(stream, now));
    });
    return { ahead, same };
  };

  const mayPlace = (stream: WaitingStream, now: number): boolean => {
    // Streams that have begun wait for few engines, which others leave to them as they are placed first.
    if (isBound(stream)) return true;
    const memory = getMemory(stream.service, stream.neededTokens, now);
    const left =
      memory.freeTokens -
      countWaiting(stream, now).ahead -
      getReserve(stream, stream.neededTokens, memory, now);
    if (left >= stream.neededTokens) return true;
    const credit = credits.get([stream.service, stream.priority].join(separator)) ?? 0;
    return credit >= stream.neededTokens;
  };

  const predictWaitMs: StreamAdmission['predictWaitMs'] = (rank, tokens, now, softwareVersion) => {
    const memory = getMemory(rank.service, tokens, now, softwareVersion);
    // Streams that have begun are placed before the others of their priority.
    const waiting = softwareVersion === undefined ? countWaiting(rank, now) : { ahead: 0, same: 0 };
    const ahead = waiting.ahead + waiting.same;
    const needed = tokens + ahead + getReserve(rank, tokens, memory, now);
    if (needed <= memory.freeTokens / 2) return 0;
    if (memory.usedTokens === 0) return idleRetryDelayMs;
    const freedRate = memory.usedTokens / memory.streamMs;
    const urgentRate = getArrivalRate(rank.service, now, (priority) => priority < rank.priority);
    const share = Math.max(minShare, 1 - urgentRate / freedRate);
    return needed / (freedRate * share);
  };

  const refuseStream = (stream: WaitingStream, reason: string, now: number): void => {
    remove(stream.id);
    const waitMs = predictWaitMs(stream, stream.neededTokens, now, stream.softwareVersion);
    stream.refuse(Math.max(minRetryDelayMs, waitMs), reason);
  };

  /** Refuses streams whose place a more urgent one that came later has taken. */
  const refuseDisplaced = (now: number): void => {
    [...streams].reverse().forEach((stream) => {
      if (isBound(stream)) return;
      const isOvertaken = streams.some(
        (other) =>
          other.service === stream.service &&
          other.priority < stream.priority &&
          other.arrivedAt > stream.arrivedAt,
      );
      if (!isOvertaken) return;
      // Its own tokens are among those of its rank that wait.
      const waitMs = predictWaitMs(stream, 0, now);
      if (now + waitMs > stream.waitUntil)
        refuseStream(stream, 'displaced by a more urgent stream', now);
    });
  };

  return {
    push: (stream) => {
      streams.push(stream);
    },
    remove,
    process: (now) => {
      streams
        .filter(({ waitUntil }) => waitUntil <= now)
        .forEach((stream) => refuseStream(stream, 'no memory in time', now));
      addCredits(now);
      sort(now);
      const skipped = new Map<string, number>();
      [...streams].forEach((stream) => {
        const group = `${stream.service} ${stream.softwareVersion ?? ''}`;
        const skippedOfGroup = skipped.get(group) ?? 0;
        if (skippedOfGroup >= maxSkippedStreams) return;
        // The memory of a stream that is placed is in use at once, so that the next one sees what is left.
        if (mayPlace(stream, now) && stream.tryPlace(now)) {
          remove(stream.id);
          memoryAtMoment.clear();
          const key = [stream.service, stream.priority].join(separator);
          const credit = credits.get(key);
          if (credit !== undefined) credits.set(key, Math.max(0, credit - stream.neededTokens));
        } else skipped.set(group, skippedOfGroup + 1);
      });
      refuseDisplaced(now);
    },
    countWaitingTokens: (service) =>
      streams.reduce(
        (sum, stream) => (stream.service === service ? sum + stream.neededTokens : sum),
        0,
      ),
    listBoundRows: () => listBoundRows(streams),
    size: () => streams.length,
    recordArrival: (rank, tokens, now) => {
      const byPriority = arrivals.get(rank.service) ?? new Map<number, DecayingSum>();
      arrivals.set(rank.service, byPriority);
      byPriority.set(rank.priority, {
        tokens: decay(byPriority.get(rank.priority), arrivalWindowMs, now) + tokens,
        at: now,
      });
      const key = makeRankKey(rank);
      const valid = (tickets.get(key) ?? []).filter(({ until }) => until >= now);
      const index = valid.findIndex(({ from }) => from <= now);
      const [claimed] = index >= 0 ? valid.splice(index, 1) : [];
      if (valid.length > 0) tickets.set(key, valid);
      else tickets.delete(key);
      return claimed?.refusedAt;
    },
    recordSent: (rank, tokens, now) => {
      addTo(sentHere, makeWorkspaceKey(rank), tokens, sentWindowMs, now);
      addTo(sentAnywhere, makeWorkspaceKey(rank), tokens, sentWindowMs, now);
    },
    recordRefusal: (rank, retryAfterMs, now, refusedAt) => {
      const key = makeRankKey(rank);
      const valid = (tickets.get(key) ?? []).filter(({ until }) => until >= now);
      valid.push({
        refusedAt: refusedAt ?? now,
        from: now + retryAfterMs,
        until: now + retryAfterMs * (1 + returnSpread) + returnSlackMs,
      });
      valid.sort((a, b) => a.refusedAt - b.refusedAt);
      tickets.set(key, valid);
    },
    recordPeer: (incarnation, rows, now) => {
      const waiting: PeerRows['waiting'][number][] = [];
      const sent = new Map<string, number>();
      Object.entries(rows).forEach(([key, tokens]) => {
        const [service = '', priority, workspace] = key.split(separator);
        if (priority === undefined || workspace === undefined) return;
        if (priority === '') sent.set(key, tokens);
        else if (Number.isFinite(Number(priority)))
          waiting.push({ key, service, priority: Number(priority), workspace, tokens });
      });
      const before = peers.get(incarnation);
      before?.sent.forEach((tokens, key) =>
        addTo(
          sentAnywhere,
          key,
          -decay({ tokens, at: before.receivedAt }, sentWindowMs, now),
          sentWindowMs,
          now,
        ),
      );
      sent.forEach((tokens, key) => addTo(sentAnywhere, key, tokens, sentWindowMs, now));
      if (waiting.length === 0 && sent.size === 0) peers.delete(incarnation);
      else peers.set(incarnation, { waiting, sent, receivedAt: now });
    },
    listRows: (now) => {
      const rows: Record<string, number> = {};
      const workspaces = new Set<string>();
      streams.forEach((stream) => {
        const key = makeRankKey(stream);
        rows[key] = (rows[key] ?? 0) + stream.neededTokens;
        workspaces.add(makeWorkspaceKey(stream));
      });
      peers.forEach(({ waiting, receivedAt }, incarnation) => {
        if (now - receivedAt > forgetWindows * sentWindowMs) peers.delete(incarnation);
        if (now - receivedAt <= maxWaitingAgeMs)
          waiting.forEach((row) => workspaces.add(makeWorkspaceKey(row)));
      });
      workspaces.forEach((key) => {
        const tokens = Math.round(decay(sentHere.get(key), sentWindowMs, now));
        if (tokens > 0) rows[key] = tokens;
      });
      [sentHere, sentAnywhere].forEach((sums) =>
        sums.forEach((sum, key) => {
          if (decay(sum, sentWindowMs, now) < 1) sums.delete(key);
        }),
      );
      return rows;
    },
    predictWaitMs,
    mayPlace,
  };
};

/** Weight of the priority of a route beside that of a workspace, which goes first. */
const routePriorityWeight = 0.1;

/** Levels of route priorities that metrics tell apart within one priority of a workspace. */
const routeLevels = 3;

/**
 * Combines the priorities of a workspace and of a route; 0 is the most urgent. That of the workspace goes
 * first, that of the route decides among its requests.
 *
 * @example
 * combinePriorities(1, 0) < combinePriorities(1, 2); // true
 */
export const combinePriorities = (workspace: number | undefined, route: number): number =>
  (workspace ?? route) + routePriorityWeight * Math.min(9, route);

/**
 * Level of a stream's priority in metrics: from 0, the most urgent, to 9.
 *
 * @example
 * toPriorityLevel(1, 2); // 5
 */
export const toPriorityLevel = (workspace: number | undefined, route: number): number => {
  const level = (workspace ?? route) * routeLevels + Math.min(routeLevels - 1, route);
  return Math.min(9, Math.max(0, Math.round(level)));
};
