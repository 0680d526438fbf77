import type { Outcome, Refusal } from '@hemlocksill/types/requests.js';

const makeNotRunRefusal =
  (status: number, code: string) =>
  (message: string, retryAfterMs?: number): Refusal => ({
    status,
    code,
    outcome: 'not-run',
    message,
    retryAfterMs,
  });

/** The body, a header or a parameter is malformed. */
export const refuseBadRequest = makeNotRunRefusal(400, 'bad-request');
/** The request carries no key, an unknown key or a withdrawn key. */
export const refuseInvalidKey = makeNotRunRefusal(401, 'key-not-valid');
/** The model or route does not exist. */
export const refuseNotFound = makeNotRunRefusal(404, 'not-found');
/** The caller did not send its request in time. */
export const refuseRequestTimeout = makeNotRunRefusal(408, 'request-timeout');
/** The body or the prompt exceeds its size limit. */
export const refuseTooLarge = makeNotRunRefusal(413, 'too-large');
/** The workspace has exceeded its rate limit. */
export const refuseRateExceeded = makeNotRunRefusal(429, 'rate-exceeded');
/** The VM that holds the workspace's rate limit is unreachable. */
export const refuseRateUnknown = makeNotRunRefusal(503, 'rate-not-known');
/** The pools cannot meet the request's latency targets at present. */
export const refuseNoCapacity = makeNotRunRefusal(503, 'no-capacity');
/** This VM has no configuration or cannot prove that it is current. */
export const refuseUnprovenConfiguration = makeNotRunRefusal(503, 'configuration-not-proven');
/** The request needs the platform's key-value service, which is unavailable. */
export const refuseStoreUnavailable = makeNotRunRefusal(503, 'store-unavailable');
/** No connection to a backend server could be opened. */
export const refuseBackendUnreachable = makeNotRunRefusal(502, 'backend-unreachable');
/** This VM is shutting down. */
export const refuseVmLeaving = makeNotRunRefusal(503, 'vm-leaving');

/**
 * Builds the refusal of a request that was accepted but has no complete response.
 *
 * @example
 * assembleFailure('outcome-unknown', 'connection lost after sending').status; // 502
 */
export const assembleFailure = (
  outcome: Outcome,
  message: string,
  retryAfterMs?: number,
): Refusal => {
  const codes: Record<Outcome, [number, string]> = {
    'not-run': [503, 'not-run'],
    failed: [502, 'backend-failed'],
    'in-progress': [409, 'in-progress'],
    done: [409, 'already-done'],
    'outcome-unknown': [502, 'outcome-unknown'],
  };
  const [status, code] = codes[outcome];
  return { status, code, outcome, message, retryAfterMs };
};
