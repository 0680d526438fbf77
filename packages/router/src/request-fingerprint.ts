import { createHash } from 'node:crypto';
import type { ForwardedCall } from '@hemlocksill/types/routing-ports.js';

/** Hexadecimal digits of a fingerprint. */
const fingerprintLength = 16;

/**
 * Identifies what a request asks for: requests with the same method, target, caller and body have the same
 * fingerprint, whichever VM computes it. The caller is its workspace or, without one, its key.
 *
 * @example
 * fingerprintRequest(call); // '1f0a6c25d3b9e847'
 */
export const fingerprintRequest = ({
  method,
  target,
  body,
  workspace,
  metadata,
}: Pick<ForwardedCall, 'method' | 'target' | 'body' | 'workspace' | 'metadata'>): string =>
  createHash('sha256')
    .update(JSON.stringify([method, target, workspace ?? null, workspace ? '' : metadata.key]))
    .update(body)
    .digest('hex')
    .slice(0, fingerprintLength);
