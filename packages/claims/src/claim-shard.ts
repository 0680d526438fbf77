import { err, ok, type Result } from 'neverthrow';
import { writeAndSettle } from '@hemlocksill/store/settle-write.js';
import type { Store, StoreFault } from '@hemlocksill/types/ports.js';
import { applyOperations, type ClaimAnswer, type ClaimOperation } from './claim-book.js';
import { readSegment, segmentLimit, type ClaimEntry, type Segment } from './claim-record.js';

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

interface ShardView {
  readonly closed: Map<string, ClaimEntry>;
  /** Closed segments with the time after which each may be deleted. */
  readonly closedSegments: Map<number, { deleteAfter: number; ids: string[] }>;
  open: OpenSegment;
}

interface Waiting {
  readonly op: ClaimOperation;
  readonly resolve: (answer: Result<ClaimAnswer, StoreFault>) => void;
}

/** Commits claims of one shard in groups. */
export interface ClaimShard {
  readonly submit: (op: ClaimOperation) => Promise<Result<ClaimAnswer, StoreFault>>;
}

const segmentKey = (prefix: string, number: number): string =>
  `${prefix}${String(number).padStart(10, '0')}`;

const readView = async (opts: ClaimShardOptions): Promise<Result<ShardView, StoreFault>> => {
  const listing = await opts.store.list(opts.prefix);
  if (listing.isErr()) return err(listing.error);
  const view: ShardView = {
    closed: new Map(),
    closedSegments: new Map(),
    open: { number: 1, storeRevision: 0, entries: [] },
  };
  const sorted = [...listing.value.entries].sort((a, b) => (a.key < b.key ? -1 : 1));
  for (const entry of sorted) {
    const number = Number(entry.key.slice(opts.prefix.length));
    const segment = readSegment(entry.value);
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
  let view: ShardView | undefined;
  let waiting: Waiting[] = [];
  let busy = false;

  const closeOpen = async (from: ShardView): Promise<Result<void, StoreFault>> => {
    const segment = assembleSegment(opts, from.open.entries, true);
    const written = await writeAndSettle(opts.store, {
      key: segmentKey(opts.prefix, from.open.number),
      expected: from.open.storeRevision,
      value: JSON.stringify(segment),
    });
    view = undefined;
    return written.map(() => undefined);
  };

  const dropOldSegments = async (from: ShardView): Promise<void> => {
    const now = opts.wallClock();
    for (const [number, { deleteAfter, ids }] of [...from.closedSegments]) {
      if (deleteAfter > now) return;
      const key = segmentKey(opts.prefix, number);
      const entry = await opts.store.get(key);
      if (entry.isErr()) return;
      if (entry.value)
        await opts.store.cas({ key, expected: entry.value.revision, value: undefined });
      from.closedSegments.delete(number);
      const later = new Set([...from.closedSegments.values()].flatMap((s) => s.ids));
      ids.filter((id) => !later.has(id)).forEach((id) => from.closed.delete(id));
    }
  };

  const isOpenFull = (from: ShardView): boolean =>
    JSON.stringify(from.open.entries).length > segmentLimit;

  const prepareView = async (): Promise<Result<ShardView, StoreFault>> => {
    for (let i = 0; i < maxConflicts; i += 1) {
      const current: Result<ShardView, StoreFault> = view ? ok(view) : await readView(opts);
      if (current.isErr()) return current;
      view = current.value;
      if (!isOpenFull(view)) return current;
      await dropOldSegments(view);
      const closed = await closeOpen(view);
      if (closed.isErr()) return err(closed.error);
    }
    return err('overloaded');
  };

  const commit = async (
    operations: readonly ClaimOperation[],
  ): Promise<Result<readonly ClaimAnswer[], StoreFault>> => {
    for (let i = 0; i < maxConflicts; i += 1) {
      const prepared = await prepareView();
      if (prepared.isErr()) return err(prepared.error);
      const { closed, open } = prepared.value;
      const applied = applyOperations(closed, open.entries, operations);
      if (!applied.changed) return ok(applied.answers);
      const written = await writeAndSettle(opts.store, {
        key: segmentKey(opts.prefix, open.number),
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
        return ok(applied.answers);
      }
      view = undefined;
    }
    return err('overloaded');
  };

  const run = async (): Promise<void> => {
    if (busy) return;
    busy = true;
    while (waiting.length > 0) {
      const batch = waiting;
      waiting = [];
      const done = await commit(batch.map((w) => w.op));
      batch.forEach((w, i) => {
        const answer = done.map((answers) => answers[i] ?? { kind: 'granted' as const });
        w.resolve(answer);
      });
    }
    busy = false;
  };

  return {
    submit: (op) =>
      new Promise((resolve) => {
        waiting.push({ op, resolve });
        void run();
      }),
  };
};
