import { createHmac, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';

const handleSchema = z.tuple([z.string(), z.string(), z.string(), z.string()]);

/** What a caller needs to fetch the rest of a stream through another VM. */
export interface ResumeHandle {
  /** Name of the decode backend server. */
  readonly server: string;
  /** Id of the stream at that server. */
  readonly streamId: string;
  readonly workspace: string;
  readonly model: string;
}

const sign = (secret: string, text: string): string =>
  createHmac('sha256', secret).update(`resume:${text}`).digest('base64url').slice(0, 22);

/**
 * Writes a handle that only VMs with the peers' secret can make.
 *
 * @example
 * const text = writeResumeHandle(handle, '0123456789abcdef');
 * readResumeHandle(text, ['0123456789abcdef']); // equal to handle
 */
export const writeResumeHandle = (handle: ResumeHandle, secret: string): string => {
  const { server, streamId, workspace, model } = handle;
  const text = Buffer.from(JSON.stringify([server, streamId, workspace, model])).toString(
    'base64url',
  );
  return `${text}.${sign(secret, text)}`;
};

/** Reads a handle; undefined when it was not made with one of the secrets. */
export const readResumeHandle = (
  text: string,
  secrets: readonly string[],
): ResumeHandle | undefined => {
  const [body = '', mac = ''] = text.split('.');
  const given = Buffer.from(mac);
  const known = secrets.some((secret) => {
    const expected = Buffer.from(sign(secret, body));
    return given.length === expected.length && timingSafeEqual(given, expected);
  });
  if (!known) return undefined;
  const parsed = handleSchema.safeParse(JSON.parse(Buffer.from(body, 'base64url').toString()));
  if (!parsed.success) return undefined;
  const [server, streamId, workspace, model] = parsed.data;
  return { server, streamId, workspace, model };
};
