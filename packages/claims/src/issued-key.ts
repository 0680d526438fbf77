import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const keyPattern = /^hik_([0-9a-f]{16})_([0-9a-f]{24})_([0-9a-f]{32})$/;

/** The verified content of an idempotency key that was issued by a VM. */
export interface IssuedKey {
  /** Incarnation of the issuing VM, which alone grants claims of the key. */
  readonly home: string;
}

const sign = (secret: string, workspace: string, home: string, id: string): string =>
  createHmac('sha256', secret)
    .update(JSON.stringify(['idempotency', workspace, home, id]))
    .digest('hex')
    .slice(0, 32);

/**
 * Issues a signed idempotency key; the issuing VM keeps claims of the key in memory.
 *
 * @param home - incarnation of the issuing VM, 16 hexadecimal digits
 *
 * @example
 * const key = issueKey('forge', '00112233445566ff', secret);
 * verifyIssuedKey(key, 'forge', [secret])?.home; // '00112233445566ff'
 */
export const issueKey = (workspace: string, home: string, secret: string): string => {
  const id = randomBytes(12).toString('hex');
  return `hik_${home}_${id}_${sign(secret, workspace, home, id)}`;
};

/** Whether a key has the prefix of issued keys; its signature is not checked. */
export const hasIssuedKeyPrefix = (key: string): boolean => key.startsWith('hik_');

/**
 * Verifies the signature of an issued key against each secret.
 *
 * @returns undefined when the key is malformed or was not issued to this workspace
 */
export const verifyIssuedKey = (
  key: string,
  workspace: string,
  secrets: readonly string[],
): IssuedKey | undefined => {
  const [, home = '', id = '', mac = ''] = keyPattern.exec(key) ?? [];
  const actual = Buffer.from(mac);
  const isValid = secrets.some((secret) => {
    const expected = Buffer.from(sign(secret, workspace, home, id));
    return actual.length === expected.length && timingSafeEqual(actual, expected);
  });
  return isValid ? { home } : undefined;
};
