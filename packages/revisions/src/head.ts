import type { Result } from 'neverthrow';
import { z } from 'zod';
import { parseValue } from '@hemlocksill/store/parse-value.js';

/** Number of recent writes that the head lists, so that a write whose response was lost can be looked up. */
const maxRememberedWrites = 64;

const partSchema = z.strictObject({ key: z.string(), digest: z.string() });

const headSchema = z.strictObject({
  format: z.literal(1),
  revision: z.number().int().min(1),
  /** Revision of the last document change; changes of keys do not affect it. */
  documentRevision: z.number().int().min(0),
  writeId: z.string(),
  operator: z.string(),
  at: z.string(),
  parts: z.record(z.string(), partSchema),
  writes: z.array(z.tuple([z.string(), z.number()])),
});

/** Store key and digest of a part of a revision. */
export type PartRef = z.output<typeof partSchema>;

/** The value that orders all changes of an environment, since each change replaces it by compare-and-swap. */
export type Head = z.output<typeof headSchema>;

/** Parses a head read from the store or received from a peer. */
export const parseHead = (text: string): Result<Head, string> => parseValue(headSchema, text);

/** Changed parts by name: the new reference, or undefined to remove the part. */
export type PartChanges = ReadonlyMap<string, PartRef | undefined>;

/** The operator who makes a change, and the unique id of the write. */
export interface ChangeAuthor {
  readonly writeId: string;
  readonly operator: string;
  /** Wall-clock time, ISO 8601. */
  readonly at: string;
}

/**
 * Assembles the head that succeeds `previous` after some parts have changed.
 *
 * @example
 * assembleHead(undefined, new Map(), author, true).revision; // 1
 */
export const assembleHead = (
  previous: Head | undefined,
  changes: PartChanges,
  author: ChangeAuthor,
  changesDocument: boolean,
): Head => {
  const revision = (previous?.revision ?? 0) + 1;
  const parts = { ...previous?.parts };
  changes.forEach((ref, name) => {
    if (ref) parts[name] = ref;
    else delete parts[name];
  });
  const writes: [string, number][] = [...(previous?.writes ?? []), [author.writeId, revision]];
  return {
    format: 1,
    revision,
    documentRevision: changesDocument ? revision : (previous?.documentRevision ?? 0),
    ...author,
    parts,
    writes: writes.slice(-maxRememberedWrites),
  };
};

/** Returns the revision that a write created, if the head still lists the write. */
export const findWriteRevision = (head: Head, writeId: string): number | undefined =>
  head.writes.find(([id]) => id === writeId)?.[1];
