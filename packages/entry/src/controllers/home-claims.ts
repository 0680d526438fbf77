import { ok, type Result } from 'neverthrow';
import { applyOperations, type ClaimOperation } from '@hemlocksill/claims/claim-operations.js';
import type { ClaimEntry } from '@hemlocksill/claims/claim-record.js';
import type { PeerClient } from '@hemlocksill/peer/peer-client.js';
import { throwInvalidParams, type PeerMethod } from '@hemlocksill/peer/peer-server.js';
import type { Refusal } from '@hemlocksill/types/requests.js';
import { readClock, sleepUntil } from '../clock.js';
import type { Claims, ClaimResult } from './claims.js';
import { claimAnswerSchema, operationSchema, type KeptAnswerMessage } from './claim-messages.js';
import type { Membership } from './membership.js';

const callTimeoutMs = 1_000;
const noteTries = 5;
const notePauseMs = 300;

/** Claims of keys that a VM has issued, kept in that VM's memory. */
export interface HomeClaims {
  readonly take: (
    home: string,
    id: string,
    fingerprint: string,
  ) => Promise<Result<ClaimResult, Refusal>>;
  readonly recordOutcome: (home: string, ...note: Parameters<Claims['recordOutcome']>) => void;
  readonly methods: Readonly<Record<string, PeerMethod>>;
}

/** What claims in memory need. */
export interface HomeClaimsOptions {
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly retentionMs: () => number;
}

const describeEntry = (entry: ClaimEntry, fingerprint: string): ClaimResult => {
  if (entry.fingerprint !== fingerprint) return { kind: 'other-request' };
  if (entry.state === 'done' && entry.answer) return { kind: 'answered', answer: entry.answer };
  return entry.state === 'claimed' ? { kind: 'in-progress' } : { kind: 'outcome-unknown' };
};

/**
 * Keeps claims without the store: only the incarnation that issued a key can grant its
 * claim, so that a claim is granted once, and never again after that VM is gone.
 */
export const makeHomeClaims = (opts: HomeClaimsOptions): HomeClaims => {
  const { membership, peers } = opts;
  const entries = new Map<string, ClaimEntry>();
  const selfId = (): string => membership.self().incarnation;
  let sequence = 0;

  const applyHere = (op: ClaimOperation) => {
    const id = op.kind === 'take' ? op.req.id : op.note.id;
    const known = entries.get(id);
    const applied = applyOperations(new Map(), known ? [known] : [], [op]);
    const [entry] = applied.entries;
    if (entry) entries.set(id, entry);
    if (entry && !known) setTimeout(() => entries.delete(id), 2 * opts.retentionMs()).unref();
    return applied.replies[0] ?? { kind: 'granted' as const };
  };

  const send = async (home: string, op: ClaimOperation) => {
    if (home === selfId()) return applyHere(op);
    const member = membership.findMember(home);
    if (!member) return undefined;
    const answer = await peers.call(member.peers, 'claims.home', op, callTimeoutMs);
    if (answer.isErr() || answer.value.from.incarnation !== home) return undefined;
    const parsed = claimAnswerSchema.safeParse(answer.value.value);
    return parsed.success && parsed.data.kind !== 'fault' ? parsed.data : undefined;
  };

  const sendNote = async (home: string, op: ClaimOperation): Promise<void> => {
    for (let i = 0; i < noteTries; i += 1) {
      if (await send(home, op)) return;
      await sleepUntil(readClock() + notePauseMs);
    }
  };

  return {
    take: async (home, id, fingerprint) => {
      sequence += 1;
      const attempt = `${selfId()}.${sequence}`;
      const req = { id, fingerprint, writer: selfId(), attempt };
      const answer = await send(home, { kind: 'take', req });
      // An earlier attempt may have run, and the VM that knows cannot be asked.
      if (!answer) return ok({ kind: 'outcome-unknown' });
      if (answer.kind === 'granted') return ok({ kind: 'granted', attempt });
      return ok(describeEntry(answer.entry, fingerprint));
    },
    recordOutcome: (home, id, attempt, state, answer?: KeptAnswerMessage) => {
      const note = { id, writer: selfId(), attempt, state, answer };
      void sendNote(home, { kind: 'note', note });
    },
    methods: {
      'claims.home': (params) => {
        const parsed = operationSchema.safeParse(params);
        if (!parsed.success) return throwInvalidParams('operation expected');
        return Promise.resolve(applyHere(parsed.data));
      },
    },
  };
};
