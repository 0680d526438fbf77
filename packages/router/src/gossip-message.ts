import { isIPv4 } from 'node:net';
import type { StoreEntry } from '@hemlocksill/types/ports.js';
import type { CrashRow } from '@hemlocksill/routing/crash-rows.js';
import type { EvacuationRow } from '@hemlocksill/routing/evacuations.js';
import type { LoadRows } from '@hemlocksill/routing/engine-ledger.js';
import type { AdmittedTotals, QuotaLevels } from '@hemlocksill/routing/fleet-quota.js';
import type { PlainRow } from '@hemlocksill/routing/response-times.js';
import type { LimitRow } from '@hemlocksill/routing/server-limits.js';
import { decodeOriginMessage, originTag, type OriginMessage } from './origin-message.js';
import { decodeRateMessage, ratesTag, type RateMessage } from './rate-message.js';
import type { RawView, SeenRevisions } from './view-controller.js';

/** Changes of backend servers after a revision, few enough to be sent in a message. */
export interface ServerChanges {
  /** Revision after which the changes start; the receiver must have all changes up to it. */
  readonly after: number;
  readonly servers: readonly StoreEntry[];
  readonly removed: readonly (readonly [string, number])[];
}

/** Whether a VM watches the store itself or receives changes from the VMs that do. */
export type StoreRole = 'watcher' | 'reader';

/** The part of a VM's state that changes often. */
export interface LoadUpdate {
  /** Identifies one run of the process. */
  readonly incarnation: string;
  readonly sequence: number;
  readonly seenRevisions: SeenRevisions;
  readonly loads: LoadRows;
  /** Totals since the start of the process; an update carries only those that changed. */
  readonly admitted: AdmittedTotals;
  /** Memory tokens that the streams queued at the VM need, by service. */
  readonly waiting: Readonly<Record<string, number>>;
  /** Whether the process is shutting down. */
  readonly isShuttingDown: boolean;
  readonly role: StoreRole;
  readonly isStoreReachable: boolean;
  readonly serverChanges: ServerChanges | undefined;
  /** Engines that must get no new work because the VM changes their stage. */
  readonly changing: readonly string[];
  /** Prefill engines that failed at the VM a moment ago. */
  readonly failing: readonly string[];
  /** Parts of prompts on which engines crash; an update carries only what is recent. */
  readonly crashes: readonly CrashRow[];
}

/** Complete state of a VM, sent periodically; the updates in between are smaller. */
export interface FullMessage extends LoadUpdate {
  readonly vm: string;
  /** Address of the VM's peer interface, as IP:port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Milliseconds since the process started. */
  readonly ageMs: number;
  /** Quota levels for VMs that have just started; undefined while the sender does not know them. */
  readonly quotaLevels: QuotaLevels | undefined;
}

/** A decoded message. */
export type PeerMessage =
  | { readonly kind: 'full'; readonly message: FullMessage }
  | { readonly kind: 'update'; readonly update: LoadUpdate }
  | { readonly kind: 'limits'; readonly incarnation: string; readonly rows: readonly LimitRow[] }
  | { readonly kind: 'origin'; readonly message: OriginMessage }
  | { readonly kind: 'rates'; readonly message: RateMessage }
  | { readonly kind: 'evacuations'; readonly rows: readonly EvacuationRow[] }
  | { readonly kind: 'plain'; readonly rows: readonly PlainRow[] };

/** First field of a message about the limits of backend servers. */
const limitsTag = 'limits';

/** First field of a message about evacuated data centres. */
const evacuationsTag = 'evacuations';
/** First field of a message about response times of plain backend servers. */
const plainTag = 'plain';

const shuttingDownFlag = 1;
const watcherFlag = 2;
const reachableFlag = 4;

const updateFieldCount = 11;
const fullFieldCount = 16;

const encodeFlags = (update: LoadUpdate): number =>
  (update.isShuttingDown ? shuttingDownFlag : 0) +
  (update.role === 'watcher' ? watcherFlag : 0) +
  (update.isStoreReachable ? reachableFlag : 0);

const encodeRow = (update: LoadUpdate): unknown[] => [
  update.incarnation,
  update.sequence,
  update.seenRevisions.config,
  update.seenRevisions.servers,
  update.loads,
  update.admitted,
  update.waiting,
  encodeFlags(update),
  update.serverChanges ?? null,
  update.changing,
  update.failing,
];

/** A last field only while there are crashes, so that VMs of the release before read all other messages. */
const encodeCrashes = ({ crashes }: LoadUpdate): unknown[] => (crashes.length > 0 ? [crashes] : []);

