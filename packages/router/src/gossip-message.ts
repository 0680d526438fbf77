import type { StoreEntry } from '@hemlocksill/types/ports.js';
import type { LoadRows } from '@hemlocksill/routing/engine-ledger.js';
import type { AdmittedTotals, QuotaLevels } from '@hemlocksill/routing/fleet-quota.js';
import type { SeenRevisions } from './view-controller.js';

/** Changes of backend servers beyond a revision, small enough to be told at once. */
export interface ServerNews {
  /** Whoever knows all changes up to this revision knows all after taking the news. */
  readonly after: number;
  readonly servers: readonly StoreEntry[];
  readonly removed: readonly (readonly [string, number])[];
}

/** Whether a VM follows the store itself, or learns changes from those that do. */
export type ViewRole = 'watcher' | 'reader';

/** What changes often at a VM. */
export interface LoadUpdate {
  /** Names one run of the process. */
  readonly incarnation: string;
  readonly sequence: number;
  readonly seen: SeenRevisions;
  readonly loads: LoadRows;
  /** Totals since the start of the process; an update holds those that changed. */
  readonly admitted: AdmittedTotals;
  /** Tokens of streams that wait at the VM, by service. */
  readonly waiting: Readonly<Record<string, number>>;
  /** Whether the process is about to end. */
  readonly isLeaving: boolean;
  readonly role: ViewRole;
  readonly isStoreReachable: boolean;
  readonly news: ServerNews | undefined;
}

/** A VM's whole account of itself, sent regularly; updates between them are smaller. */
export interface GossipMessage extends LoadUpdate {
  readonly vm: string;
  /** Address of the VM's peer interface, as IP:port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Time since the process started. */
  readonly ageMs: number;
  /** What the VM knows of rates, for one that has just started; undefined if it knows little. */
  readonly levels: QuotaLevels | undefined;
}

/** A message as it is read from the wire. */
export type Gossip =
  | { readonly kind: 'whole'; readonly message: GossipMessage }
  | { readonly kind: 'update'; readonly update: LoadUpdate };

const leavingFlag = 1;
const watcherFlag = 2;
const reachableFlag = 4;

const updateLength = 9;
const wholeLength = 14;

const encodeFlags = (u: LoadUpdate): number =>
  (u.isLeaving ? leavingFlag : 0) +
  (u.role === 'watcher' ? watcherFlag : 0) +
  (u.isStoreReachable ? reachableFlag : 0);

const encodeRow = (u: LoadUpdate): unknown[] => [
  u.incarnation,
  u.sequence,
  u.seen.config,
  u.seen.servers,
  u.loads,
  u.admitted,
  u.waiting,
  encodeFlags(u),
  u.news ?? null,
];

/** Encodes an update; fields go by position, since it is sent many times a second. */
export const encodeUpdate = (update: LoadUpdate): Buffer =>
  Buffer.from(JSON.stringify(encodeRow(update)));

/** Encodes a whole message. */
export const encodeGossip = (message: GossipMessage): Buffer =>
  Buffer.from(
    JSON.stringify([
      ...encodeRow(message),
      message.vm,
      message.address,
      message.dataCentre,
      message.ageMs,
      message.levels ?? null,
    ]),
  );

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const areNumbers = (value: unknown): value is Record<string, number> =>
  isRecord(value) && Object.values(value).every((n) => Number.isFinite(n));

const areLoads = (value: unknown): value is LoadRows =>
  isRecord(value) &&
  Object.values(value).every(
    (row) => Array.isArray(row) && row.length === 3 && row.every((n) => Number.isFinite(n)),
  );

const areLevels = (value: unknown): value is QuotaLevels =>
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

const isNews = (value: unknown): value is ServerNews =>
  isRecord(value) &&
  Number.isFinite(value.after) &&
  Array.isArray(value.servers) &&
  value.servers.every(isEntry) &&
  Array.isArray(value.removed) &&
  value.removed.every(isRemoval);

const hasFlag = (flags: number, flag: number): boolean => Math.floor(flags / flag) % 2 === 1;

const decodeUpdate = (row: readonly unknown[]): LoadUpdate | undefined => {
  const [incarnation, sequence, config, servers, loads, admitted, waiting, flags, news] = row;
  if (typeof incarnation !== 'string') return undefined;
  if (![sequence, config, servers, flags].every((n) => Number.isFinite(n))) return undefined;
  if (!areLoads(loads) || !areNumbers(admitted) || !areNumbers(waiting)) return undefined;
  if (news !== null && !isNews(news)) return undefined;
  return {
    incarnation,
    sequence: Number(sequence),
    seen: { config: Number(config), servers: Number(servers) },
    loads,
    admitted,
    waiting,
    isLeaving: hasFlag(Number(flags), leavingFlag),
    role: hasFlag(Number(flags), watcherFlag) ? 'watcher' : 'reader',
    isStoreReachable: hasFlag(Number(flags), reachableFlag),
    news: news ?? undefined,
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
  if (row.length === updateLength) return { kind: 'update', update };
  const [vm, address, dataCentre, ageMs, levels] = row.slice(updateLength) as unknown[];
  if (row.length !== wholeLength || typeof vm !== 'string' || typeof address !== 'string')
    return undefined;
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(address)) return undefined;
  if (typeof dataCentre !== 'string') return undefined;
  if (typeof ageMs !== 'number' || !Number.isFinite(ageMs)) return undefined;
  if (levels !== null && !areLevels(levels)) return undefined;
  return {
    kind: 'whole',
    message: { ...update, vm, address, dataCentre, ageMs, levels: levels ?? undefined },
  };
};
