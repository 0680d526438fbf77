import { chooseHolders } from './choose-holders.js';
import type { StreamOrigin } from './stream-origins.js';

/** Number of VMs that write the origins of streams to the store, in a fleet of any size. */
export const recorderCount = 8;

/** Period in which a recorder writes under one key, in milliseconds. */
export const slotMs = 2_000;

/** Number of rows that a recorder keeps at most; a value of the store is limited to about 1 MB. */
export const maxSlotRows = 15_000;

const millisecondsPerSecond = 1_000;

/** Where a stream began, as it is written to the store. */
export interface StreamRow {
  /** Id of the request that brought the first event. */
  readonly request: string;
  readonly origin: StreamOrigin;
  /** Time for which the caller may take the stream up, in milliseconds. */
  readonly lifeMs: number;
}

/**
 * Chooses the VM that writes the origin of a stream to the store.
 *
 * @param vms - all VMs, the one that chooses included
 * @example
 * chooseRecorder('r1', ['vm-1', 'vm-2']); // 'vm-1' or 'vm-2'
 */
export const chooseRecorder = (request: string, vms: readonly string[]): string | undefined =>
  chooseHolders(request, chooseHolders('origin-recorders', vms, recorderCount), 1)[0];

/** Returns the start of the slot that a Unix time lies in. */
export const getSlotStart = (unixNow: number): number => Math.floor(unixNow / slotMs) * slotMs;

/** Encodes rows as compact JSON: the versions once, and each row with the index of its version. */
export const encodeStreamRows = (rows: readonly StreamRow[]): string => {
  const indexes = new Map<string, number>();
  const versions: [string, string][] = [];
  const encoded = rows.map(({ request, origin: { service, softwareVersion }, lifeMs }) => {
    const key = JSON.stringify([service, softwareVersion]);
    const index = indexes.get(key) ?? versions.push([service, softwareVersion]) - 1;
    indexes.set(key, index);
    return [request, index, Math.ceil(lifeMs / millisecondsPerSecond)];
  });
  return JSON.stringify([versions, encoded]);
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/**
 * Decodes rows; those that are not valid are left out.
 *
 * @example
 * decodeStreamRows('[[["llm","v1"]],[["r1",0,9]]]')[0]?.lifeMs; // 9000
 */
export const decodeStreamRows = (text: string): StreamRow[] => {
  const fields = parseJson(text);
  if (!Array.isArray(fields)) return [];
  const [versions, rows]: readonly unknown[] = fields;
  if (!Array.isArray(versions) || !Array.isArray(rows)) return [];
  return rows.flatMap((row: unknown): StreamRow[] => {
    if (!Array.isArray(row)) return [];
    const [request, index, seconds]: readonly unknown[] = row;
    const version: unknown = typeof index === 'number' ? versions[index] : undefined;
    if (typeof request !== 'string' || typeof seconds !== 'number' || !Array.isArray(version))
      return [];
    const [service, softwareVersion]: readonly unknown[] = version;
    if (typeof service !== 'string' || typeof softwareVersion !== 'string') return [];
    if (!Number.isFinite(seconds) || seconds < 0) return [];
    const lifeMs = seconds * millisecondsPerSecond;
    return [{ request, origin: { service, softwareVersion }, lifeMs }];
  });
};
