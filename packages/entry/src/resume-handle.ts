import { createHmac, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';

const handleSchema = z.tuple([z.string(), z.string(), z.string(), z.string()]);

/** Identifies a stream, so that a caller can resume it through another VM. */
export interface ResumeHandle {
  /** Name of the decode backend server. */
  readonly server: string;
  /** Id of the stream at that server. */
  readonly streamId: string;
  readonly workspace: string;
  readonly model: string;
}

const computeMac = (secret: string, text: string): string =>
  createHmac('sha256', secret).update(`resume:${text}`).digest('base64url').slice(0, 22);

/**
 * Serializes a handle and signs it with a peer secret, so that callers cannot forge one.
 *
 * @example
 * const text = signResumeHandle(handle, '0123456789abcdef');
 * verifyResumeHandle(text, ['0123456789abcdef']); // equal to handle
 */
export const signResumeHandle = (handle: ResumeHandle, secret: string): string => {
  const { server, streamId, workspace, model } = handle;
  const text = Buffer.from(JSON.stringify([server, streamId, workspace, model])).toString(
    'base64url',
  );
  return `${text}.${computeMac(secret, text)}`;
};

/** Parses a handle; returns undefined if it was not signed with one of the secrets. */
export const verifyResumeHandle = (
  text: string,
  secrets: readonly string[],
): ResumeHandle | undefined => {
  const [body = '', mac = ''] = text.split('.');
  const receivedMac = Buffer.from(mac);
  const isValid = secrets.some((secret) => {
    const expectedMac = Buffer.from(computeMac(secret, body));
    return receivedMac.length === expectedMac.length && timingSafeEqual(receivedMac, expectedMac);
  });
  if (!isValid) return undefined;
  const parsed = handleSchema.safeParse(JSON.parse(Buffer.from(body, 'base64url').toString()));
  if (!parsed.success) return undefined;
  const [server, streamId, workspace, model] = parsed.data;
  return { server, streamId, workspace, model };
};
