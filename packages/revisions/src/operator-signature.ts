import { createHash, createHmac } from 'node:crypto';

/**
 * Computes the HMAC-SHA256 signature of an operator's request.
 *
 * @param at - wall-clock time in milliseconds; the receiver rejects an old request
 *
 * @example
 * headers['x-operator-signature'] = signOperatorRequest(secret, 'GET', '/status', '', at);
 */
export const signOperatorRequest = (
  secret: string,
  method: string,
  path: string,
  body: string,
  at: number,
): string => {
  const digest = createHash('sha256').update(body).digest('hex');
  return createHmac('sha256', secret).update(`${method} ${path} ${at} ${digest}`).digest('hex');
};
