import type { Store, StoreEntry } from '@hemlocksill/types/ports.js';
import { getStoreEra } from '@hemlocksill/types/store-revision.js';
import type { VersionHistory } from '@hemlocksill/routing/version-history.js';
import {
  decodeVersionRecord,
  encodeVersionRecord,
  isRecordChanged,
  isVersionRecorded,
  mergeVersions,
  readVersionRecord,
  type OwnVersions,
  type VersionRecord,
} from '@hemlocksill/routing/version-record.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** Interval between attempts to read while a caller waits, or to write. */
const retryMs = 250;

/** Maximum interval between attempts to read while nobody waits; hundreds of VMs may try. */
const maxReadDelayMs = 4_000;

/** Time after which a VM that has not heard of the record of a listed version reads it, doubled each time. */
const missedMs = 1_000;
const maxMissedMs = 32_000;

/** Dependencies of the keeper. */
export interface VersionKeeperDeps {
  readonly store: Store;
  readonly key: string;
  /** Whether this VM writes the record. */
  readonly isFirst: () => boolean;
  /** Whether this VM has the list of backend servers. */
  readonly isListComplete: () => boolean;
  /** Newest revision of the store that this VM has seen. */
  readonly getSeenRevision: () => number;
  readonly history: VersionHistory;
  /** Called when the history has what the record says. */
  readonly onAdopted: () => void;
  /** Tells all VMs what the store has acknowledged. */
  readonly broadcast: (revision: number, value: string) => void;
  readonly log: LogRouterEvent;
  readonly metrics: Pick<RouterMetrics, 'originStoreCalls'>;
  readonly now: () => number;
  /** Unix time in milliseconds. */
  readonly unixNow: () => number;
}

/** Keeps the record of software versions in the store, and what this VM knows of it. */
export interface VersionKeeper {
  /** Reads the record after the start, and writes it if that is due. */
  readonly tick: () => void;
  /** Calls back when the record has been read, or at a time of the monotonic clock. */
  readonly awaitRead: (until: number, onDone: () => void) => void;
  /** Whether the store has acknowledged that a version is in service. */
  readonly isRecorded: (service: string, softwareVersion: string) => boolean;
  /** Takes over what another VM was told by the store. */
  readonly onPeerRecord: (revision: number, value: string) => void;
}

/** The record as the store holds it; the value is undefined if it is not valid or missing. */
interface KnownRecord {
  readonly revision: number;
  readonly record: VersionRecord | undefined;
}

/**
 * Makes the keeper of a VM. The record is read after the list of servers, so that a version which is gone
 * from the list by then is in the record, if it was ever recorded.
 *
 * A write is a compare-and-swap of the record that it was made from, so that of two VMs that write at once one has
 * to read what the other wrote. A write without an answer may have succeeded, so the record is read again.
 *
 * @example
 * const keeper = makeVersionKeeper(deps);
 * keeper.tick();
 */
