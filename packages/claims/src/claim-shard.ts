import { err, ok, type Result } from 'neverthrow';
import { writeAndSettle } from '@hemlocksill/store/settle-write.js';
import type { Store, StoreFault } from '@hemlocksill/types/ports.js';
import { applyOperations, type ClaimReply, type ClaimOperation } from './claim-operations.js';
import {
  parseSegment,
  segmentCloseThreshold,
  type ClaimEntry,
  type Segment,
} from './claim-record.js';

/** Number of write conflicts after which a batch fails as `overloaded`. */
const maxConflicts = 6;

/** Dependencies and settings of a shard's writer. */
export interface ClaimShardOptions {
  readonly store: Store;
  /** Store key prefix of the shard's segments, ending in a slash. */
  readonly prefix: string;
  /** Wall-clock time in milliseconds. */
  readonly wallClock: () => number;
  /** Time for which a closed segment is retained, in milliseconds. */
  readonly retentionMs: () => number;
  readonly makeWriteId: () => string;
}

interface OpenSegment {
  readonly number: number;
  readonly storeRevision: number;
  readonly entries: readonly ClaimEntry[];
}

/** The shard as last read from or written to the store. */
interface CachedShard {
  /** Newest entries of all closed segments, by claim id. */
  readonly closed: Map<string, ClaimEntry>;
  /** Closed segments by number, with the time after which each may be deleted. */
  readonly closedSegments: Map<number, { deleteAfter: number; ids: string[] }>;
  open: OpenSegment;
}

interface PendingOperation {
  readonly op: ClaimOperation;
  readonly resolve: (reply: Result<ClaimReply, StoreFault>) => void;
}

/** Writes the claims of one shard and commits concurrent operations in batches. */
export interface ClaimShard {
  readonly submit: (op: ClaimOperation) => Promise<Result<ClaimReply, StoreFault>>;
}

const getSegmentKey = (prefix: string, number: number): string =>
  `${prefix}${String(number).padStart(10, '0')}`;

const loadShard = async (opts: ClaimShardOptions): Promise<Result<CachedShard, StoreFault>> => {
  const listing = await opts.store.list(opts.prefix);
  if (listing.isErr()) return err(listing.error);
  const shard: CachedShard = {
    closed: new Map(),
    closedSegments: new Map(),
    open: { number: 1, storeRevision: 0, entries: [] },
  };
  const sorted = [...listing.value.entries].sort((a, b) => (a.key < b.key ? -1 : 1));
  for (const entry of sorted) {
    const number = Number(entry.key.slice(opts.prefix.length));
    const segment = parseSegment(entry.value);
    if (segment.isErr()) return err('bad-answer');
    const { closed, deleteAfter, entries } = segment.value;
    if (closed) {
      entries.forEach((e) => shard.closed.set(e.id, e));
      shard.closedSegments.set(number, { deleteAfter, ids: entries.map((e) => e.id) });
      shard.open = { number: number + 1, storeRevision: 0, entries: [] };
    } else {
      shard.open = { number, storeRevision: entry.revision, entries };
    }
  }
  return ok(shard);
};

const assembleSegment = (
  opts: ClaimShardOptions,
  entries: readonly ClaimEntry[],
  isClosed: boolean,
): Segment => ({
  format: 1,
  closed: isClosed,
  deleteAfter: opts.wallClock() + opts.retentionMs(),
  writeId: opts.makeWriteId(),
  entries: [...entries],
});

/**
 * Creates the writer of one claim shard.
 *
 * The compare-and-swap of the open segment guarantees that a claim is granted once; having
 * a single writer per shard only avoids conflicts. Closing a segment is a compare-and-swap
 * of its key too, so that a slow writer cannot add to it after the next one was started.
 *
 * @example
 * const shard = makeClaimShard({ store, prefix: '/claims/3/', ...clock });
 * const reply = await shard.submit({ kind: 'take', req });
 */
export const makeClaimShard = (opts: ClaimShardOptions): ClaimShard => {
  let cachedShard: CachedShard | undefined;
  let pending: PendingOperation[] = [];
  let isCommitting = false;

  const closeOpenSegment = async (shard: CachedShard): Promise<Result<void, StoreFault>> => {
    const segment = assembleSegment(opts, shard.open.entries, true);
    const written = await writeAndSettle(opts.store, {
      key: getSegmentKey(opts.prefix, shard.open.number),
      expected: shard.open.storeRevision,
      value: JSON.stringify(segment),
    });
    cachedShard = undefined;
    return written.map(() => undefined);
  };

  const deleteExpiredSegments = async (shard: CachedShard): Promise<void> => {
    const now = opts.wallClock();
    for (const [number, { deleteAfter, ids }] of [...shard.closedSegments]) {
      if (deleteAfter > now) return;
      const key = getSegmentKey(opts.prefix, number);
      const entry = await opts.store.get(key);
      if (entry.isErr()) return;
      if (entry.value)
        await opts.store.cas({ key, expected: entry.value.revision, value: undefined });
      shard.closedSegments.delete(number);
      const laterIds = new Set([...shard.closedSegments.values()].flatMap((s) => s.ids));
      ids.filter((id) => !laterIds.has(id)).forEach((id) => shard.closed.delete(id));
    }
  };

  const isOpenSegmentFull = (shard: CachedShard): boolean =>
    JSON.stringify(shard.open.entries).length > segmentCloseThreshold;

  const prepareOpenSegment = async (): Promise<Result<CachedShard, StoreFault>> => {
    for (let i = 0; i < maxConflicts; i += 1) {
      const current: Result<CachedShard, StoreFault> = cachedShard
        ? ok(cachedShard)
        : await loadShard(opts);
      if (current.isErr()) return current;
      cachedShard = current.value;
      if (!isOpenSegmentFull(cachedShard)) return current;
      await deleteExpiredSegments(cachedShard);
      const closed = await closeOpenSegment(cachedShard);
      if (closed.isErr()) return err(closed.error);
    }
    return err('overloaded');
  };

  const commit = async (
    operations: readonly ClaimOperation[],
  ): Promise<Result<readonly ClaimReply[], StoreFault>> => {
    for (let i = 0; i < maxConflicts; i += 1) {
      const prepared = await prepareOpenSegment();
      if (prepared.isErr()) return err(prepared.error);
      const { closed, open } = prepared.value;
      const applied = applyOperations(closed, open.entries, operations);
      if (!applied.hasChanged) return ok(applied.replies);
      const written = await writeAndSettle(opts.store, {
        key: getSegmentKey(opts.prefix, open.number),
        expected: open.storeRevision,
        value: JSON.stringify(assembleSegment(opts, applied.entries, false)),
      });
      if (written.isErr()) {
        cachedShard = undefined;
        return err(written.error);
      }
      if (written.value.kind === 'written') {
        const { revision } = written.value;
        prepared.value.open = { ...open, storeRevision: revision, entries: applied.entries };
        return ok(applied.replies);
      }
      cachedShard = undefined;
    }
    return err('overloaded');
  };

  const commitPending = async (): Promise<void> => {
    if (isCommitting) return;
    isCommitting = true;
    while (pending.length > 0) {
      const batch = pending;
      pending = [];
      const result = await commit(batch.map((item) => item.op));
      batch.forEach((item, i) => {
        const reply = result.map((replies) => replies[i] ?? { kind: 'granted' as const });
        item.resolve(reply);
      });
    }
    isCommitting = false;
  };

  return {
    submit: (op) =>
      new Promise((resolve) => {
        pending.push({ op, resolve });
        void commitPending();
      }),
  };
};
