import { createHash } from 'node:crypto';
import type { KeyRecord } from '@hemlocksill/types/config-document.js';

/** Number of parts per kind of section; a change rewrites only the parts that it affects. */
const bucketsPerKind = 64;

const splitKinds = ['workspace', 'backend-server'];

/** Returns the SHA-256 digest of a text in hexadecimal. */
export const computeDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex');

const getBucket = (name: string): number =>
  createHash('sha256').update(name).digest().readUInt32BE(0) % bucketsPerKind;

const getPartName = (header: string): string => {
  const [kind = '', name = ''] = header.trim().split(/\s+/);
  return splitKinds.includes(kind) ? `document/${kind}/${getBucket(name)}` : 'document/base';
};

/**
 * Splits the text of a document into parts by section header.
 *
 * @example
 * [...splitDocument('[limits]\n[workspace forge]\nrate = 1').keys()];
 */
export const splitDocument = (text: string): Map<string, string> => {
  const parts = new Map<string, string>();
  let partName = 'document/base';
  text.split(/\r?\n/).forEach((line) => {
    const header = /^\s*\[([^\]]+)\]\s*$/.exec(line)?.[1];
    if (header !== undefined) partName = getPartName(header);
    parts.set(partName, `${parts.get(partName) ?? ''}${line}\n`);
  });
  return parts;
};

/** Joins the document parts of a revision into one text, in the order of their names. */
export const joinDocument = (parts: ReadonlyMap<string, string>): string =>
  [...parts.keys()]
    .filter((name) => name.startsWith('document/'))
    .sort()
    .map((name) => parts.get(name))
    .join('');

/** Returns the name of the part that contains the record of a key. */
export const getKeyPartName = (keyId: string): string => `keys/${getBucket(keyId)}`;

/** Parses the key records of a part; a missing part has none. */
export const parseKeyPart = (text: string | undefined): KeyRecord[] =>
  text === undefined ? [] : (JSON.parse(text) as KeyRecord[]);