export const makeVersionKeeper = (deps: VersionKeeperDeps): VersionKeeper => {
  const { history, now, unixNow } = deps;
  const waiting = new Set<() => void>();
  let known: KnownRecord = { revision: 0, record: undefined };
  let hasRead = false;
  let mustReadBack = false;
  let isBusy = false;
  let nextAttemptAt = Number.NEGATIVE_INFINITY;
  let readDelayMs = retryMs;
  /** Time of the next read because of a listed version that the known record lacks. */
  let missedReadAt: number | undefined;
  let missedDelayMs = missedMs;

  const getEra = (): number => getStoreEra(Math.max(deps.getSeenRevision(), known.revision));

  const remember = (entry: StoreEntry | undefined): void => {
    known = {
      revision: entry?.revision ?? 0,
      record: entry && decodeVersionRecord(entry.value),
    };
  };

  const adopt = (): void => {
    hasRead = true;
    const { record, revision } = known;
    if (record) {
      const read = readVersionRecord(record, getStoreEra(revision), unixNow(), now());
      history.adopt(read.versions, read.since);
    }
    deps.log(2601, {
      revision,
      versions: record?.versions.length ?? 0,
      isComplete: record?.era === getStoreEra(revision),
    });
    deps.onAdopted();
    waiting.forEach((finish) => finish());
  };

  const recordOutcome = (call: string, outcome: string): void =>
    deps.metrics.originStoreCalls.inc({ call, outcome });

  const read = async (): Promise<void> => {
    const result = await deps.store.get(deps.key);
    recordOutcome('read-versions', result.isOk() ? 'done' : 'failed');
    if (result.isErr()) {
      readDelayMs = waiting.size > 0 ? retryMs : Math.min(maxReadDelayMs, readDelayMs * 2);
      nextAttemptAt = now() + readDelayMs * (0.5 + Math.random() / 2);
      return;
    }
    readDelayMs = retryMs;
    mustReadBack = false;
    remember(result.value);
    if (!hasRead) adopt();
  };

  const getOwn = (): OwnVersions => {
    const offset = unixNow() - now();
    const knownSince = history.getKnownSince();
    return {
      completeSince: Number.isFinite(knownSince) ? Math.round(knownSince + offset) : 0,
      versions: history.list(now()).map((version) => ({
        ...version,
        goneAt: version.goneAt === null ? null : Math.round(version.goneAt + offset),
      })),
    };
  };

  const write = async (next: VersionRecord): Promise<void> => {
    nextAttemptAt = now() + retryMs;
    const value = encodeVersionRecord(next);
    const result = await deps.store.cas({ key: deps.key, expected: known.revision, value });
    if (result.isErr()) {
      recordOutcome('write-versions', 'failed');
      deps.log(2603, { reason: result.error });
      mustReadBack = true;
      return;
    }
    if (result.value.kind === 'conflict') {
      recordOutcome('write-versions', 'conflict');
      remember(result.value.current);
      return;
    }
    recordOutcome('write-versions', 'done');
    const { revision } = result.value;
    known = { revision, record: next };
    deps.log(2602, { revision, versions: next.versions.length });
    deps.broadcast(revision, value);
  };

  const run = async (task: Promise<void>): Promise<void> => {
    isBusy = true;
    await task;
    isBusy = false;
  };

  /** Whether the record that another VM wrote has not been heard of for some time. */
  const hasMissed = (): boolean => {
    const isMissing = history
      .list(now())
      .some(
        ({ service, softwareVersion, goneAt }) =>
          goneAt === null && !isVersionRecorded(known.record, service, softwareVersion),
      );
    if (!isMissing) {
      missedReadAt = undefined;
      missedDelayMs = missedMs;
      return false;
    }
    missedReadAt ??= now() + missedDelayMs;
    if (now() < missedReadAt) return false;
    // Hundreds of VMs would go on to read while nobody can write.
    missedDelayMs = Math.min(maxMissedMs, missedDelayMs * 2);
    missedReadAt = now() + missedDelayMs * (0.5 + Math.random() / 2);
    return true;
  };

  return {
    tick: () => {
      if (isBusy || now() < nextAttemptAt || !deps.isListComplete()) return;
      if (!hasRead) {
        void run(read());
        return;
      }
      if (!deps.isFirst()) {
        if (hasMissed()) void run(read());
        return;
      }
      if (mustReadBack) {
        void run(read());
        return;
      }
      const next = mergeVersions(known.record, getOwn(), getEra(), unixNow());
      if (isRecordChanged(known.record, next)) void run(write(next));
    },
    awaitRead: (until, onDone) => {
      if (hasRead) {
        onDone();
        return;
      }
      const finish = (): void => {
        if (!waiting.delete(finish)) return;
        clearTimeout(timer);
        onDone();
      };
      const timer = setTimeout(finish, Math.max(0, until - now()));
      waiting.add(finish);
      nextAttemptAt = Math.min(nextAttemptAt, now() + retryMs);
    },
    isRecorded: (service, softwareVersion) =>
      isVersionRecorded(known.record, service, softwareVersion),
    onPeerRecord: (revision, value) => {
      if (!hasRead || revision <= known.revision) return;
      remember({ key: deps.key, value, revision });
    },
  };
};
