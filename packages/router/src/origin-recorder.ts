import type { Store } from '@hemlocksill/types/ports.js';
import type { StreamOrigin } from '@hemlocksill/routing/stream-origins.js';
import {
  decodeStreamRows,
  encodeStreamRows,
  getSlotStart,
  maxSlotRows,
  type StreamRow,
} from '@hemlocksill/routing/stream-rows.js';
import type { LogRouterEvent } from './events.js';
import type { RouterMetrics } from './router-metrics.js';

/** Minimum interval between two writes; the first row after a pause is written at once. */
const writePeriodMs = 150;

/** Lease of a slot's key, the time for which a stream may be taken up. */
const rowTtlMs = 60_000;

/** Dependencies of the recorder. */
export interface OriginRecorderDeps {
  readonly store: Store;
  /** Prefix of the keys under which all VMs write. */
  readonly prefix: string;
  readonly vm: string;
  readonly log: LogRouterEvent;
  readonly metrics: Pick<RouterMetrics, 'originStoreCalls'>;
  readonly now: () => number;
  /** Unix time in milliseconds. */
  readonly unixNow: () => number;
}

/** Writes where streams began, for all VMs that chose this one. */
export interface OriginRecorder {
  /** Adds a stream that its caller may take up until a time of the monotonic clock. */
  readonly add: (request: string, origin: StreamOrigin, expiresAt: number) => void;
}

interface HeldRow {
  readonly origin: StreamOrigin;
  readonly expiresAt: number;
}

interface Slot {
  readonly start: number;
  /** Rows that the value under the key of the slot has. */
  written: ReadonlyMap<string, HeldRow>;
  /** Revision of that value, 0 before the first write. */
  revision: number;
  leaseId: string | undefined;
}

/**
 * Makes the recorder of a VM. It rewrites one key for the duration of a slot, so the number of keys and
 * writes doesn't depend on the number of streams. What a failed write had is part of the next one.
 *
 * @example
 * makeOriginRecorder(deps).add('r1', { service: 'llm', softwareVersion: 'v1' }, now() + 9_000);
 */
export const makeOriginRecorder = (deps: OriginRecorderDeps): OriginRecorder => {
  /** Rows that no acknowledged write has. */
  const unwritten = new Map<string, HeldRow>();
  let slot: Slot | undefined;
  let isScheduled = false;
  let nextWriteAt = 0;
  let isFailing = false;

  const listRows = (rows: ReadonlyMap<string, HeldRow>): StreamRow[] =>
    [...rows].flatMap(([request, { origin, expiresAt }]) => {
      const lifeMs = expiresAt - deps.now();
      return lifeMs > 0 ? [{ request, origin, lifeMs }] : [];
    });

  const openSlot = (): Slot => {
    const start = getSlotStart(deps.unixNow());
    if (slot?.start === start) return slot;
    slot = { start, written: new Map(), revision: 0, leaseId: undefined };
    return slot;
  };

  /** Keeps the rows of a value that this process didn't write, or wrote without an answer. */
  const adoptValue = (current: Slot, value: string): void => {
    const rows = new Map(current.written);
    decodeStreamRows(value).forEach(({ request, origin, lifeMs }) => {
      if (!rows.has(request)) rows.set(request, { origin, expiresAt: deps.now() + lifeMs });
    });
    current.written = rows;
  };

  const recordOutcome = (outcome: string, reason?: string): void => {
    deps.metrics.originStoreCalls.inc({ call: 'write-rows', outcome });
    const fails = reason !== undefined;
    if (fails && !isFailing) deps.log(2604, { rows: unwritten.size, reason });
    isFailing = fails;
  };

  const write = async (): Promise<void> => {
    const current = openSlot();
    if (current.leaseId === undefined) {
      const lease = await deps.store.grantLease(rowTtlMs);
      if (lease.isErr()) {
        recordOutcome('failed', lease.error);
        return;
      }
      current.leaseId = lease.value;
    }
    const batch = new Map(unwritten);
    const rows = new Map([...current.written, ...batch]);
    const written = await deps.store.cas({
      key: `${deps.prefix}${deps.vm}/${current.start}`,
      expected: current.revision,
      value: encodeStreamRows(listRows(rows)),
      leaseId: current.leaseId,
    });
    if (written.isErr()) {
      if (written.error === 'lease-gone') current.leaseId = undefined;
      recordOutcome('failed', written.error);
      return;
    }
    if (written.value.kind === 'conflict') {
      recordOutcome('conflict');
      current.revision = written.value.current?.revision ?? 0;
      if (written.value.current) adoptValue(current, written.value.current.value);
      return;
    }
    recordOutcome('done');
    current.revision = written.value.revision;
    current.written = rows;
    batch.forEach((_, request) => unwritten.delete(request));
  };

  const dropExpired = (): void =>
    unwritten.forEach(({ expiresAt }, request) => {
      if (expiresAt <= deps.now()) unwritten.delete(request);
    });

  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    const run = async (): Promise<void> => {
      dropExpired();
      if (unwritten.size > 0) await write();
      nextWriteAt = deps.now() + writePeriodMs;
      isScheduled = false;
      if (unwritten.size > 0) schedule();
    };
    setTimeout(() => void run(), Math.max(0, nextWriteAt - deps.now())).unref();
  };

  return {
    add: (request, origin, expiresAt) => {
      unwritten.set(request, { origin, expiresAt });
      const [oldest] = unwritten.keys();
      if (unwritten.size > maxSlotRows && oldest !== undefined) unwritten.delete(oldest);
      schedule();
    },
  };
};
