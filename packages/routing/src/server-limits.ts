import type { BackendServer } from '@hemlocksill/types/routing.js';
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
  /** Time until a server may get another request, in milliseconds. */
  readonly getWaitMs: (server: BackendServer, now: number) => number;
  /** Limit that a server names; undefined if it names none. */
  readonly getLimit: (server: BackendServer) => number | undefined;
  /** Requests per second that a server gets at most; infinite if it names no limit. */
  readonly getRate: (server: BackendServer) => number;
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
 */
export const makeServerLimits = (): ServerLimits => {
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
    };
    limitedServers.set(instance, limited);
    return limited;
  };

  /** Returns the state of a server only while it names a limit. */
  const findLimited = (server: BackendServer): LimitedServer | undefined => {
    if (limitedServers.size === 0) return undefined;
    const limited = limitedServers.get(getInstanceKey(server));
    return limited?.statement.requestsPerS === undefined ? undefined : limited;
  };

  /** Refills the account, which a charge does not, and returns the time until it has room. */
  const refill = ({ account, statement }: LimitedServer, now: number): number => {
    if (statement.requestsPerS === undefined) return 0;
    return account.check(accountName, toQuotaLimit(statement.requestsPerS), 1, now).retryAfterMs;
  };

  const charge = (limited: LimitedServer, now: number): void => {
    refill(limited, now);
    limited.account.charge(accountName, 1, now);
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
      const limited = findLimited(server);
      if (!limited) return false;
      if (request !== undefined && isHeld(limited, request, now)) {
        limited.holds.delete(request);
        return false;
      }
      charge(limited, now);
      return true;
    },
    hold: (server, request, now) => {
      const limited = findLimited(server);
      if (!limited || isHeld(limited, request, now)) return false;
      limited.holds.set(request, now + maxHoldMs);
      charge(limited, now);
      return true;
    },
    getWaitMs: (server, now) => {
      const limited = findLimited(server);
      return limited ? refill(limited, now) : 0;
    },
    getLimit: (server) => findLimited(server)?.statement.requestsPerS,
    getRate: (server) => {
      const requestsPerS = findLimited(server)?.statement.requestsPerS;
      return requestsPerS === undefined
        ? Number.POSITIVE_INFINITY
        : toQuotaLimit(requestsPerS).ratePerS;
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
        const { statement, changedAt, holds } = limited;
        holds.forEach((until, request) => {
          if (until <= now) holds.delete(request);
        });
        const isGone = !instances.has(instance) && now - statement.receivedAt > forgetAfterMs;
        const isOver = statement.requestsPerS === undefined && now - changedAt > forgetAfterMs;
        if (isGone || isOver) limitedServers.delete(instance);
      });
    },
  };
};
