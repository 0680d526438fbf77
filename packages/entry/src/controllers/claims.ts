import { randomBytes } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type {
  ClaimReply,
  ClaimOutcome,
  ClaimOperation,
} from '@hemlocksill/claims/claim-operations.js';
import {
  getClaimShard,
  type ClaimEntry,
  type StoredResponse,
} from '@hemlocksill/claims/claim-record.js';
import { makeClaimShard, type ClaimShard } from '@hemlocksill/claims/claim-shard.js';
import { refuseStoreUnavailable } from '@hemlocksill/errors/refusals.js';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import type { StoreKeys } from '@hemlocksill/revisions/store-keys.js';
import type { Store, StoreFault } from '@hemlocksill/types/ports.js';
import type { Refusal } from '@hemlocksill/types/requests.js';
import { readClock, sleepUntil } from '../clock.js';
import type { LogEvent } from '../events.js';
import { answerSchema, claimAnswerSchema, operationSchema } from './claim-messages.js';
import type { Membership } from './membership.js';

const callTimeoutMs = 3_000;
const askTimeoutMs = 500;
const noteRetryMs = 500;
const noteGiveUpMs = 600_000;
const storeRetryAfterMs = 2_000;

/** What became of an idempotency key. */
export type ClaimResult =
  /** This attempt, and no other, may send the request. */
  | { readonly kind: 'granted'; readonly attempt: string }
  | { readonly kind: 'answered'; readonly answer: StoredResponse }
  | { readonly kind: 'other-request' }
  | { readonly kind: 'in-progress' }
  | { readonly kind: 'outcome-unknown' };

