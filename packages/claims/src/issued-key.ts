import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const keyPattern = /^hik_([0-9a-f]{16})_([0-9a-f]{24})_([0-9a-f]{32})$/;

/** An idempotency key that names the VM incarnation that decides about it. */
export interface IssuedKey {
  readonly home: string;
}

const sign = (secret: string, workspace: string, home: string, id: string): string =>
  createHmac('sha256', secret)
    .update(JSON.stringify(['idempotency', workspace, home, id]))
    .digest('hex')
    .slice(0, 32);

/**
 * Issues an idempotency key whose claims the issuing VM keeps in memory.
 *
 * @param home - incarnation of the issuing VM, 16 hexadecimal digits
 *
 * @example
 * const key = issueKey('forge', '00112233445566ff', secret);
 * readIssuedKey(key, 'forge', [secret])?.home; // '00112233445566ff'
 */
export const issueKey = (workspace: string, home: string, secret: string): string => {
  const id = randomBytes(12).toString('hex');
  return `hik_${home}_${id}_${sign(secret, workspace, home, id)}`;
};

/** Whether a key claims to have been issued by a VM. */
export const hasIssuedKeyPrefix = (key: string): boolean => key.startsWith('hik_');

/** Reads an issued key; undefined when it was not issued to this workspace. */
export const verifyIssuedKey = (
  key: string,
  workspace: string,
  secrets: readonly string[],
): IssuedKey | undefined => {
  const [, home = '', id = '', mac = ''] = keyPattern.exec(key) ?? [];
  const given = Buffer.from(mac);
  const known = secrets.some((secret) => {
    const expected = Buffer.from(sign(secret, workspace, home, id));
    return given.length === expected.length && timingSafeEqual(given, expected);
  });
  return known ? { home } : undefined;
};
