import type { Result } from 'neverthrow';
import { z } from 'zod';
import { parseValue } from '@hemlocksill/store/parse-value.js';

const endpointSchema = z.strictObject({ host: z.string(), port: z.number().int() });

/** Schema of a member record. */
export const memberSchema = z.strictObject({
  vm: z.string(),
  incarnation: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  peers: endpointSchema,
  operators: endpointSchema,
  callers: endpointSchema,
  state: z.enum(['starting', 'serving', 'leaving']),
});

/** A VM as registered in the store under its lease. */
export type Member = z.output<typeof memberSchema>;

/** Parses a member record. */
export const parseMember = (text: string): Result<Member, string> => parseValue(memberSchema, text);
