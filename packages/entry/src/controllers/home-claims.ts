import { ok, type Result } from 'neverthrow';
import { applyOperations, type ClaimOperation } from '@hemlocksill/claims/claim-operations.js';
import type { ClaimEntry } from '@hemlocksill/claims/claim-record.js';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import type { Refusal } from '@hemlocksill/types/requests.js';
import { readClock, sleepUntil } from '../clock.js';
import type { Claims, ClaimResult } from './claims.js';
import { claimReplySchema, operationSchema, type StoredResponseMessage } from './claim-messages.js';
import type { Membership } from './membership.js';

const callTimeoutMs = 1_000;
const maxRecordAttempts = 5;
const recordRetryDelayMs = 300;

/** Claims of issued idempotency keys, kept in the memory of the VM that issued the key (home). */
export interface HomeClaims {
  readonly take: (
    home: string,
    id: string,
    fingerprint: string,
  ) => Promise<Result<ClaimResult, Refusal>>;
  readonly recordOutcome: (home: string, ...outcome: Parameters<Claims['recordOutcome']>) => void;
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

/** Dependencies of claims of issued keys. */
export interface HomeClaimsOptions {
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly retentionMs: () => number;
}

const toClaimResult = (entry: ClaimEntry, fingerprint: string): ClaimResult => {
  if (entry.fingerprint !== fingerprint) return { kind: 'other-request' };
  if (entry.state === 'done' && entry.answer) return { kind: 'answered', answer: entry.answer };
  return entry.state === 'claimed' ? { kind: 'in-progress' } : { kind: 'outcome-unknown' };
};

/**
 * Keeps claims without the store. Only the incarnation that issued a key can grant its
 * claim, so a claim is granted at most once, and never after that VM has stopped.
 */
export const makeHomeClaims = (opts: HomeClaimsOptions): HomeClaims => {
  const { membership, peers } = opts;
  const entries = new Map<string, ClaimEntry>();
  const selfId = (): string => membership.self().incarnation;
  let lastAttemptNumber = 0;

  const applyLocally = (op: ClaimOperation) => {
    const id = op.kind === 'take' ? op.req.id : op.note.id;
    const existing = entries.get(id);
    const applied = applyOperations(new Map(), existing ? [existing] : [], [op]);
    const [entry] = applied.entries;
    if (entry) entries.set(id, entry);
    if (entry && !existing) setTimeout(() => entries.delete(id), 2 * opts.retentionMs()).unref();
    return applied.replies[0] ?? { kind: 'granted' as const };
  };

  const sendOperation = async (home: string, op: ClaimOperation) => {
    if (home === selfId()) return applyLocally(op);
    const member = membership.findMember(home);
    if (!member) return undefined;
    const reply = await peers.call(member.peers, 'claims.home', op, callTimeoutMs);
    if (reply.isErr() || reply.value.from.incarnation !== home) return undefined;
    const parsed = claimReplySchema.safeParse(reply.value.value);
    return parsed.success && parsed.data.kind !== 'fault' ? parsed.data : undefined;
  };

  const sendOutcome = async (home: string, op: ClaimOperation): Promise<void> => {
    for (let attempts = 0; attempts < maxRecordAttempts; attempts += 1) {
      if (await sendOperation(home, op)) return;
      await sleepUntil(readClock() + recordRetryDelayMs);
    }
  };

  return {
    take: async (home, id, fingerprint) => {
      lastAttemptNumber += 1;
      const attempt = `${selfId()}.${lastAttemptNumber}`;
      const req = { id, fingerprint, writer: selfId(), attempt };
      const reply = await sendOperation(home, { kind: 'take', req });
      // An earlier attempt may have run, and the VM that knows its outcome cannot be reached.
      if (!reply) return ok({ kind: 'outcome-unknown' });
      if (reply.kind === 'granted') return ok({ kind: 'granted', attempt });
      return ok(toClaimResult(reply.entry, fingerprint));
    },
    recordOutcome: (home, id, attempt, state, response?: StoredResponseMessage) => {
      const note = { id, writer: selfId(), attempt, state, answer: response };
      void sendOutcome(home, { kind: 'note', note });
    },
    methods: {
      'claims.home': (params) => {
        const parsed = operationSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('operation expected');
        return Promise.resolve(applyLocally(parsed.data));
      },
    },
  };
};
