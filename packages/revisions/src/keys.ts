import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';
import type { KeyRecord } from '@hemlocksill/types/config-document.js';

const keyPattern = /^hsk_([a-z0-9-]+)_([0-9a-f]{12})_([0-9a-f]{48})$/;

const hashKey = (key: string): Buffer => createHash('sha256').update(key).digest();

/** A new key. The text is shown once; only the record, which has its hash, is stored. */
export interface NewKey {
  readonly text: string;
  readonly record: KeyRecord;
}

/**
 * Creates a random key for a workspace of an environment.
 *
 * @example
 * makeKey('trial', 'forge', '2026-01-01T00:00:00Z').text.startsWith('hsk_trial_'); // true
 */
export const makeKey = (environment: string, workspace: string, givenAt: string): NewKey => {
  const id = randomBytes(6).toString('hex');
  const text = `hsk_${environment}_${id}_${randomBytes(24).toString('hex')}`;
  return { text, record: { id, workspace, hash: hashKey(text).toString('hex'), givenAt } };
};

/** Hash that an unknown key is compared with, so that known and unknown keys take the same time. */
const absentHash = hashKey('absent').toString('hex');

/**
 * Finds the record of a key, comparing hashes in constant time.
 *
 * @returns undefined for a malformed, unknown or withdrawn key
 */
export const findKey = (
  keys: ReadonlyMap<string, KeyRecord>,
  text: string,
): KeyRecord | undefined => {
  const id = keyPattern.exec(text)?.[2];
  const record = id === undefined ? undefined : keys.get(id);
  const expected = Buffer.from(record?.hash ?? absentHash, 'hex');
  return timingSafeEqual(hashKey(text), expected) ? record : undefined;
};
