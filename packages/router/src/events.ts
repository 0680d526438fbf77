import type Logger from 'bunyan';
import type { LogRateLimiter } from './log-rate-limiter.js';

/** Level an event is logged at. */
export type RouterEventLevel = 'debug' | 'info' | 'warn' | 'error';

/** All numbered events of the router; docs/EVENTS.md says what to do about each. */
export const routerEvents = {
  2001: { level: 'info', text: 'router started' },
  2002: { level: 'info', text: 'router ready' },
  2003: { level: 'info', text: 'shutdown begun' },
  2004: { level: 'info', text: 'shutdown ended' },
  2005: { level: 'error', text: 'broken invariant' },
  2006: { level: 'info', text: 'settings reloaded' },
  2007: { level: 'error', text: 'settings not reloaded' },
  2008: { level: 'warn', text: 'process was suspended or its clock was set' },
  2101: { level: 'warn', text: 'store not reachable' },
  2102: { level: 'info', text: 'store reachable again' },
  2103: { level: 'info', text: 'configuration in force' },
  2104: { level: 'error', text: 'configuration not readable' },
  2105: { level: 'info', text: 'backend server changed' },
  2106: { level: 'warn', text: 'list entry names no backend server' },
  2107: { level: 'warn', text: 'history dropped, listing again' },
  2108: { level: 'info', text: 'view taken from a peer' },
  2109: { level: 'warn', text: 'VM not entered in the store' },
  2110: { level: 'warn', text: 'peer gave no view' },
  2201: { level: 'info', text: 'peer heard' },
  2202: { level: 'warn', text: 'peer silent' },
  2203: { level: 'warn', text: 'peer message not readable' },
  2204: { level: 'info', text: 'role towards the store changed' },
  2301: { level: 'info', text: 'request answered' },
  2302: { level: 'info', text: 'request refused' },
  2303: { level: 'warn', text: 'request failed' },
  2304: { level: 'info', text: 'request left by its caller' },
  2305: { level: 'info', text: 'stream placed' },
  2306: { level: 'warn', text: 'send to a backend server failed' },
  2307: { level: 'info', text: 'stream resumed' },
  2308: { level: 'warn', text: 'request rejected before routing' },
  2401: { level: 'warn', text: 'log lines left out' },
} as const satisfies Record<number, { level: RouterEventLevel; text: string }>;

/** Number of an event. */
export type RouterEventId = keyof typeof routerEvents;

/** Fields that the logger sets; one of ours with such a name would replace it or hide the line. */
type OwnField = 'name' | 'hostname' | 'pid' | 'level' | 'time' | 'msg' | 'v';

/** Fields of an event; they must hold no key, prompt or answer. */
export type EventFields = Readonly<Record<string, unknown>> &
  Readonly<Partial<Record<OwnField, never>>>;

/** Writes a numbered event. */
export type LogRouterEvent = (id: RouterEventId, fields?: EventFields) => void;

/**
 * Makes a writer of numbered events on a logger, within a budget of lines.
 *
 * @example
 * makeRouterLog(bunyan.createLogger({ name: 'router' }), makeLineBudget())(2001, { vm: 'vm-1' });
 */
export const makeRouterLog =
  (log: Logger, budget: LogRateLimiter): LogRouterEvent =>
  (id, fields = {}) => {
    const { level, text } = routerEvents[id];
    if (budget.admit(level, performance.now())) log[level]({ event: id, ...fields }, text);
  };
