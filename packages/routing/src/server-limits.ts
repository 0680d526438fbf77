import type { BackendServer, ServiceInfo } from '@hemlocksill/types/routing.js';
import { makeFleetQuota, type FleetQuota, type QuotaLimit } from './fleet-quota.js';
import { getInstanceKey } from './server-directory.js';
import { chooseStatement, type LimitStatement } from './stated-limits.js';

/** Window of the account of a limited server, in milliseconds. */
const windowMs = 4_000;

/** Time in which unused requests are saved up for a burst. */
const burstS = 0.25;

/**
 * Rate at which a server gets requests that names a lower limit: one that gets none could never say
 * that it needs its limit no longer.
 */
const minRequestsPerS = 0.2;

/** Time after which a server that is not listed, or a limit that has ended, is forgotten. */
const forgetAfterMs = 60_000;

/** Time for which the room for a request that will be sent is kept. */
const maxHoldMs = 30_000;

/** Error of the times of a statement that another VM passes on, in milliseconds. */
const peerTimeErrorMs = 20;

/** Time for which the servers of a data centre that is taken back are ramped up, without a time of the service. */
const defaultColdStartMs = 3_000;

/** Share of its slots that a server which is ramped up gets per second, without a figure of the service. */
const rampSlotsPerS = 0.5;

/**
 * Share of the difference between what a cold server can handle and what it can bear that is used for more turns; the
 * rest is used to keep turns longer. A turn without a request is lost, so there are more than can be handled.
 */
const extraTurnShare = 0.2;

/**
 * Requests in a second that turns leave unused: a second also touches the turn that began before it, and the VMs
 * receive an entry some milliseconds apart.
 */
const turnMargin = 2;

/** Name of the only account of a server's quota. */
const accountName = 'requests';

/**
 * What a VM knows of a limited server, for other VMs: instance, limit, ages of the call and the response
 * that named it, requests sent by this VM, age of its account, and the level and the sum of the window.
 */
export type LimitRow = readonly [
  instance: string,
  requestsPerS: number | null,
  sentAgeMs: number,
  receivedAgeMs: number,
  sentTotal: number,
  accountAgeMs: number,
  level: number | null,
  windowSum: number,
];

/** Place of a VM in the order of all VMs, in which they take turns at cold servers. */
export interface Turn {
  readonly rank: number;
  readonly vms: number;
}

/** What the load of cold servers depends on. */
export interface ColdRules {
  readonly findService: (
    service: string,
  ) => Pick<ServiceInfo, 'coldStartMs' | 'coldPerS'> | undefined;
  /** Factor and number of requests by which any second may exceed what a cold server can handle. */
  readonly overage: number;
  readonly slack: number;
  readonly getTurn: () => Turn;
}

/** Rules without services that have cold servers. */
const noColdRules: ColdRules = {
  findService: () => undefined,
  overage: 1,
  slack: 0,
  getTurn: () => ({ rank: 0, vms: 1 }),
};

/** Limits that backend servers have named on the requests from all VMs together. */
export interface ServerLimits {
  /**
   * Records the limit in a response, or that it names none; returns whether the limit changed.
   *
   * @param latencyMs - milliseconds from the call to its response
   */
  readonly recordResponse: (
    server: BackendServer,
    requestsPerS: number | undefined,
    latencyMs: number,
    now: number,
  ) => boolean;
  /**
   * Charges a request that is sent, unless its room was held before; returns whether other VMs have to
   * be told.
   */
  readonly recordSend: (server: BackendServer, request: string | undefined, now: number) => boolean;
  /** Charges a request that will be sent soon; returns whether other VMs have to be told. */
  readonly hold: (server: BackendServer, request: string, now: number) => boolean;
  /**
   * Records the entry of a server, which may say that it is cold; returns whether it counts as cold, or
   * whether its figure can't be read.
   */
  readonly recordEntry: (server: BackendServer, now: number) => 'warm' | 'cold' | 'unreadable';
  /** Ramps up a server whose data centre is taken back, like a cold one. */
  readonly recordReturn: (server: BackendServer, now: number) => void;
  readonly isCold: (server: BackendServer, now: number) => boolean;
  readonly countCold: (now: number) => number;
  /** Time until a server may get another request, in milliseconds. */
  readonly getWaitMs: (server: BackendServer, now: number) => number;
  /** Requests per second that a server gets at most, by the limit that it names or because it is cold. */
  readonly getLimit: (server: BackendServer, now: number) => number | undefined;
  /** The same; infinite if there is no limit. */
  readonly getRate: (server: BackendServer, now: number) => number;
  readonly countLimited: () => number;
  /** Returns the rows of all servers, or of those that changed since the last call. */
  readonly listRows: (which: 'all' | 'changed', now: number) => LimitRow[];
  /**
   * Records the rows of a peer; returns those whose limit is new here.
   *
   * @param incarnation - identifies one process run of the peer
   * @param uptimeMs - milliseconds since this process started
   */
  readonly recordPeer: (
    incarnation: string,
    rows: readonly LimitRow[],
    uptimeMs: number,
    now: number,
  ) => LimitRow[];
  /** Sets the share of the VMs whose messages this VM receives; only this share of a limit is used. */
  readonly setReachableShare: (share: number) => void;
  /** Forgets servers that are not listed any more and limits that have ended. */
  readonly prune: (listed: readonly BackendServer[], now: number) => void;
}

