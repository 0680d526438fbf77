import type { ServiceVersion } from './version-history.js';

/** Difference that the clocks of two VMs may have, or a clock may jump by, in milliseconds. */
export const clockMarginMs = 10_000;

/** Time for which a version that is gone stays in the record; more than it can count by any clock. */
const retentionMs = 120_000;

/** The software versions of all services as one VM writes them to the store; times are Unix milliseconds. */
export interface VersionRecord {
  /** Era of the store in which it was written. */
  readonly era: number;
  /** Time since which no version is missing; 0 if no stream can have begun before. */
  readonly completeSince: number;
  readonly versions: readonly ServiceVersion[];
}

/** What the writer of the record knows itself. */
export type OwnVersions = Pick<VersionRecord, 'completeSince' | 'versions'>;

const findVersion = (
  versions: readonly ServiceVersion[],
  { service, softwareVersion }: Omit<ServiceVersion, 'goneAt'>,
): ServiceVersion | undefined =>
  versions.find(
    (version) => version.service === service && version.softwareVersion === softwareVersion,
  );

/** Encodes a record as JSON. */
export const encodeVersionRecord = ({ era, completeSince, versions }: VersionRecord): string =>
  JSON.stringify([
    era,
    completeSince,
    versions.map(({ service, softwareVersion, goneAt }) => [service, softwareVersion, goneAt]),
  ]);

const isTime = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

const decodeVersion = (row: unknown): ServiceVersion | undefined => {
  if (!Array.isArray(row)) return undefined;
  const [service, softwareVersion, goneAt]: readonly unknown[] = row;
  if (typeof service !== 'string' || typeof softwareVersion !== 'string') return undefined;
  return goneAt === null || isTime(goneAt) ? { service, softwareVersion, goneAt } : undefined;
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/**
 * Decodes a record; undefined if any part of it is not valid, since a version that is left out would be
 * taken as never seen.
 *
 * @example
 * decodeVersionRecord('[0,0,[["llm","v1",null]]]')?.versions.length; // 1
 */
export const decodeVersionRecord = (text: string): VersionRecord | undefined => {
  const fields = parseJson(text);
  if (!Array.isArray(fields)) return undefined;
  const [era, completeSince, rows]: readonly unknown[] = fields;
  if (!isTime(era) || !isTime(completeSince) || !Array.isArray(rows)) return undefined;
  const versions = rows.map(decodeVersion);
  return versions.every((version) => version !== undefined)
    ? { era, completeSince, versions }
    : undefined;
};

/**
 * Adds what a VM knows to the record that it read. Versions that are in the record but not listed count as
 * gone from now. A record of an earlier era may lack versions, so it doesn't extend what the VM knows.
 *
 * @param era - present era of the store
 * @param now - Unix time
 * @example
 * mergeVersions(undefined, { completeSince: 0, versions: [] }, 0, Date.now());
 */
export const mergeVersions = (
  read: VersionRecord | undefined,
  own: OwnVersions,
  era: number,
  now: number,
): VersionRecord => {
  const merged = own.versions.map((version): ServiceVersion => {
    const earlier = read && findVersion(read.versions, version);
    if (version.goneAt === null || !earlier || earlier.goneAt === null) return version;
    return { ...version, goneAt: Math.max(version.goneAt, earlier.goneAt) };
  });
  const others = (read?.versions ?? [])
    .filter((version) => !findVersion(own.versions, version))
    .map((version) => ({ ...version, goneAt: version.goneAt ?? now }))
    .filter(({ goneAt }) => now - goneAt < retentionMs);
  return {
    era,
    completeSince:
      read?.era === era ? Math.min(read.completeSince, own.completeSince) : own.completeSince,
    versions: [...merged, ...others],
  };
};

/**
 * Whether a record has to be written in place of the one in the store. Times alone are no reason: they
 * differ by some milliseconds between VMs.
 */
export const isRecordChanged = (
  written: VersionRecord | undefined,
  next: VersionRecord,
): boolean => {
  if (written?.era !== next.era) return true;
  if (next.completeSince < written.completeSince - clockMarginMs) return true;
  return next.versions.some((version) => {
    const earlier = findVersion(written.versions, version);
    return !earlier || (earlier.goneAt === null) !== (version.goneAt === null);
  });
};

/** Whether a version is recorded as one that is in service. */
export const isVersionRecorded = (
  record: VersionRecord | undefined,
  service: string,
  softwareVersion: string,
): boolean =>
  record !== undefined &&
  findVersion(record.versions, { service, softwareVersion })?.goneAt === null;

/**
 * Converts what a record says to the clock of a VM that reads it. Each time is shifted by the margin for
 * clocks to the side on which more counts as unknown.
 *
 * @param storeEra - era of the store when the record was read
 * @param unixNow - Unix time of the reader
 * @param now - time of the reader's monotonic clock
 */
export const readVersionRecord = (
  record: VersionRecord,
  storeEra: number,
  unixNow: number,
  now: number,
): { readonly versions: readonly ServiceVersion[]; readonly since: number } => {
  const toMonotonic = (time: number): number =>
    Math.min(now, now - (unixNow - time) + clockMarginMs);
  const completeSince =
    record.completeSince === 0 ? Number.NEGATIVE_INFINITY : toMonotonic(record.completeSince);
  return {
    versions: record.versions.map((version) => ({
      ...version,
      goneAt: version.goneAt === null ? null : toMonotonic(version.goneAt),
    })),
    since: record.era === storeEra ? completeSince : Number.POSITIVE_INFINITY,
  };
};
