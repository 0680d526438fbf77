import { createHash, createHmac } from 'node:crypto';

/**
 * Signs an operator's request.
 *
 * @param at - wall-clock time in milliseconds; an old request is rejected
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