/** At-most-once claims over all VMs. */
export interface Claims {
  readonly take: (id: string, fingerprint: string) => Promise<Result<ClaimResult, Refusal>>;
  /** Records how a granted attempt ended. */
  readonly recordOutcome: (
    id: string,
    attempt: string,
    state: ClaimOutcome['state'],
    answer?: StoredResponse,
  ) => void;
  /** Notes that are not yet in the store. */
  readonly countPendingOutcomes: () => number;
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

/** What the claims controller needs. */
export interface ClaimsOptions {
  readonly store: Store;
  readonly keys: StoreKeys;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly retentionMs: () => number;
  readonly logEvent: LogEvent;
}

type AttemptState = 'running' | ClaimOutcome['state'];

const attemptSchema = z.object({
  state: z.enum(['running', 'done', 'unknown', 'abandoned', 'not-here']),
  answer: answerSchema.optional(),
});
type AttemptAnswer = z.output<typeof attemptSchema>;

/** Takes and settles claims, by way of the VM that writes their shard. */
export const makeClaims = (opts: ClaimsOptions): Claims => {
  const { store, keys, membership, peers, logEvent } = opts;
  const shards = new Map<number, ClaimShard>();
  const attempts = new Map<string, { state: AttemptState; answer?: StoredResponse }>();
  let sequence = 0;
  let openNotes = 0;

  const selfId = (): string => membership.self().incarnation;

  const getShard = (shard: number): ClaimShard => {
    const known = shards.get(shard);
    if (known) return known;
    const made = makeClaimShard({
      store,
      prefix: `${keys.claims}${shard}/`,
      wallClock: Date.now,
      retentionMs: opts.retentionMs,
      makeWriteId: () => randomBytes(8).toString('hex'),
    });
    shards.set(shard, made);
    return made;
  };

  const submitHere = (id: string, op: ClaimOperation): Promise<Result<ClaimReply, StoreFault>> =>
    getShard(getClaimShard(id)).submit(op);

  const submit = async (
    id: string,
    op: ClaimOperation,
  ): Promise<Result<ClaimReply, StoreFault>> => {
    const writer = membership.findResponsible(`claims/${getClaimShard(id)}`);
    if (!writer || writer.incarnation === selfId()) return submitHere(id, op);
    const answer = await peers.call(writer.peers, 'claims.submit', op, callTimeoutMs);
    const parsed = answer.isOk() ? claimAnswerSchema.safeParse(answer.value.value) : undefined;
    if (parsed?.success) return parsed.data.kind === 'fault' ? err('unreachable') : ok(parsed.data);
    membership.suspect(writer.incarnation);
    // The same attempt may be written twice without harm.
    return submitHere(id, op);
  };

  const askWriter = async (entry: ClaimEntry): Promise<AttemptAnswer> => {
    if (entry.writer === selfId()) return attempts.get(entry.attempt) ?? { state: 'not-here' };
    const member = membership.findMember(entry.writer);
    if (!member) return { state: 'not-here' };
    const ask = { attempt: entry.attempt };
    const answer = await peers.call(member.peers, 'claims.ask', ask, askTimeoutMs);
    // Without a listener at its address the writer is gone, whatever the store lists.
    if (answer.isErr()) return { state: answer.error === 'refused' ? 'not-here' : 'running' };
    if (answer.value.from.incarnation !== entry.writer) return { state: 'not-here' };
    const parsed = attemptSchema.safeParse(answer.value.value);
    return parsed.success ? parsed.data : { state: 'running' };
  };

  const describeEnd = (state: AttemptState | 'not-here', answer?: StoredResponse): ClaimResult => {
    if (state === 'done' && answer) return { kind: 'answered', answer };
    return state === 'running' ? { kind: 'in-progress' } : { kind: 'outcome-unknown' };
  };

  const take = async (id: string, fingerprint: string): Promise<Result<ClaimResult, Refusal>> => {
    sequence += 1;
    const attempt = `${selfId()}.${sequence}`;
    attempts.set(attempt, { state: 'running' });
    const req = { id, fingerprint, writer: selfId(), attempt };
    const taken = await submit(id, { kind: 'take', req });
    if (taken.isErr()) {
      // The claim may stand in the store; it is given back when the store answers again.
      note(id, attempt, 'abandoned');
      return err(refuseStoreUnavailable('the claim could not be recorded', storeRetryAfterMs));
    }
    if (taken.value.kind === 'granted') return ok({ kind: 'granted', attempt });
    attempts.delete(attempt);
    const { entry } = taken.value;
    if (entry.fingerprint !== fingerprint) return ok({ kind: 'other-request' });
    if (entry.state !== 'claimed') return ok(describeEnd(entry.state, entry.answer));
    const end = await askWriter(entry);
    logEvent(1703, { writer: entry.writer, state: end.state });
    if (end.state !== 'abandoned') return ok(describeEnd(end.state, end.answer));
    const { writer } = entry;
    const abandoned = { id, writer, attempt: entry.attempt, state: 'abandoned' as const };
    const noted = await submit(id, { kind: 'note', note: abandoned });
    if (noted.isErr())
      return err(refuseStoreUnavailable('the claim could not be recorded', storeRetryAfterMs));
    return take(id, fingerprint);
  };

  const writeNote = async (op: ClaimOutcome): Promise<void> => {
    const deadline = readClock() + noteGiveUpMs;
    openNotes += 1;
    for (;;) {
      const written = await submit(op.id, { kind: 'note', note: op });
      if (written.isOk() || readClock() > deadline) break;
      await sleepUntil(readClock() + noteRetryMs);
    }
    openNotes -= 1;
    // A write that was given up may still arrive; the attempt must stay known meanwhile.
    const keptMs = op.state === 'abandoned' ? noteGiveUpMs : 0;
    setTimeout(() => attempts.delete(op.attempt), keptMs).unref();
  };

  const note: Claims['recordOutcome'] = (id, attempt, state, answer) => {
    attempts.set(attempt, { state, answer });
    void writeNote({ id, writer: selfId(), attempt, state, answer });
  };

  return {
    take,
    recordOutcome: note,
    countPendingOutcomes: () => openNotes,
    methods: {
      'claims.submit': async (params) => {
        const parsed = operationSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('operation expected');
        const op = parsed.data;
        const answer = await submitHere(op.kind === 'take' ? op.req.id : op.note.id, op);
        return answer.isOk() ? answer.value : { kind: 'fault' };
      },
      'claims.ask': (params) => {
        const parsed = z.object({ attempt: z.string() }).safeParse(params);
        if (!parsed.success) return throwInvalidParams('attempt expected');
        return Promise.resolve(attempts.get(parsed.data.attempt) ?? { state: 'not-here' });
      },
    },
  };
};
