import { err, ok } from 'neverthrow';
import {
  getClaimId,
  getFingerprint,
  maxStoredBodyChars,
} from '@hemlocksill/claims/claim-record.js';
import { issueKey, hasIssuedKeyPrefix, verifyIssuedKey } from '@hemlocksill/claims/issued-key.js';
import { assembleFailure, refuseBadRequest } from '@hemlocksill/errors/refusals.js';
import { readClock } from '../clock.js';
import type { Claims, ClaimResult } from '../controllers/claims.js';
import type { HomeClaims } from '../controllers/home-claims.js';
import type { Filter, Handler, Reply, ReplyResult, RequestContext } from '../request-context.js';

const inProgressRetryAfterMs = 1_000;
const maxKeyLength = 200;

/** A claim may be used for so long after it was asked for; later it is given up. */
const claimUsableMs = 10_000;

const answerKnown = (result: Exclude<ClaimResult, { kind: 'granted' }>): ReplyResult => {
  if (result.kind === 'other-request')
    return err(refuseBadRequest('the idempotency key was used for another request'));
  if (result.kind === 'in-progress')
    return err(
      assembleFailure('in-progress', 'the same request is running', inProgressRetryAfterMs),
    );
  if (result.kind === 'outcome-unknown')
    return err(assembleFailure('outcome-unknown', 'the request may or may not have run'));
  const { status, contentType, body } = result.answer;
  if (body === undefined)
    return err(assembleFailure('done', `the request ran and was answered with status ${status}`));
  const headers = { 'content-type': contentType, 'idempotency-replayed': 'true' };
  return ok({ kind: 'whole', status, headers, body });
};

type NoteClaim = Claims['recordOutcome'];

const noteReply = (note: NoteClaim, id: string, attempt: string, reply: Reply): void => {
  if (reply.kind !== 'whole') return;
  const body = reply.body.toString();
  note(id, attempt, 'done', {
    status: reply.status,
    contentType: reply.headers['content-type'] ?? 'application/octet-stream',
    body: body.length <= maxStoredBodyChars ? body : undefined,
  });
};

const readIdempotencyKey = (ctx: RequestContext): string =>
  String(ctx.headers['idempotency-key'] ?? '');

/** What the claim filter needs. */
export interface ClaimOnceOptions {
  readonly claims: Claims;
  readonly homeClaims: HomeClaims;
  /** Secrets that issued keys are signed with. */
  readonly secrets: () => readonly string[];
}

/** Makes the handler that issues idempotency keys, whose claims need no store. */
export const makeIssueKey =
  (home: string, secrets: () => readonly string[]): Handler =>
  (ctx) => {
    const key = issueKey(ctx.workspace?.name ?? '', home, secrets()[0] ?? '');
    const headers = { 'content-type': 'application/json', 'cache-control': 'no-store' };
    const body = JSON.stringify({ idempotency_key: key });
    return Promise.resolve(ok({ kind: 'whole', status: 200, headers, body }));
  };

/**
 * Lets a request that may not be repeated run at most once for its idempotency key.
 *
 * The claim stands in the store before a byte is sent. It is given back only when it is
 * certain that nothing was sent.
 */
export const makeClaimOnce =
  ({ claims, homeClaims, secrets }: ClaimOnceOptions): Filter =>
  async (ctx, next) => {
    if (!ctx.route || ctx.route.idempotent) return next(ctx);
    const key = readIdempotencyKey(ctx);
    if (key === '' || key.length > maxKeyLength)
      return err(
        refuseBadRequest('this call needs an Idempotency-Key header of 1 to 200 characters'),
      );
    const id = getClaimId(ctx.workspace?.name ?? '', key);
    const fingerprint = getFingerprint(
      ctx.method,
      ctx.path + ctx.query,
      ctx.body.toString('latin1'),
    );
    const usableUntil = readClock() + claimUsableMs;
    const issued = verifyIssuedKey(key, ctx.workspace?.name ?? '', secrets());
    if (!issued && hasIssuedKeyPrefix(key))
      return err(refuseBadRequest('the idempotency key was not issued to this workspace'));
    const note: NoteClaim = issued
      ? (...noted) => homeClaims.recordOutcome(issued.home, ...noted)
      : claims.recordOutcome;
    const taken = issued
      ? await homeClaims.take(issued.home, id, fingerprint)
      : await claims.take(id, fingerprint);
    if (taken.isErr()) return err(taken.error);
    if (taken.value.kind !== 'granted') return answerKnown(taken.value);
    const { attempt } = taken.value;
    if (ctx.abort.signal.aborted || readClock() > usableUntil) {
      note(id, attempt, 'abandoned');
      return err(assembleFailure('not-run', 'the request was given up before it was sent'));
    }
    const result = await next(ctx);
    if (result.isOk()) noteReply(note, id, attempt, result.value);
    else note(id, attempt, result.error.outcome === 'not-run' ? 'abandoned' : 'unknown');
    return result;
  };
