import { z } from 'zod';

/** Response of a backend server as VMs exchange it. */
export const responseSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  body: z.string().optional(),
});

const entrySchema = z.object({
  id: z.string(),
  fingerprint: z.string(),
  writer: z.string(),
  attempt: z.string(),
  state: z.enum(['claimed', 'done', 'unknown', 'abandoned']),
  answer: responseSchema.optional(),
});

/** An operation on a claim. */
export const operationSchema = z.union([
  z.object({
    kind: z.literal('take'),
    req: z.object({
      id: z.string(),
      fingerprint: z.string(),
      writer: z.string(),
      attempt: z.string(),
    }),
  }),
  z.object({
    kind: z.literal('note'),
    note: z.object({
      id: z.string(),
      writer: z.string(),
      attempt: z.string(),
      state: z.enum(['done', 'unknown', 'abandoned']),
      answer: responseSchema.optional(),
    }),
  }),
]);

/** Reply to a claim operation; `fault` means that the call to the store failed. */
export const claimReplySchema = z.union([
  z.object({ kind: z.literal('granted') }),
  z.object({ kind: z.literal('known'), entry: entrySchema }),
  z.object({ kind: z.literal('fault') }),
]);

/** Response of a backend server as VMs exchange it. */
export type StoredResponseMessage = z.output<typeof responseSchema>;
