import { createHash } from 'node:crypto';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { parseValue } from '@hemlocksill/store/parse-value.js';

/** Number of shards that claims are distributed over. */
export const claimShardCount = 8;

/** Size of the entries above which a segment is closed and a new one started, in characters. */
export const segmentCloseThreshold = 32_768;

/** Maximum length of a response body that is stored with a claim, in characters. */
export const maxStoredBodyChars = 4_096;

const storedResponseSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  /** Undefined when the body was too long to store. */
  body: z.string().optional(),
});

/** A backend server's response, stored to be replayed for the same idempotency key. */
export type StoredResponse = z.output<typeof storedResponseSchema>;

const entrySchema = z.strictObject({
  id: z.string(),
  /** Digest of method, path and body; detects reuse of the key for a different request. */
  fingerprint: z.string(),
  /** Incarnation of the VM that may send the request. */
  writer: z.string(),
  /** Distinguishes the attempts of one writer. */
  attempt: z.string(),
  state: z.enum(['claimed', 'done', 'unknown', 'abandoned']),
  answer: storedResponseSchema.optional(),
});

/** One claim: which VM may send the request, and how the request ended. */
export type ClaimEntry = z.output<typeof entrySchema>;

const segmentSchema = z.strictObject({
  format: z.literal(1),
  closed: z.boolean(),
  /** Wall-clock time in milliseconds after which a closed segment may be deleted. */
  deleteAfter: z.number(),
  /** Random id of the last write; shows whether a write whose response was lost took effect. */
  writeId: z.string(),
  entries: z.array(entrySchema),
});

/** A batch of claims that is stored under one key. */
export type Segment = z.output<typeof segmentSchema>;

/** Parses a segment read from the store. */
export const parseSegment = (text: string): Result<Segment, string> =>
  parseValue(segmentSchema, text);

const digest = (...parts: string[]): string =>
  createHash('sha256').update(JSON.stringify(parts)).digest('base64url').slice(0, 32);

/**
 * Derives the id of a claim from the workspace and the idempotency key.
 *
 * @example
 * getClaimId('forge', 'order-17') === getClaimId('forge', 'order-17'); // true
 */
export const getClaimId = (workspace: string, idempotencyKey: string): string =>
  digest(workspace, idempotencyKey);

/** Returns the digest that identifies the content of a request. */
export const getFingerprint = (method: string, path: string, body: string): string =>
  digest(method, path, body);

/** Returns the shard that a claim belongs to. */
export const getClaimShard = (claimId: string): number =>
  createHash('sha256').update(claimId).digest().readUInt32BE(0) % claimShardCount;
