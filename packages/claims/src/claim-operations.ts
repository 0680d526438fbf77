import type { ClaimEntry, StoredResponse } from './claim-record.js';

/** A request to take a claim. */
export interface ClaimRequest {
  readonly id: string;
  readonly fingerprint: string;
  readonly writer: string;
  readonly attempt: string;
}

/** Reports how a claimed request ended. */
export interface ClaimOutcome {
  readonly id: string;
  readonly writer: string;
  readonly attempt: string;
  readonly state: 'done' | 'unknown' | 'abandoned';
  readonly answer?: StoredResponse;
}

/** The reply to a claim operation; `known` carries the entry that already exists. */
export type ClaimReply =
  { readonly kind: 'granted' } | { readonly kind: 'known'; readonly entry: ClaimEntry };

/** An operation on a claim, committed with the next write of its shard. */
export type ClaimOperation =
  | { readonly kind: 'take'; readonly req: ClaimRequest }
  | { readonly kind: 'note'; readonly note: ClaimOutcome };

/** Result of applying operations to the open segment of a shard. */
export interface AppliedOperations {
  /** Entries of the open segment after the operations. */
  readonly entries: readonly ClaimEntry[];
  /** One reply per operation, in the same order. */
  readonly replies: readonly ClaimReply[];
  readonly hasChanged: boolean;
}

const isSameAttempt = (a: ClaimEntry, b: { writer: string; attempt: string }): boolean =>
  a.writer === b.writer && a.attempt === b.attempt;

const applyTake = (
  existing: ClaimEntry | undefined,
  req: ClaimRequest,
): { reply: ClaimReply; entry?: ClaimEntry } => {
  const entry: ClaimEntry = { ...req, state: 'claimed' };
  if (!existing) return { reply: { kind: 'granted' }, entry };
  // The same attempt retries because the reply to its first request was lost.
  if (isSameAttempt(existing, req) && existing.state === 'claimed')
    return { reply: { kind: 'granted' } };
  if (existing.state === 'abandoned' && existing.fingerprint === req.fingerprint)
    return { reply: { kind: 'granted' }, entry };
  return { reply: { kind: 'known', entry: existing } };
};

const applyOutcome = (
  existing: ClaimEntry | undefined,
  outcome: ClaimOutcome,
): { reply: ClaimReply; entry?: ClaimEntry } => {
  if (!existing || !isSameAttempt(existing, outcome) || existing.state !== 'claimed')
    return existing
      ? { reply: { kind: 'known', entry: existing } }
      : { reply: { kind: 'granted' } };
  return {
    reply: { kind: 'granted' },
    entry: { ...existing, state: outcome.state, answer: outcome.answer },
  };
};

/**
 * Applies operations in order to the open segment of a shard.
 *
 * Closed segments are immutable. When an operation changes an entry of a closed segment,
 * the changed entry is written to the open segment; the newest entry of an id applies.
 *
 * @param closed - the newest entries of all closed segments, by id
 * @param open - the entries of the open segment
 *
 * @example
 * const req = { id: 'a', fingerprint: 'f', writer: 'vm-1', attempt: '1' };
 * applyOperations(new Map(), [], [{ kind: 'take', req }]).replies; // [{ kind: 'granted' }]
 */
export const applyOperations = (
  closed: ReadonlyMap<string, ClaimEntry>,
  open: readonly ClaimEntry[],
  operations: readonly ClaimOperation[],
): AppliedOperations => {
  const entries = new Map(open.map((e) => [e.id, e]));
  let hasChanged = false;
  const replies = operations.map((op) => {
    const id = op.kind === 'take' ? op.req.id : op.note.id;
    const existing = entries.get(id) ?? closed.get(id);
    const { reply, entry } =
      op.kind === 'take' ? applyTake(existing, op.req) : applyOutcome(existing, op.note);
    if (entry) {
      entries.set(id, entry);
      hasChanged = true;
    }
    return reply;
  });
  return { entries: [...entries.values()], replies, hasChanged };
};
