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
import { claimReplySchema, operationSchema, responseSchema } from './claim-messages.js';
import type { Membership } from './membership.js';

const callTimeoutMs = 3_000;
const queryTimeoutMs = 500;
const recordRetryDelayMs = 500;
const recordTimeoutMs = 600_000;
const storeRetryAfterMs = 2_000;

/** Result of claiming an idempotency key. */
export type ClaimResult =
  /** Only this attempt may send the request. */
  | { readonly kind: 'granted'; readonly attempt: string }
  | { readonly kind: 'answered'; readonly answer: StoredResponse }
  | { readonly kind: 'other-request' }
  | { readonly kind: 'in-progress' }
  | { readonly kind: 'outcome-unknown' };

/** At-most-once claims of idempotency keys across all VMs. */
export interface Claims {
  readonly take: (id: string, fingerprint: string) => Promise<Result<ClaimResult, Refusal>>;
  /** Records how a granted attempt ended. */
  readonly recordOutcome: (
    id: string,
    attempt: string,
    state: ClaimOutcome['state'],
    answer?: StoredResponse,
  ) => void;
  /** Number of outcomes that are not in the store yet. */
  readonly countPendingOutcomes: () => number;
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

/** Dependencies of the claims controller. */
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
  answer: responseSchema.optional(),
});
type AttemptReply = z.output<typeof attemptSchema>;

/** Takes and settles claims through the VM that is responsible for their shard. */
export const makeClaims = (opts: ClaimsOptions): Claims => {
  const { store, keys, membership, peers, logEvent } = opts;
  const shards = new Map<number, ClaimShard>();
  const attempts = new Map<string, { state: AttemptState; answer?: StoredResponse }>();
  let lastAttemptNumber = 0;
  let pendingOutcomeCount = 0;

  const selfId = (): string => membership.self().incarnation;

  const getShard = (shard: number): ClaimShard => {
    const existing = shards.get(shard);
    if (existing) return existing;
    const newShard = makeClaimShard({
      store,
      prefix: `${keys.claims}${shard}/`,
      wallClock: Date.now,
      retentionMs: opts.retentionMs,
      makeWriteId: () => randomBytes(8).toString('hex'),
    });
    shards.set(shard, newShard);
    return newShard;
  };

  const submitLocally = (id: string, op: ClaimOperation): Promise<Result<ClaimReply, StoreFault>> =>
    getShard(getClaimShard(id)).submit(op);

  const submit = async (
    id: string,
    op: ClaimOperation,
  ): Promise<Result<ClaimReply, StoreFault>> => {
    const writer = membership.findResponsible(`claims/${getClaimShard(id)}`);
    if (!writer || writer.incarnation === selfId()) return submitLocally(id, op);
    const reply = await peers.call(writer.peers, 'claims.submit', op, callTimeoutMs);
    const parsed = reply.isOk() ? claimReplySchema.safeParse(reply.value.value) : undefined;
    if (parsed?.success) return parsed.data.kind === 'fault' ? err('unreachable') : ok(parsed.data);
    membership.markSuspect(writer.incarnation);
    // Writing the same attempt twice is idempotent.
    return submitLocally(id, op);
  };

  const queryWriter = async (entry: ClaimEntry): Promise<AttemptReply> => {
    if (entry.writer === selfId()) return attempts.get(entry.attempt) ?? { state: 'not-here' };
    const member = membership.findMember(entry.writer);
    if (!member) return { state: 'not-here' };
    const query = { attempt: entry.attempt };
    const reply = await peers.call(member.peers, 'claims.ask', query, queryTimeoutMs);
    // A refused connection proves that the writer has stopped, even if the store lists it.
    if (reply.isErr()) return { state: reply.error === 'refused' ? 'not-here' : 'running' };
    if (reply.value.from.incarnation !== entry.writer) return { state: 'not-here' };
    const parsed = attemptSchema.safeParse(reply.value.value);
    return parsed.success ? parsed.data : { state: 'running' };
  };

  const toClaimResult = (
    state: AttemptState | 'not-here',
    response?: StoredResponse,
  ): ClaimResult => {
    if (state === 'done' && response) return { kind: 'answered', answer: response };
    return state === 'running' ? { kind: 'in-progress' } : { kind: 'outcome-unknown' };
  };

  const take = async (id: string, fingerprint: string): Promise<Result<ClaimResult, Refusal>> => {
    lastAttemptNumber += 1;
    const attempt = `${selfId()}.${lastAttemptNumber}`;
    attempts.set(attempt, { state: 'running' });
    const req = { id, fingerprint, writer: selfId(), attempt };
    const claimReply = await submit(id, { kind: 'take', req });
    if (claimReply.isErr()) {
      // The claim may have been stored; it is released once the store responds again.
      recordOutcome(id, attempt, 'abandoned');
      return err(refuseStoreUnavailable('the claim could not be recorded', storeRetryAfterMs));
    }
    if (claimReply.value.kind === 'granted') return ok({ kind: 'granted', attempt });
    attempts.delete(attempt);
    const { entry } = claimReply.value;
    if (entry.fingerprint !== fingerprint) return ok({ kind: 'other-request' });
    if (entry.state !== 'claimed') return ok(toClaimResult(entry.state, entry.answer));
    const attemptReply = await queryWriter(entry);
    logEvent(1703, { writer: entry.writer, state: attemptReply.state });
    if (attemptReply.state !== 'abandoned')
      return ok(toClaimResult(attemptReply.state, attemptReply.answer));
    const { writer } = entry;
    const abandoned = { id, writer, attempt: entry.attempt, state: 'abandoned' as const };
    const recorded = await submit(id, { kind: 'note', note: abandoned });
    if (recorded.isErr())
      return err(refuseStoreUnavailable('the claim could not be recorded', storeRetryAfterMs));
    return take(id, fingerprint);
  };

  const writeOutcome = async (outcome: ClaimOutcome): Promise<void> => {
    const deadline = readClock() + recordTimeoutMs;
    pendingOutcomeCount += 1;
    for (;;) {
      const written = await submit(outcome.id, { kind: 'note', note: outcome });
      if (written.isOk() || readClock() > deadline) break;
      await sleepUntil(readClock() + recordRetryDelayMs);
    }
    pendingOutcomeCount -= 1;
    // A claim that timed out may still reach the store; other VMs then query this attempt.
    const attemptRetentionMs = outcome.state === 'abandoned' ? recordTimeoutMs : 0;
    setTimeout(() => attempts.delete(outcome.attempt), attemptRetentionMs).unref();
  };

  const recordOutcome: Claims['recordOutcome'] = (id, attempt, state, response) => {
    attempts.set(attempt, { state, answer: response });
    void writeOutcome({ id, writer: selfId(), attempt, state, answer: response });
  };

  return {
    take,
    recordOutcome,
    countPendingOutcomes: () => pendingOutcomeCount,
    methods: {
      'claims.submit': async (params) => {
        const parsed = operationSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('operation expected');
        const op = parsed.data;
        const result = await submitLocally(op.kind === 'take' ? op.req.id : op.note.id, op);
        return result.isOk() ? result.value : { kind: 'fault' };
      },
      'claims.ask': (params) => {
        const parsed = z.object({ attempt: z.string() }).safeParse(params);
        if (!parsed.success) return throwInvalidParams('attempt expected');
        return Promise.resolve(attempts.get(parsed.data.attempt) ?? { state: 'not-here' });
      },
    },
  };
};
