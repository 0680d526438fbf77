import type { Result } from 'neverthrow';
import { z } from 'zod';
import { parseValue } from '@hemlocksill/store/parse-value.js';

/** Writes remembered in the head, so that a lost answer can be settled later. */
const maxRememberedWrites = 64;

const partSchema = z.strictObject({ key: z.string(), digest: z.string() });

const headSchema = z.strictObject({
  format: z.literal(1),
  revision: z.number().int().min(1),
  /** Revision of the last change of the document; keys do not change it. */
  documentRevision: z.number().int().min(0),
  writeId: z.string(),
  operator: z.string(),
  at: z.string(),
  parts: z.record(z.string(), partSchema),
  writes: z.array(z.tuple([z.string(), z.number()])),
});

/** Where a part of a revision is kept. */
export type PartRef = z.output<typeof partSchema>;

/** The one value whose compare-and-swap orders all changes of an environment. */
export type Head = z.output<typeof headSchema>;

/** Parses a head as read from the store or from a peer. */
export const parseHead = (text: string): Result<Head, string> => parseValue(headSchema, text);

/** What a change writes: a part's reference, or undefined to remove the part. */
export type PartChanges = ReadonlyMap<string, PartRef | undefined>;

/** Who makes a change, and the id that tells it from all other changes. */
export interface ChangeAuthor {
  readonly writeId: string;
  readonly operator: string;
  /** Wall-clock time, ISO 8601. */
  readonly at: string;
}

/**
 * Assembles the head that follows `previous` after a change of some parts.
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

/** Returns the revision that a write made, if the head still remembers it. */
export const findWriteRevision = (head: Head, writeId: string): number | undefined =>
  head.writes.find(([id]) => id === writeId)?.[1];