/** A time for which a server counts as cold, and why; its length and rate follow from the service. */
interface ColdSpell {
  readonly cause: 'entry' | 'unreadable' | 'returned';
  readonly server: BackendServer;
  readonly since: number;
}

/** The cause that applies to a cold server, of several the one with the lowest rate. */
interface ActiveSpell {
  readonly since: number;
  readonly requestsPerS: number;
}

/** State of one incarnation of a server: a restarted one knows nothing of its limit. */
interface LimitedServer {
  statement: LimitStatement;
  /** Time at which the limit was named or ended. */
  changedAt: number;
  readonly account: FleetQuota;
  readonly createdAt: number;
  /** Whether the other VMs have to be told of it. */
  isChanged: boolean;
  /** Times until which the room for requests is held, by id. */
  readonly holds: Map<string, number>;
  /** At most one of its entry and one of the return of its data centre. */
  spells: readonly ColdSpell[];
  /** Latest own turn at the cold server that this VM has used. */
  lastTurn: number | undefined;
}

const toQuotaLimit = (requestsPerS: number): QuotaLimit => {
  const ratePerS = Math.max(minRequestsPerS, requestsPerS);
  return { ratePerS, burst: Math.max(1, ratePerS * burstS) };
};

/**
 * Creates a record without limits.
 *
 * Load pattern: a server in need takes a fraction of its usual load, while callers come to all VMs
 * or mostly to one. All VMs charge one account, replicated like the quota of a workspace; it begins
 * empty, since the server has just had more than it takes. What a VM out of touch may send is left
 * unused by the others.
 *
 * @example
 * const limits = makeServerLimits();
 * limits.recordResponse(server, 2.5, 20, now); // true
 * limits.getWaitMs(server, now); // 400
 *
 * A cold server is a second cause of a limit, which each VM derives from the server's entry and which ends by
 * itself; the lower rate applies. A request too many crashes it, so the VMs also take turns, in the order of their
 * names from the moment of the entry on, one request a turn: whatever they hear of each other, all turns of a
 * second together stay below what the server can bear.
 */
