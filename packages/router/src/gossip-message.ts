import type { LoadRows } from '@hemlocksill/routing/engine-ledger.js';
import type { AdmittedTotals } from '@hemlocksill/routing/fleet-quota.js';
import type { SeenRevisions } from './view-controller.js';

/** What a VM tells the others about itself; a newer one replaces all before it. */
export interface GossipMessage {
  readonly vm: string;
  /** Names one run of the process. */
  readonly incarnation: string;
  readonly sequence: number;
  /** Address of the VM's peer interface, as IP:port. */
  readonly address: string;
  readonly seen: SeenRevisions;
  readonly loads: LoadRows;
  readonly admitted: AdmittedTotals;
  /** Tokens of streams that wait at the VM, by service. */
  readonly waiting: Readonly<Record<string, number>>;
  /** Whether the process is about to end. */
  readonly isLeaving: boolean;
}

type Row = [
  string,
  string,
  number,
  string,
  number,
  number,
  LoadRows,
  AdmittedTotals,
  Record<string, number>,
  number,
];

/** Encodes a message; fields go by position, since it is sent many times a second. */
export const encodeGossip = (m: GossipMessage): Buffer =>
  Buffer.from(
    JSON.stringify([
      m.vm,
      m.incarnation,
      m.sequence,
      m.address,
      m.seen.config,
      m.seen.servers,
      m.loads,
      m.admitted,
      m.waiting,
      m.isLeaving ? 1 : 0,
    ]),
  );

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const areNumbers = (value: unknown): value is Record<string, number> =>
  isRecord(value) && Object.values(value).every((n) => typeof n === 'number' && Number.isFinite(n));

const areLoads = (value: unknown): value is LoadRows =>
  isRecord(value) &&
  Object.values(value).every(
    (row) => Array.isArray(row) && row.length === 3 && row.every((n) => Number.isFinite(n)),
  );

const isRow = (row: unknown): row is Row =>
  Array.isArray(row) &&
  row.length === 10 &&
  typeof row[0] === 'string' &&
  typeof row[1] === 'string' &&
  Number.isFinite(row[2]) &&
  typeof row[3] === 'string' &&
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(row[3]) &&
  Number.isFinite(row[4]) &&
  Number.isFinite(row[5]) &&
  areLoads(row[6]) &&
  areNumbers(row[7]) &&
  areNumbers(row[8]) &&
  Number.isFinite(row[9]);

/**
 * Decodes a message; undefined where the bytes are none.
 *
 * @example
 * decodeGossip(Buffer.from('x')); // undefined
 */
export const decodeGossip = (bytes: Buffer): GossipMessage | undefined => {
  let row: unknown;
  try {
    row = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  if (!isRow(row)) return undefined;
  return {
    vm: row[0],
    incarnation: row[1],
    sequence: row[2],
    address: row[3],
    seen: { config: row[4], servers: row[5] },
    loads: row[6],
    admitted: row[7],
    waiting: row[8],
    isLeaving: row[9] !== 0,
  };
};
