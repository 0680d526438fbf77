import type { Store } from '@hemlocksill/types/ports.js';
import { decodeStreamRows, type StreamRow } from '@hemlocksill/routing/stream-rows.js';
import type { RouterMetrics } from './router-metrics.js';

/** Minimum time from the start of one read to the start of the next. */
const readPeriodMs = 250;

/** Time after which rows that nobody asked for are forgotten. */
const idleMs = 5_000;

/** Dependencies of the reader. */
export interface OriginReaderDeps {
  readonly store: Store;
  /** Prefix of the keys under which all VMs write. */
  readonly prefix: string;
  readonly metrics: Pick<RouterMetrics, 'originStoreCalls'>;
  readonly now: () => number;
}

/** Finds in the store where streams began. */
export interface OriginReader {
  /**
   * Reads until the stream is known, a read that began after the call shows nothing, or the time is up.
   *
   * @param until - time until which the caller can wait
   */
  readonly find: (
    request: string,
    until: number,
    onDone: (row: StreamRow | undefined) => void,
  ) => void;
}

interface Search {
  readonly request: string;
  readonly askedAt: number;
  readonly finish: (row: StreamRow | undefined) => void;
}

/**
 * Makes the reader of a VM. All callers that wait share one listing, since they come together after a loss of
 * VMs and each listing has all rows of the last minute.
 *
 * @example
 * makeOriginReader(deps).find('r1', now() + 1_000, (row) => {});
 */
export const makeOriginReader = (deps: OriginReaderDeps): OriginReader => {
  const searches = new Set<Search>();
  let rows: ReadonlyMap<string, StreamRow> = new Map();
  let lastReadAt = Number.NEGATIVE_INFINITY;
  let isReading = false;
  let idleTimer: NodeJS.Timeout | undefined;

  const read = async (): Promise<void> => {
    const startedAt = deps.now();
    lastReadAt = startedAt;
    const listing = await deps.store.list(deps.prefix);
    deps.metrics.originStoreCalls.inc({
      call: 'read-rows',
      outcome: listing.isOk() ? 'done' : 'failed',
    });
    if (listing.isErr()) return;
    const found = listing.value.entries.flatMap(({ value }) => decodeStreamRows(value));
    rows = new Map(found.map((row) => [row.request, row]));
    clearTimeout(idleTimer);
    idleTimer = setTimeout(() => {
      rows = new Map();
    }, idleMs).unref();
    searches.forEach((search) => {
      const row = rows.get(search.request);
      if (row || startedAt >= search.askedAt) search.finish(row);
    });
  };

  const schedule = (): void => {
    if (isReading) return;
    isReading = true;
    const run = async (): Promise<void> => {
      if (searches.size > 0) await read();
      isReading = false;
      if (searches.size > 0) schedule();
    };
    const waitMs = Math.max(0, lastReadAt + readPeriodMs - deps.now());
    setTimeout(() => void run(), waitMs);
  };

  return {
    find: (request, until, onDone) => {
      const known = rows.get(request);
      if (known) {
        onDone(known);
        return;
      }
      const search: Search = {
        request,
        askedAt: deps.now(),
        finish: (row) => {
          if (!searches.delete(search)) return;
          clearTimeout(timer);
          onDone(row);
        },
      };
      const timer = setTimeout(() => search.finish(undefined), Math.max(0, until - deps.now()));
      searches.add(search);
      schedule();
    },
  };
};
