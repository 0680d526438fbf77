import type { StoreEntry } from '@hemlocksill/types/ports.js';
import type { LoadRows } from '@hemlocksill/routing/engine-ledger.js';
import type { AdmittedTotals, QuotaLevels } from '@hemlocksill/routing/fleet-quota.js';
import type { SeenRevisions } from './view-controller.js';

/** Changes of backend servers beyond a revision, small enough to be told at once. */
export interface ServerChanges {
  /** Whoever knows all changes up to this revision knows all after taking the news. */
  readonly after: number;
  readonly servers: readonly StoreEntry[];
  readonly removed: readonly (readonly [string, number])[];
}

/** Whether a VM follows the store itself, or learns changes from those that do. */
export type StoreRole = 'watcher' | 'reader';

/** What changes often at a VM. */
export interface LoadUpdate {
  /** Names one run of the process. */
  readonly incarnation: string;
  readonly sequence: number;
  readonly seenRevisions: SeenRevisions;
  readonly loads: LoadRows;
  /** Totals since the start of the process; an update holds those that changed. */
  readonly admitted: AdmittedTotals;
  /** Tokens of streams that wait at the VM, by service. */
  readonly waiting: Readonly<Record<string, number>>;
  /** Whether the process is about to end. */
  readonly isShuttingDown: boolean;
  readonly role: StoreRole;
  readonly isStoreReachable: boolean;
  readonly serverChanges: ServerChanges | undefined;
}

/** A VM's whole account of itself, sent regularly; updates between them are smaller. */
export interface FullMessage extends LoadUpdate {
  readonly vm: string;
  /** Address of the VM's peer interface, as IP:port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Time since the process started. */
  readonly ageMs: number;
  /** What the VM knows of rates, for one that has just started; undefined if it knows little. */
  readonly quotaLevels: QuotaLevels | undefined;
}

/** A message as it is read from the wire. */
export type Gossip =
  | { readonly kind: 'full'; readonly message: FullMessage }
  | { readonly kind: 'update'; readonly update: LoadUpdate };

const shuttingDownFlag = 1;
const watcherFlag = 2;
const reachableFlag = 4;

const updateFieldCount = 9;
const fullFieldCount = 14;

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
];

/** Encodes an update; fields go by position, since it is sent many times a second. */
export const encodeUpdate = (update: LoadUpdate): Buffer =>
  Buffer.from(JSON.stringify(encodeRow(update)));

/** Encodes a whole message. */
export const encodeFullMessage = (message: FullMessage): Buffer =>
  Buffer.from(
    JSON.stringify([
      ...encodeRow(message),
      message.vm,
      message.address,
      message.dataCentre,
      message.ageMs,
      message.quotaLevels ?? null,
    ]),
  );

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isNumberRecord = (value: unknown): value is Record<string, number> =>
  isRecord(value) && Object.values(value).every((n) => Number.isFinite(n));

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

const isEntry = (value: unknown): value is StoreEntry =>
  isRecord(value) &&
  typeof value.key === 'string' &&
  typeof value.value === 'string' &&
  Number.isFinite(value.revision);

const isRemoval = (value: unknown): value is readonly [string, number] =>
  Array.isArray(value) && typeof value[0] === 'string' && Number.isFinite(value[1]);

const isServerChanges = (value: unknown): value is ServerChanges =>
  isRecord(value) &&
  Number.isFinite(value.after) &&
  Array.isArray(value.servers) &&
  value.servers.every(isEntry) &&
  Array.isArray(value.removed) &&
  value.removed.every(isRemoval);

const hasFlag = (flags: number, flag: number): boolean => Math.floor(flags / flag) % 2 === 1;

const decodeUpdate = (row: readonly unknown[]): LoadUpdate | undefined => {
  const [incarnation, sequence, config, servers, loads, admitted, waiting, flags, serverChanges] =
    row;
  if (typeof incarnation !== 'string') return undefined;
  if (![sequence, config, servers, flags].every((n) => Number.isFinite(n))) return undefined;
  if (!isLoadRows(loads) || !isNumberRecord(admitted) || !isNumberRecord(waiting)) return undefined;
  if (serverChanges !== null && !isServerChanges(serverChanges)) return undefined;
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
  };
};

/**
 * Decodes a message; undefined where the bytes are none.
 *
 * @example
 * decodeGossip(Buffer.from('x')); // undefined
 */
export const decodeGossip = (bytes: Buffer): Gossip | undefined => {
  let row: unknown;
  try {
    row = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  if (!Array.isArray(row)) return undefined;
  const update = decodeUpdate(row);
  if (!update) return undefined;
  if (row.length === updateFieldCount) return { kind: 'update', update };
  const [vm, address, dataCentre, ageMs, quotaLevels] = row.slice(updateFieldCount) as unknown[];
  if (row.length !== fullFieldCount || typeof vm !== 'string' || typeof address !== 'string')
    return undefined;
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(address)) return undefined;
  if (typeof dataCentre !== 'string') return undefined;
  if (typeof ageMs !== 'number' || !Number.isFinite(ageMs)) return undefined;
  if (quotaLevels !== null && !isQuotaLevels(quotaLevels)) return undefined;
  return {
    kind: 'full',
    message: { ...update, vm, address, dataCentre, ageMs, quotaLevels: quotaLevels ?? undefined },
  };
};
