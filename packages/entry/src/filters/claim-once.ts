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
import type {
  Filter,
  Handler,
  CallerResponse,
  HandlerResult,
  RequestContext,
} from '../request-context.js';

const inProgressRetryAfterMs = 1_000;
const maxKeyLength = 200;

/** Maximum time from requesting a claim to sending the call; a later claim is abandoned. */
const maxClaimAgeMs = 10_000;

const respondToExistingClaim = (
  result: Exclude<ClaimResult, { kind: 'granted' }>,
): HandlerResult => {
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
  return ok({ kind: 'complete', status, headers, body });
};

type RecordOutcome = Claims['recordOutcome'];

const recordResponse = (
  recordOutcome: RecordOutcome,
  id: string,
  attempt: string,
  response: CallerResponse,
): void => {
  if (response.kind !== 'complete') return;
  const body = response.body.toString();
  recordOutcome(id, attempt, 'done', {
    status: response.status,
    contentType: response.headers['content-type'] ?? 'application/octet-stream',
    body: body.length <= maxStoredBodyChars ? body : undefined,
  });
};

const readIdempotencyKey = (ctx: RequestContext): string =>
  String(ctx.headers['idempotency-key'] ?? '');

/** Dependencies of the claim filter. */
export interface ClaimOnceOptions {
  readonly claims: Claims;
  readonly homeClaims: HomeClaims;
  /** Secrets that issued keys are signed with. */
  readonly secrets: () => readonly string[];
}

/**
 * Creates the handler that issues idempotency keys. Claims for an issued key are made at the VM
 * whose incarnation is `home`, without the store.
 */
export const makeIssueKey =
  (home: string, secrets: () => readonly string[]): Handler =>
  (ctx) => {
    const key = issueKey(ctx.workspace?.name ?? '', home, secrets()[0] ?? '');
    const headers = { 'content-type': 'application/json', 'cache-control': 'no-store' };
    const body = JSON.stringify({ idempotency_key: key });
    return Promise.resolve(ok({ kind: 'complete', status: 200, headers, body }));
  };

/**
 * Creates the filter that runs a non-idempotent request at most once per idempotency key.
 *
 * The claim is recorded before the first byte is sent. It is released only if it is certain
 * that nothing was sent.
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
    const claimDeadline = readClock() + maxClaimAgeMs;
    const issuedKey = verifyIssuedKey(key, ctx.workspace?.name ?? '', secrets());
    if (!issuedKey && hasIssuedKeyPrefix(key))
      return err(refuseBadRequest('the idempotency key was not issued to this workspace'));
    const recordOutcome: RecordOutcome = issuedKey
      ? (...args) => homeClaims.recordOutcome(issuedKey.home, ...args)
      : claims.recordOutcome;
    const claimResult = issuedKey
      ? await homeClaims.take(issuedKey.home, id, fingerprint)
      : await claims.take(id, fingerprint);
    if (claimResult.isErr()) return err(claimResult.error);
    if (claimResult.value.kind !== 'granted') return respondToExistingClaim(claimResult.value);
    const { attempt } = claimResult.value;
    if (ctx.abort.signal.aborted || readClock() > claimDeadline) {
      recordOutcome(id, attempt, 'abandoned');
      return err(assembleFailure('not-run', 'the request was given up before it was sent'));
    }
    const result = await next(ctx);
    if (result.isOk()) recordResponse(recordOutcome, id, attempt, result.value);
    else recordOutcome(id, attempt, result.error.outcome === 'not-run' ? 'abandoned' : 'unknown');
    return result;
  };
