import { err, ok } from 'neverthrow';
import { readDocument } from '@hemlocksill/config/document.js';
import type { KeyRecord } from '@hemlocksill/types/config-document.js';
import { joinDocument, getKeyPartName, parseKeyPart, splitDocument } from './parts.js';
import type { AssembleChange, PublishedState } from './publish.js';

const listDocumentParts = (current: PublishedState): string[] =>
  [...current.parts.keys()].filter((name) => name.startsWith('document/'));

/**
 * Assembles a change that replaces the whole document.
 *
 * @param base - document revision that the operator's text is based on; the change is
 *   superseded if the store has another one
 */
export const assembleDocumentChange =
  (text: string, base: number | undefined): AssembleChange =>
  (current) => {
    const parsed = readDocument(text);
    if (parsed.isErr()) return err({ kind: 'rejected', reason: parsed.error.message });
    const documentRevision = current.head?.documentRevision ?? 0;
    if (base !== undefined && base !== documentRevision)
      return err({ kind: 'superseded', revision: documentRevision });
    const parts = new Map<string, string | undefined>(splitDocument(text));
    listDocumentParts(current)
      .filter((name) => !parts.has(name))
      .forEach((name) => parts.set(name, undefined));
    return ok({ parts, changesDocument: true });
  };

const editKeyPart = (
  current: PublishedState,
  keyId: string,
  edit: (records: KeyRecord[]) => KeyRecord[],
) => {
  const name = getKeyPartName(keyId);
  const records = edit(parseKeyPart(current.parts.get(name)));
  const text = records.length === 0 ? undefined : JSON.stringify(records);
  return ok({ parts: new Map([[name, text]]), changesDocument: false });
};

/** Assembles a change that adds a key; it can follow any other change. */
export const assembleKeyAddition =
  (record: KeyRecord): AssembleChange =>
  (current) => {
    const document = readDocument(joinDocument(current.parts));
    if (document.isErr() || !document.value.workspaces.has(record.workspace))
      return err({ kind: 'rejected', reason: `no workspace "${record.workspace}"` });
    return editKeyPart(current, record.id, (records) => [
      ...records.filter((r) => r.id !== record.id),
      record,
    ]);
  };

/** Assembles a change that withdraws a key; it can follow any other change. */
export const assembleKeyWithdrawal =
  (keyId: string): AssembleChange =>
  (current) => {
    const exists = parseKeyPart(current.parts.get(getKeyPartName(keyId))).some(
      (r) => r.id === keyId,
    );
    if (!exists) return err({ kind: 'rejected', reason: `no key "${keyId}"` });
    return editKeyPart(current, keyId, (records) => records.filter((r) => r.id !== keyId));
  };

const isBackendSection = (header: string): boolean => header.startsWith('backend-server');

const filterSections = (text: string, isIncluded: (header: string) => boolean): string => {
  let include = isIncluded('');
  return text
    .split(/\r?\n/)
    .filter((line) => {
      const header = /^\s*\[([^\]]+)\]\s*$/.exec(line)?.[1];
      if (header !== undefined) include = isIncluded(header.trim());
      return include;
    })
    .join('\n');
};

/**
 * Assembles the document of a promotion: all sections of `source` except its backend
 * servers, followed by the backend servers of `target`.
 *
 * @example
 * assemblePromotion('[workspace a]\nrate = 1\nburst = 1', '').includes('[workspace a]'); // true
 */
export const assemblePromotion = (source: string, target: string): string =>
  `${filterSections(source, (h) => !isBackendSection(h))}\n${filterSections(target, isBackendSection)}\n`;
