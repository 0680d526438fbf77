import type { Result } from 'neverthrow';
import { readDocument } from '@hemlocksill/config/document.js';
import type { ConfigError } from '@hemlocksill/errors/config-errors.js';
import type { KeyRecord, Snapshot } from '@hemlocksill/types/config-document.js';
import { joinDocument, parseKeyPart } from './parts.js';

/** Assembles the document and keys of a revision from the texts of its parts. */
export const assembleSnapshot = (
  revision: number,
  parts: ReadonlyMap<string, string>,
): Result<Snapshot, ConfigError> => {
  const records = [...parts]
    .filter(([name]) => name.startsWith('keys/'))
    .flatMap(([, text]) => parseKeyPart(text));
  const keys = new Map<string, KeyRecord>(records.map((r) => [r.id, r]));
  return readDocument(joinDocument(parts)).map((document) => ({ revision, document, keys }));
};
