import type { ClaimEntry, StoredResponse } from './claim-record.js';

/** A request to take a claim. */
export interface ClaimRequest {
  readonly id: string;
  readonly fingerprint: string;
  readonly writer: string;
  readonly attempt: string;
}

/** A note on how a claimed request ended. */
export interface ClaimOutcome {
  readonly id: string;
  readonly writer: string;
  readonly attempt: string;
  readonly state: 'done' | 'unknown' | 'abandoned';
  readonly answer?: StoredResponse;
}

/** The answer to a request for a claim. */
export type ClaimReply =
  { readonly kind: 'granted' } | { readonly kind: 'known'; readonly entry: ClaimEntry };

/** One change that waits for the next write of its shard. */
export type ClaimOperation =
  | { readonly kind: 'take'; readonly req: ClaimRequest }
  | { readonly kind: 'note'; readonly note: ClaimOutcome };

/** Result of applying operations to the open segment. */
export interface AppliedOperations {
  /** Entries of the open segment after the operations. */
  readonly entries: readonly ClaimEntry[];
  readonly replies: readonly ClaimReply[];
  readonly changed: boolean;
}

const isSameAttempt = (a: ClaimEntry, b: { writer: string; attempt: string }): boolean =>
  a.writer === b.writer && a.attempt === b.attempt;

const applyTake = (
  known: ClaimEntry | undefined,
  req: ClaimRequest,
): { answer: ClaimReply; entry?: ClaimEntry } => {
  const entry: ClaimEntry = { ...req, state: 'claimed' };
  if (!known) return { answer: { kind: 'granted' }, entry };
  // The same attempt asks again because its answer was lost.
  if (isSameAttempt(known, req) && known.state === 'claimed')
    return { answer: { kind: 'granted' } };
  if (known.state === 'abandoned' && known.fingerprint === req.fingerprint)
    return { answer: { kind: 'granted' }, entry };
  return { answer: { kind: 'known', entry: known } };
};

const applyOutcome = (
  known: ClaimEntry | undefined,
  note: ClaimOutcome,
): { answer: ClaimReply; entry?: ClaimEntry } => {
  if (!known || !isSameAttempt(known, note) || known.state !== 'claimed')
    return known ? { answer: { kind: 'known', entry: known } } : { answer: { kind: 'granted' } };
  return {
    answer: { kind: 'granted' },
    entry: { ...known, state: note.state, answer: note.answer },
  };
};

/**
 * Applies operations in order to the open segment of a shard.
 *
 * An entry of a closed segment that changes is written again to the open one: the
 * newest entry of an id counts.
 *
 * @param closed - newest entries of all closed segments by id
 *
 * @example
 * const req = { id: 'a', fingerprint: 'f', writer: 'vm-1', attempt: '1' };
 * applyOperations(new Map(), [], [{ kind: 'take', req }]).answers; // [{ kind: 'granted' }]
 */
export const applyOperations = (
  closed: ReadonlyMap<string, ClaimEntry>,
  open: readonly ClaimEntry[],
  operations: readonly ClaimOperation[],
): AppliedOperations => {
  const entries = new Map(open.map((e) => [e.id, e]));
  let changed = false;
  const answers = operations.map((op) => {
    const id = op.kind === 'take' ? op.req.id : op.note.id;
    const known = entries.get(id) ?? closed.get(id);
    const { answer, entry } =
      op.kind === 'take' ? applyTake(known, op.req) : applyOutcome(known, op.note);
    if (entry) {
      entries.set(id, entry);
      changed = true;
    }
    return answer;
  });
  return { entries: [...entries.values()], replies: answers, changed };
};
