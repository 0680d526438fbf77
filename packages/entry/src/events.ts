import type Logger from 'bunyan';

/** Log level of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Entry of the event catalogue. */
export interface EventKind {
  readonly level: EventLevel;
  readonly text: string;
}

/** All numbered events; docs/EVENTS.md describes how to respond to each. */
export const eventCatalogue = {
  1001: { level: 'info', text: 'VM started' },
  1002: { level: 'info', text: 'VM ready' },
  1003: { level: 'info', text: 'shutdown begun' },
  1004: { level: 'info', text: 'shutdown ended' },
  1005: { level: 'warn', text: 'shutdown deadline reached with requests open' },
  1006: { level: 'error', text: 'broken invariant' },
  1007: { level: 'info', text: 'settings and certificates reloaded' },
  1008: { level: 'error', text: 'settings or certificates not reloaded' },
  1101: { level: 'warn', text: 'store not reachable' },
  1102: { level: 'info', text: 'store reachable again' },
  1103: { level: 'warn', text: 'membership lease lost' },
  1104: { level: 'info', text: 'membership lease granted' },
  1105: { level: 'info', text: 'member joined' },
  1106: { level: 'info', text: 'member left' },
  1107: { level: 'warn', text: 'watch missed events; listing again' },
  1201: { level: 'info', text: 'revision in force' },
  1202: { level: 'error', text: 'revision not usable' },
  1203: { level: 'warn', text: 'configuration no longer proven current' },
  1204: { level: 'info', text: 'configuration proven current again' },
  1205: { level: 'info', text: 'revision fetched from a peer' },
  1301: { level: 'info', text: 'rate shard taken' },
  1302: { level: 'info', text: 'rate shard handed over' },
  1303: { level: 'warn', text: 'rate shard lost' },
  1304: { level: 'warn', text: 'rate grant deadline extended by promises of peers' },
  1401: { level: 'debug', text: 'request ended' },
  1402: { level: 'warn', text: 'request failed in part' },
  1403: { level: 'warn', text: 'outcome unknown' },
  1404: { level: 'debug', text: 'request refused' },
  1405: { level: 'warn', text: 'stream ended because its key was withdrawn' },
  1501: { level: 'warn', text: 'backend server not reachable' },
  1502: { level: 'info', text: 'backend server reachable again' },
  1503: { level: 'info', text: 'orphaned hold cancelled' },
  1504: { level: 'warn', text: 'backend server gave a bad answer' },
  1601: { level: 'info', text: 'upgrade control taken' },
  1602: { level: 'info', text: 'upgrade step begun' },
  1603: { level: 'info', text: 'upgrade step ended' },
  1604: { level: 'warn', text: 'upgrade waits for capacity' },
  1605: { level: 'warn', text: 'upgrade order refused or unanswered' },
  1701: { level: 'warn', text: 'peer connection rejected' },
  1702: { level: 'warn', text: 'operator request rejected' },
  1703: { level: 'debug', text: 'claim settled with its writer' },
} as const satisfies Record<number, EventKind>;

/** Number of an event in the catalogue. */
export type EventId = keyof typeof eventCatalogue;

/** Logs a numbered event; the fields must not contain a key, prompt or response body. */
export type LogEvent = (id: EventId, fields?: Readonly<Record<string, unknown>>) => void;

/**
 * Creates a function that logs numbered events.
 *
 * @example
 * makeEventLog(bunyan.createLogger({ name: 'entry' }))(1001, { vm: 'vm-1' });
 */
export const makeEventLog =
  (log: Logger): LogEvent =>
  (id, fields = {}) => {
    const { level, text } = eventCatalogue[id];
    log[level]({ event: id, ...fields }, text);
  };
