import { createHash } from 'node:crypto';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { parseValue } from '@hemlocksill/store/parse-value.js';

/** Shards that idempotency keys are spread over. */
export const claimShardCount = 8;

/** Size at which a segment is closed and the next one begun, in characters. */
export const segmentCloseThreshold = 32_768;

/** Longest response body that is kept with a claim, in characters. */
export const maxStoredBodyChars = 4_096;

const answerSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  /** Undefined when the body was too long to keep. */
  body: z.string().optional(),
});

/** An answer of a backend server, kept for repeats of the same idempotency key. */
export type StoredResponse = z.output<typeof answerSchema>;

const entrySchema = z.strictObject({
  id: z.string(),
  /** Digest of method, path and body: a key must not be used for another request. */
  fingerprint: z.string(),
  /** Incarnation of the VM that may send the request. */
  writer: z.string(),
  /** Tells attempts of one writer apart. */
  attempt: z.string(),
  state: z.enum(['claimed', 'done', 'unknown', 'abandoned']),
  answer: answerSchema.optional(),
});

/** One claim: who may run a request, and how it ended. */
export type ClaimEntry = z.output<typeof entrySchema>;

const segmentSchema = z.strictObject({
  format: z.literal(1),
  closed: z.boolean(),
  /** Wall-clock time in milliseconds after which a closed segment may be deleted. */
  deleteAfter: z.number(),
  /** Random id of the last write, by which a lost answer is settled. */
  writeId: z.string(),
  entries: z.array(entrySchema),
});

/** A run of claims in one value of the store. */
export type Segment = z.output<typeof segmentSchema>;

/** Parses a segment. */
export const parseSegment = (text: string): Result<Segment, string> =>
  parseValue(segmentSchema, text);

const digest = (...parts: string[]): string =>
  createHash('sha256').update(JSON.stringify(parts)).digest('base64url').slice(0, 32);

/**
 * Names a claim by workspace and idempotency key.
 *
 * @example
 * getClaimId('forge', 'order-17') === getClaimId('forge', 'order-17'); // true
 */
export const getClaimId = (workspace: string, idempotencyKey: string): string =>
  digest(workspace, idempotencyKey);

/** Digest of what a request asks for. */
export const getFingerprint = (method: string, path: string, body: string): string =>
  digest(method, path, body);

/** Shard of a claim. */
export const getClaimShard = (claimId: string): number =>
  createHash('sha256').update(claimId).digest().readUInt32BE(0) % claimShardCount;