/** Encodes an update; fields are positional because updates are sent many times a second. */
export const encodeUpdate = (update: LoadUpdate): Buffer =>
  Buffer.from(JSON.stringify([...encodeRow(update), ...encodeCrashes(update)]));

/** Encodes a full message. */
export const encodeFullMessage = (message: FullMessage): Buffer =>
  Buffer.from(
    JSON.stringify([
      ...encodeRow(message),
      message.vm,
      message.address,
      message.dataCentre,
      message.ageMs,
      message.quotaLevels ?? null,
      ...encodeCrashes(message),
    ]),
  );

/** Encodes rows about the limits of backend servers. */
export const encodeLimits = (incarnation: string, rows: readonly LimitRow[]): Buffer =>
  Buffer.from(JSON.stringify([limitsTag, incarnation, rows]));

/** Encodes which data centres are evacuated. */
export const encodeEvacuations = (rows: readonly EvacuationRow[]): Buffer =>
  Buffer.from(JSON.stringify([evacuationsTag, rows]));
/** Encodes rows about response times; VMs of the release before ignore the message. */
export const encodePlainRows = (rows: readonly PlainRow[]): Buffer =>
  Buffer.from(JSON.stringify([plainTag, rows]));

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isNumberRecord = (value: unknown): value is Record<string, number> =>
  isRecord(value) && Object.values(value).every((n) => Number.isFinite(n));

const isTextList = (value: unknown): value is readonly string[] =>
  Array.isArray(value) && value.every((item) => typeof item === 'string');

const isIncident = (value: unknown): value is readonly [string, number] =>
  Array.isArray(value) &&
  value.length === 2 &&
  typeof value[0] === 'string' &&
  Number.isFinite(value[1]);

const crashRowStates: ReadonlySet<unknown> = new Set<CrashRow[3]>([
  'suspect',
  'blocked',
  'survived',
]);

const isCrashRows = (value: unknown): value is readonly CrashRow[] =>
  Array.isArray(value) &&
  value.every(
    (row) =>
      Array.isArray(row) &&
      row.length === 4 &&
      typeof row[0] === 'string' &&
      Array.isArray(row[1]) &&
      row[1].every(isIncident) &&
      Number.isFinite(row[2]) &&
      crashRowStates.has(row[3]),
  );

const isLoadRows = (value: unknown): value is LoadRows =>
  isRecord(value) &&
  Object.values(value).every(
    (row) => Array.isArray(row) && row.length === 3 && row.every((n) => Number.isFinite(n)),
  );

const isQuotaLevels = (value: unknown): value is QuotaLevels =>
  isRecord(value) &&
  Object.values(value).every(
    (pair) => Array.isArray(pair) && pair.length === 2 && pair.every((n) => Number.isFinite(n)),
  );

const isCount = (value: unknown): boolean => Number.isFinite(value) && Number(value) >= 0;

const isLimitRow = (value: unknown): value is LimitRow => {
  if (!Array.isArray(value) || value.length !== 8) return false;
  const [instance, requestsPerS, ...numbers] = value as unknown[];
  const level = numbers[4];
  return (
    typeof instance === 'string' &&
    (requestsPerS === null || isCount(requestsPerS)) &&
    (level === null || Number.isFinite(level)) &&
    numbers.every((number, index) => index === 4 || isCount(number))
  );
};

const decodeLimits = ([, incarnation, rows]: readonly unknown[]): PeerMessage | undefined =>
  typeof incarnation === 'string' && Array.isArray(rows) && rows.every(isLimitRow)
    ? { kind: 'limits', incarnation, rows }
    : undefined;

const isEvacuationRow = (value: unknown): value is EvacuationRow =>
  Array.isArray(value) &&
  value.length === 3 &&
  typeof value[0] === 'string' &&
  isCount(value[1]) &&
  typeof value[2] === 'boolean';

const isEvacuationRows = (value: unknown): value is readonly EvacuationRow[] =>
  Array.isArray(value) && value.every(isEvacuationRow);
const isPlainRow = (value: unknown): value is PlainRow =>
  Array.isArray(value) &&
  value.length === 4 &&
  typeof value[0] === 'string' &&
  value.slice(1).every(isCount);

const decodePlainRows = ([, rows]: readonly unknown[]): PeerMessage | undefined =>
  Array.isArray(rows) && rows.every(isPlainRow) ? { kind: 'plain', rows } : undefined;

/** Whether a value is an IPv4 address and a port to which a message can be sent. */
export const isAddress = (value: unknown): value is string => {
  if (typeof value !== 'string' || !/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(value)) return false;
  const [host = '', port] = value.split(':');
  return isIPv4(host) && Number(port) > 0 && Number(port) < 65_536;
};

