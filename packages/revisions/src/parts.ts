import { createHash } from 'node:crypto';
import type { KeyRecord } from '@hemlocksill/types/config-document.js';

/** Parts that sections of one kind are spread over, so that a change rewrites little. */
const bucketsPerKind = 64;

const splitKinds = ['workspace', 'backend-server'];

/** Hex SHA-256 of a text. */
export const computeDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex');

const getBucket = (name: string): number =>
  createHash('sha256').update(name).digest().readUInt32BE(0) % bucketsPerKind;

const getPartName = (header: string): string => {
  const [kind = '', name = ''] = header.trim().split(/\s+/);
  return splitKinds.includes(kind) ? `document/${kind}/${getBucket(name)}` : 'document/base';
};

/**
 * Splits a document's text into parts by its section headers.
 *
 * @example
 * [...splitDocument('[limits]\n[workspace forge]\nrate = 1').keys()];
 */
export const splitDocument = (text: string): Map<string, string> => {
  const parts = new Map<string, string>();
  let part = 'document/base';
  text.split(/\r?\n/).forEach((line) => {
    const header = /^\s*\[([^\]]+)\]\s*$/.exec(line)?.[1];
    if (header !== undefined) part = getPartName(header);
    parts.set(part, `${parts.get(part) ?? ''}${line}\n`);
  });
  return parts;
};

/** Joins the document parts of a revision into one text. */
export const joinDocument = (parts: ReadonlyMap<string, string>): string =>
  [...parts.keys()]
    .filter((name) => name.startsWith('document/'))
    .sort()
    .map((name) => parts.get(name))
    .join('');

/** Name of the part that holds a key's record. */
export const getKeyPartName = (keyId: string): string => `keys/${getBucket(keyId)}`;

/** Parses a part of key records. */
export const parseKeyPart = (text: string | undefined): KeyRecord[] =>
  text === undefined ? [] : (JSON.parse(text) as KeyRecord[]);
