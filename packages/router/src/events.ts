import type Logger from 'bunyan';
import type { LogRateLimiter } from './log-rate-limiter.js';

/** Log level of an event. */
export type RouterEventLevel = 'debug' | 'info' | 'warn' | 'error';

/** All numbered events of the router; docs/EVENTS.md describes what to do about each. */
export const routerEvents = {
  2001: { level: 'info', text: 'router started' },
  2002: { level: 'info', text: 'router ready' },
  2003: { level: 'info', text: 'shutdown begun' },
  2004: { level: 'info', text: 'shutdown ended' },
  2005: { level: 'error', text: 'broken invariant' },
  2006: { level: 'info', text: 'settings reloaded' },
  2007: { level: 'error', text: 'settings not reloaded' },
  2008: { level: 'warn', text: 'process was suspended or its clock was set' },
  2009: { level: 'warn', text: 'event loop was blocked or the process stopped' },
  2010: { level: 'warn', text: 'process is short of memory' },
  2101: { level: 'warn', text: 'store not reachable' },
  2102: { level: 'info', text: 'store reachable again' },
  2103: { level: 'info', text: 'configuration in force' },
  2104: { level: 'error', text: 'configuration not readable' },
  2105: { level: 'info', text: 'backend server changed' },
  2106: { level: 'warn', text: 'backend server entry not readable' },
  2107: { level: 'warn', text: 'watch history compacted, listing again' },
  2108: { level: 'info', text: 'view fetched from a peer' },
  2109: { level: 'warn', text: 'VM not registered in the store' },
  2110: { level: 'warn', text: 'view not fetched from a peer' },
  2111: { level: 'warn', text: 'store restored from a copy' },
  2112: { level: 'info', text: 'backend server announced that it is leaving' },
  2113: { level: 'info', text: 'backend server asked for a pause' },
  2114: { level: 'info', text: 'limit of a backend server changed' },
  2115: { level: 'info', text: 'backend server is cold' },
  2116: { level: 'warn', text: 'cold time of a backend server not readable' },
  2117: { level: 'warn', text: 'data centre evacuated' },
  2118: { level: 'warn', text: 'unknown data centre evacuated' },
  2119: { level: 'info', text: 'evacuated data centre taken back' },
  2120: { level: 'warn', text: 'newer configuration not received yet' },
  2121: { level: 'warn', text: 'VM partitioned from the backend servers' },
  2122: { level: 'info', text: 'backend servers reachable again' },
  2123: { level: 'info', text: 'backend server restarted, its entry is older' },
  2201: { level: 'info', text: 'peer responsive' },
  2202: { level: 'warn', text: 'peer unresponsive' },
  2203: { level: 'warn', text: 'peer message not readable' },
  2204: { level: 'info', text: 'store watch role changed' },
  2301: { level: 'info', text: 'request answered' },
  2302: { level: 'info', text: 'request refused' },
  2303: { level: 'warn', text: 'request failed' },
  2304: { level: 'info', text: 'client disconnected before the response ended' },
  2305: { level: 'info', text: 'stream placed' },
  2306: { level: 'warn', text: 'send to a backend server failed' },
  2307: { level: 'info', text: 'stream resumed' },
  2308: { level: 'warn', text: 'request rejected before routing' },
  2309: { level: 'info', text: 'stream silent, another engine is sought' },
  2310: { level: 'warn', text: 'prompt part or request blocked, servers crash on it' },
  2311: { level: 'info', text: 'prompt part or request released' },
  2312: { level: 'info', text: 'request slow, also sent to another server' },
  2313: { level: 'info', text: 'request waits for room under the limits of servers' },
  2314: { level: 'info', text: 'software version of a resumed stream sought' },
  2320: { level: 'info', text: 'answer later than usual, second attempt sent' },
  2315: { level: 'warn', text: 'caller disconnected, it does not read its response' },
  2321: { level: 'warn', text: 'caller met a limit of the VM' },
  2323: { level: 'info', text: 'request sent although servers crash on a part of it' },
  2324: { level: 'info', text: 'instance of a backend server checked' },
  2325: { level: 'info', text: 'run of a stream ended' },
  2326: { level: 'warn', text: 'answer of a backend server was costly, or long and not whole' },
  2322: { level: 'info', text: 'connection of a caller closed between two requests' },
  2501: { level: 'info', text: 'control of engine stages taken' },
  2502: { level: 'warn', text: 'control of engine stages lost' },
  2503: { level: 'info', text: 'engine ordered to change its stage' },
  2504: { level: 'info', text: 'change of an engine stage ended' },
  2505: { level: 'info', text: 'change of an engine stage planned' },
  2401: { level: 'warn', text: 'log lines dropped' },
  2601: { level: 'info', text: 'record of software versions read' },
  2602: { level: 'info', text: 'record of software versions written' },
  2603: { level: 'warn', text: 'record of software versions not written' },
  2604: { level: 'warn', text: 'origins of streams not written' },
} as const satisfies Record<number, { level: RouterEventLevel; text: string }>;

/** Number of an event. */
export type RouterEventId = keyof typeof routerEvents;

/**
 * Fields set by the logger; an event field of the same name would overwrite the logger's value or
 * suppress the line.
 */
type ReservedField = 'name' | 'hostname' | 'pid' | 'level' | 'time' | 'msg' | 'v';

/** Fields of an event; they must not contain keys, prompts or responses. */
export type EventFields = Readonly<Record<string, unknown>> &
  Readonly<Partial<Record<ReservedField, never>>>;

/** Writes a numbered event. */
export type LogRouterEvent = (id: RouterEventId, fields?: EventFields) => void;

/**
 * Makes a function that logs numbered events, within a rate limit.
 *
 * @example
 * makeRouterLog(bunyan.createLogger({ name: 'router' }), makeLogRateLimiter())(2001, { vm: 'vm-1' });
 */
export const makeRouterLog =
  (log: Logger, rateLimiter: LogRateLimiter): LogRouterEvent =>
  (id, fields = {}) => {
    const { level, text } = routerEvents[id];
    if (rateLimiter.admit(level, performance.now())) log[level]({ event: id, ...fields }, text);
  };