const isEntry = (value: unknown): value is StoreEntry =>
  isRecord(value) &&
  typeof value.key === 'string' &&
  typeof value.value === 'string' &&
  Number.isFinite(value.revision);

const isRemoval = (value: unknown): value is readonly [string, number] =>
  Array.isArray(value) && typeof value[0] === 'string' && Number.isFinite(value[1]);

/** Whether a value is a list of entries with the removals of others. */
export const isEntryList = (value: unknown): value is Pick<ServerChanges, 'servers' | 'removed'> =>
  isRecord(value) &&
  Array.isArray(value.servers) &&
  value.servers.every(isEntry) &&
  Array.isArray(value.removed) &&
  value.removed.every(isRemoval);

/** Whether a value is a peer's view, with or without a configuration. */
export const isRawView = (value: unknown): value is RawView =>
  isEntryList(value) &&
  (!('config' in value) ||
    value.config === undefined ||
    value.config === null ||
    isEntry(value.config)) &&
  (!('evacuations' in value) || isEvacuationRows(value.evacuations));

const isServerChanges = (value: unknown): value is ServerChanges =>
  isRecord(value) && Number.isFinite(value.after) && isEntryList(value);

const hasFlag = (flags: number, flag: number): boolean => Math.floor(flags / flag) % 2 === 1;

const decodeUpdate = (row: readonly unknown[], crashes: unknown): LoadUpdate | undefined => {
  const [
    incarnation,
    sequence,
    config,
    servers,
    loads,
    admitted,
    waiting,
    flags,
    serverChanges,
    changing,
    failing,
  ] = row;
  if (typeof incarnation !== 'string') return undefined;
  if (![sequence, config, servers, flags].every((n) => Number.isFinite(n))) return undefined;
  if (!isLoadRows(loads) || !isNumberRecord(admitted) || !isNumberRecord(waiting)) return undefined;
  if (serverChanges !== null && !isServerChanges(serverChanges)) return undefined;
  if (!isTextList(changing) || !isTextList(failing)) return undefined;
  if (!isCrashRows(crashes)) return undefined;
  return {
    incarnation,
    sequence: Number(sequence),
    seenRevisions: { config: Number(config), servers: Number(servers) },
    loads,
    admitted,
    waiting,
    isShuttingDown: hasFlag(Number(flags), shuttingDownFlag),
    role: hasFlag(Number(flags), watcherFlag) ? 'watcher' : 'reader',
    isStoreReachable: hasFlag(Number(flags), reachableFlag),
    serverChanges: serverChanges ?? undefined,
    changing,
    failing,
    crashes,
  };
};

/**
 * Decodes a message; undefined if the bytes are not a valid message.
 *
 * @example
 * decodeMessage(Buffer.from('x')); // undefined
 */
export const decodeMessage = (bytes: Buffer): PeerMessage | undefined => {
  let row: unknown;
  try {
    row = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  if (!Array.isArray(row)) return undefined;
  if (row[0] === limitsTag) return decodeLimits(row);
  if (row[0] === evacuationsTag)
    return isEvacuationRows(row[1]) ? { kind: 'evacuations', rows: row[1] } : undefined;
  if (row[0] === plainTag) return decodePlainRows(row);
  if (row[0] === originTag) {
    const message = decodeOriginMessage(row);
    return message && { kind: 'origin', message };
  }
  if (row[0] === ratesTag) {
    const message = decodeRateMessage(row);
    return message && { kind: 'rates', message };
  }
  const isFull = row.length >= fullFieldCount;
  const fieldCount = isFull ? fullFieldCount : updateFieldCount;
  if (row.length > fieldCount + 1) return undefined;
  const update = decodeUpdate(row, row.length > fieldCount ? row[fieldCount] : []);
  if (!update) return undefined;
  if (!isFull) return { kind: 'update', update };
  const [vm, address, dataCentre, ageMs, quotaLevels] = row.slice(updateFieldCount) as unknown[];
  if (typeof vm !== 'string' || !isAddress(address)) return undefined;
  if (typeof dataCentre !== 'string') return undefined;
  if (typeof ageMs !== 'number' || !Number.isFinite(ageMs)) return undefined;
  if (quotaLevels !== null && !isQuotaLevels(quotaLevels)) return undefined;
  return {
    kind: 'full',
    message: { ...update, vm, address, dataCentre, ageMs, quotaLevels: quotaLevels ?? undefined },
  };
};