export const makeServerLimits = (rules: ColdRules = noColdRules): ServerLimits => {
  const limitedServers = new Map<string, LimitedServer>();
  let reachableShare = 1;

  const addServer = (instance: string, statement: LimitStatement, now: number): LimitedServer => {
    const account = makeFleetQuota({ windowMs, slack: 0 }, false, now);
    account.setReachableShare(reachableShare);
    const limited: LimitedServer = {
      statement,
      changedAt: now,
      account,
      createdAt: now,
      isChanged: true,
      holds: new Map(),
      spells: [],
      lastTurn: undefined,
    };
    limitedServers.set(instance, limited);
    return limited;
  };

  const getSpellMs = ({ cause, server }: ColdSpell): number => {
    const { coldStartMs = defaultColdStartMs } = rules.findService(server.service) ?? {};
    return cause === 'entry' ? Number(server.coldRemainingMs ?? 0) : coldStartMs;
  };

  const getSpellRate = ({ cause, server }: ColdSpell): number | undefined => {
    const coldPerS = rules.findService(server.service)?.coldPerS;
    if (cause === 'returned') return coldPerS ?? server.slots * rampSlotsPerS;
    if (coldPerS === undefined) return undefined;
    return cause === 'unreadable' ? minRequestsPerS : coldPerS;
  };

  /** Returns the cause with the lowest rate of those that apply now. */
  const findSpell = ({ spells }: LimitedServer, now: number): ActiveSpell | undefined => {
    let lowest: ActiveSpell | undefined;
    spells.forEach((spell) => {
      if (now >= spell.since + getSpellMs(spell)) return;
      const requestsPerS = getSpellRate(spell);
      if (requestsPerS === undefined) return;
      if (lowest === undefined || requestsPerS < lowest.requestsPerS)
        lowest = { since: spell.since, requestsPerS };
    });
    return lowest;
  };

  const findLimit = (limited: LimitedServer, now: number): number | undefined => {
    const stated = limited.statement.requestsPerS;
    const spell = findSpell(limited, now);
    if (!spell || stated === undefined) return spell ? spell.requestsPerS : stated;
    return Math.min(spell.requestsPerS, stated);
  };

  /** Returns the state of a server only while it has a limit. */
  const findLimited = (server: BackendServer, now: number): LimitedServer | undefined => {
    if (limitedServers.size === 0) return undefined;
    const limited = limitedServers.get(getInstanceKey(server));
    return limited && findLimit(limited, now) !== undefined ? limited : undefined;
  };

  /**
   * Returns the latest own turn at a cold server. A turn is kept for the time of `keptTurns`: of the turns that
   * begin in a second and of those that are kept at its begin, all may be used in that second.
   */
  const getOwnTurn = ({ since, requestsPerS }: ActiveSpell, now: number) => {
    const { rank, vms } = rules.getTurn();
    const maxInSecond = requestsPerS * rules.overage + rules.slack;
    const wantedPerS = requestsPerS + (maxInSecond - requestsPerS) * extraTurnShare;
    const turnsPerS = Math.max(requestsPerS / 2, Math.min(wantedPerS, maxInSecond - turnMargin));
    const keptTurns = Math.max(1, Math.floor(maxInSecond - turnsPerS - turnMargin));
    const turnMs = 1_000 / turnsPerS;
    const turn = Math.max(0, Math.floor((now - since) / turnMs));
    const turnsAgo = (((turn - rank) % vms) + vms) % vms;
    const ownTurn = turn - turnsAgo;
    return {
      ownTurn,
      isKept: ownTurn >= 0 && turnsAgo < keptTurns,
      nextWaitMs: since + (ownTurn + vms) * turnMs - now,
    };
  };

  /** Returns the time until this VM has an unused turn at the server; 0 unless it is cold. */
  const getTurnWaitMs = (limited: LimitedServer, now: number): number => {
    const spell = findSpell(limited, now);
    if (!spell) return 0;
    const { ownTurn, isKept, nextWaitMs } = getOwnTurn(spell, now);
    return isKept && ownTurn !== limited.lastTurn ? 0 : nextWaitMs;
  };

  /** Refills the account, which a charge does not, and returns the time until it has room. */
  const refill = (limited: LimitedServer, now: number): number => {
    const limit = findLimit(limited, now);
    if (limit === undefined) return 0;
    return limited.account.check(accountName, toQuotaLimit(limit), 1, now).retryAfterMs;
  };

  const setSpell = (server: BackendServer, cause: ColdSpell['cause'], now: number): void => {
    const instance = getInstanceKey(server);
    const limited =
      limitedServers.get(instance) ??
      // A statement of this VM or of another one replaces it.
      addServer(
        instance,
        {
          requestsPerS: undefined,
          sentAt: now - forgetAfterMs,
          receivedAt: now - forgetAfterMs,
        },
        now,
      );
    refill(limited, now);
    const isReturn = cause === 'returned';
    const others = limited.spells.filter((spell) => (spell.cause === 'returned') !== isReturn);
    limited.spells = [...others, { cause, server, since: now }];
    limited.changedAt = now;
    limited.lastTurn = undefined;
  };

  const charge = (limited: LimitedServer, now: number): void => {
    refill(limited, now);
    limited.account.charge(accountName, 1, now);
    const spell = findSpell(limited, now);
    if (spell) limited.lastTurn = getOwnTurn(spell, now).ownTurn;
    limited.isChanged = true;
  };

  const isHeld = (limited: LimitedServer, request: string, now: number): boolean =>
    (limited.holds.get(request) ?? 0) > now;

  /** Replaces the statement of a server; returns whether its limit changed. */
  const setStatement = (
    limited: LimitedServer,
    statement: LimitStatement,
    now: number,
  ): boolean => {
    const { requestsPerS } = limited.statement;
    if (statement.requestsPerS !== requestsPerS) refill(limited, now);
    limited.statement = statement;
    if (statement.requestsPerS === requestsPerS) return false;
    limited.changedAt = now;
    limited.isChanged = true;
    return true;
  };

  const makeRow = (instance: string, limited: LimitedServer, now: number): LimitRow => {
    refill(limited, now);
    const { statement, account, createdAt } = limited;
    const [level = null, windowSum = 0] = account.getLevels(now)?.[accountName] ?? [];
    return [
      instance,
      statement.requestsPerS ?? null,
      Math.round(now - statement.sentAt),
      Math.round(now - statement.receivedAt),
      account.getTotals()[accountName] ?? 0,
      Math.round(now - createdAt),
      level,
      windowSum,
    ];
  };

  const recordPeerRow = (
    incarnation: string,
    row: LimitRow,
    uptimeMs: number,
    now: number,
  ): boolean => {
    const [
      instance,
      requestsPerS,
      sentAgeMs,
      receivedAgeMs,
      sentTotal,
      accountAgeMs,
      level,
      windowSum,
    ] = row;
    const statement: LimitStatement = {
      requestsPerS: requestsPerS ?? undefined,
      sentAt: now - sentAgeMs,
      receivedAt: now - receivedAgeMs,
    };
    const known = limitedServers.get(instance);
    if (!known && (requestsPerS === null || receivedAgeMs > forgetAfterMs)) return false;
    const limited = known ?? addServer(instance, statement, now);
    if (!known && level !== null)
      limited.account.adoptLevels({ [accountName]: [level, windowSum] }, now);
    const chosen = chooseStatement(limited.statement, statement, peerTimeErrorMs);
    const hasNewLimit = setStatement(limited, chosen, now);
    refill(limited, now);
    // What a peer sent before this process started is part of the levels that others tell.
    const isOlder = accountAgeMs > uptimeMs;
    limited.account.recordPeerTotals(incarnation, { [accountName]: sentTotal }, isOlder, now);
    return !known || hasNewLimit;
  };

  return {
    recordResponse: (server, requestsPerS, latencyMs, now) => {
      if (limitedServers.size === 0 && requestsPerS === undefined) return false;
      const instance = getInstanceKey(server);
      const statement = { requestsPerS, sentAt: now - latencyMs, receivedAt: now };
      const known = limitedServers.get(instance);
      if (known) return setStatement(known, chooseStatement(known.statement, statement), now);
      if (requestsPerS === undefined) return false;
      addServer(instance, statement, now);
      return true;
    },
    recordSend: (server, request, now) => {
      const limited = findLimited(server, now);
      if (!limited) return false;
      if (request !== undefined && isHeld(limited, request, now)) {
        limited.holds.delete(request);
        return false;
      }
      charge(limited, now);
      return true;
    },
    hold: (server, request, now) => {
      const limited = findLimited(server, now);
      if (!limited || isHeld(limited, request, now)) return false;
      limited.holds.set(request, now + maxHoldMs);
      charge(limited, now);
      return true;
    },
    getWaitMs: (server, now) => {
      const limited = findLimited(server, now);
      return limited ? Math.max(refill(limited, now), getTurnWaitMs(limited, now)) : 0;
    },
    recordEntry: (server, now) => {
      const { coldRemainingMs = 0 } = server;
      if (coldRemainingMs !== 0) {
        const isReadable = coldRemainingMs !== 'unreadable';
        setSpell(server, isReadable ? 'entry' : 'unreadable', now);
        return isReadable ? 'cold' : 'unreadable';
      }
      const limited = limitedServers.get(getInstanceKey(server));
      if (limited) limited.spells = limited.spells.filter(({ cause }) => cause === 'returned');
      return 'warm';
    },
    recordReturn: (server, now) => setSpell(server, 'returned', now),
    isCold: (server, now) => {
      const limited = findLimited(server, now);
      return limited !== undefined && findSpell(limited, now) !== undefined;
    },
    countCold: (now) =>
      [...limitedServers.values()].filter((limited) => findSpell(limited, now)).length,
    getLimit: (server, now) => {
      const limited = findLimited(server, now);
      return limited && findLimit(limited, now);
    },
    getRate: (server, now) => {
      const limited = findLimited(server, now);
      const limit = limited && findLimit(limited, now);
      return limit === undefined ? Number.POSITIVE_INFINITY : toQuotaLimit(limit).ratePerS;
    },
    countLimited: () =>
      [...limitedServers.values()].filter(({ statement }) => statement.requestsPerS !== undefined)
        .length,
    listRows: (which, now) =>
      [...limitedServers].flatMap(([instance, limited]) => {
        if (which === 'changed' && !limited.isChanged) return [];
        if (which === 'changed') limited.isChanged = false;
        return [makeRow(instance, limited, now)];
      }),
    recordPeer: (incarnation, rows, uptimeMs, now) =>
      rows.filter((row) => recordPeerRow(incarnation, row, uptimeMs, now)),
    setReachableShare: (share) => {
      reachableShare = share;
      limitedServers.forEach(({ account }) => account.setReachableShare(share));
    },
    prune: (listed, now) => {
      const instances = new Set(listed.map(getInstanceKey));
      limitedServers.forEach((limited, instance) => {
        const { statement, changedAt, holds, spells } = limited;
        holds.forEach((until, request) => {
          if (until <= now) holds.delete(request);
        });
        const isGone = !instances.has(instance) && now - statement.receivedAt > forgetAfterMs;
        const isOver = statement.requestsPerS === undefined && now - changedAt > forgetAfterMs;
        // The configuration that says for how long a server is cold may not be known yet.
        const isCold = spells.some((spell) => now < spell.since + getSpellMs(spell));
        if (isGone || (isOver && !isCold)) limitedServers.delete(instance);
      });
    },
  };
};
