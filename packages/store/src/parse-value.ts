import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';

/**
 * Parses JSON text read from the store and validates it against a schema.
 *
 * @returns the parsed value, or a description of the first error
 *
 * @example
 * parseValue(z.object({ a: z.number() }), '{"a":1}'); // ok({ a: 1 })
 */
export const parseValue = <T>(schema: z.ZodType<T>, text: string): Result<T, string> => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return err('not JSON');
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(parsed.error.issues[0]?.message ?? 'not valid');
};
