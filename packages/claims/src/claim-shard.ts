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

/** Conflicts with other writers after which a batch is given up. */
const maxConflicts = 6;

/** Ports and measures of a shard's writer. */
export interface ClaimShardOptions {
  readonly store: Store;
  /** Store prefix of the shard's segments, ending in a slash. */
  readonly prefix: string;
  /** Wall-clock time in milliseconds. */
  readonly wallClock: () => number;
  readonly retentionMs: () => number;
  readonly makeWriteId: () => string;
}

interface OpenSegment {
  readonly number: number;
  readonly storeRevision: number;
  readonly entries: readonly ClaimEntry[];
}

interface CachedShard {
  readonly closed: Map<string, ClaimEntry>;
  /** Closed segments with the time after which each may be deleted. */
  readonly closedSegments: Map<number, { deleteAfter: number; ids: string[] }>;
  open: OpenSegment;
}

interface PendingOperation {
  readonly op: ClaimOperation;
  readonly resolve: (answer: Result<ClaimReply, StoreFault>) => void;
}

/** Commits claims of one shard in groups. */
export interface ClaimShard {
  readonly submit: (op: ClaimOperation) => Promise<Result<ClaimReply, StoreFault>>;
}

const getSegmentKey = (prefix: string, number: number): string =>
  `${prefix}${String(number).padStart(10, '0')}`;

const loadShard = async (opts: ClaimShardOptions): Promise<Result<CachedShard, StoreFault>> => {
  const listing = await opts.store.list(opts.prefix);
  if (listing.isErr()) return err(listing.error);
  const view: CachedShard = {
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
      entries.forEach((e) => view.closed.set(e.id, e));
      view.closedSegments.set(number, { deleteAfter, ids: entries.map((e) => e.id) });
      view.open = { number: number + 1, storeRevision: 0, entries: [] };
    } else {
      view.open = { number, storeRevision: entry.revision, entries };
    }
  }
  return ok(view);
};

const assembleSegment = (
  opts: ClaimShardOptions,
  entries: readonly ClaimEntry[],
  closed: boolean,
): Segment => ({
  format: 1,
  closed,
  deleteAfter: opts.wallClock() + opts.retentionMs(),
  writeId: opts.makeWriteId(),
  entries: [...entries],
});

/**
 * Makes the writer of one shard of claims.
 *
 * The compare-and-swap of the open segment is what makes a claim unique; a single writer
 * per shard only spares conflicts. A segment is closed by a write too, so that a slow
 * writer cannot add to it after its successor was begun.
 *
 * @example
 * const shard = makeClaimShard({ store, prefix: '/claims/3/', ...clock });
 * const answer = await shard.submit({ kind: 'take', req });
 */
export const makeClaimShard = (opts: ClaimShardOptions): ClaimShard => {
  let view: CachedShard | undefined;
  let pending: PendingOperation[] = [];
  let isCommitting = false;

  const closeOpenSegment = async (from: CachedShard): Promise<Result<void, StoreFault>> => {
    const segment = assembleSegment(opts, from.open.entries, true);
    const written = await writeAndSettle(opts.store, {
      key: getSegmentKey(opts.prefix, from.open.number),
      expected: from.open.storeRevision,
      value: JSON.stringify(segment),
    });
    view = undefined;
    return written.map(() => undefined);
  };

  const deleteExpiredSegments = async (from: CachedShard): Promise<void> => {
    const now = opts.wallClock();
    for (const [number, { deleteAfter, ids }] of [...from.closedSegments]) {
      if (deleteAfter > now) return;
      const key = getSegmentKey(opts.prefix, number);
      const entry = await opts.store.get(key);
      if (entry.isErr()) return;
      if (entry.value)
        await opts.store.cas({ key, expected: entry.value.revision, value: undefined });
      from.closedSegments.delete(number);
      const later = new Set([...from.closedSegments.values()].flatMap((s) => s.ids));
      ids.filter((id) => !later.has(id)).forEach((id) => from.closed.delete(id));
    }
  };

  const isOpenSegmentFull = (from: CachedShard): boolean =>
    JSON.stringify(from.open.entries).length > segmentCloseThreshold;

  const prepareOpenSegment = async (): Promise<Result<CachedShard, StoreFault>> => {
    for (let i = 0; i < maxConflicts; i += 1) {
      const current: Result<CachedShard, StoreFault> = view ? ok(view) : await loadShard(opts);
      if (current.isErr()) return current;
      view = current.value;
      if (!isOpenSegmentFull(view)) return current;
      await deleteExpiredSegments(view);
      const closed = await closeOpenSegment(view);
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
      if (!applied.changed) return ok(applied.replies);
      const written = await writeAndSettle(opts.store, {
        key: getSegmentKey(opts.prefix, open.number),
        expected: open.storeRevision,
        value: JSON.stringify(assembleSegment(opts, applied.entries, false)),
      });
      if (written.isErr()) {
        view = undefined;
        return err(written.error);
      }
      if (written.value.kind === 'written') {
        const { revision } = written.value;
        prepared.value.open = { ...open, storeRevision: revision, entries: applied.entries };
        return ok(applied.replies);
      }
      view = undefined;
    }
    return err('overloaded');
  };

  const commitPending = async (): Promise<void> => {
    if (isCommitting) return;
    isCommitting = true;
    while (pending.length > 0) {
      const batch = pending;
      pending = [];
      const done = await commit(batch.map((w) => w.op));
      batch.forEach((w, i) => {
        const answer = done.map((answers) => answers[i] ?? { kind: 'granted' as const });
        w.resolve(answer);
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
