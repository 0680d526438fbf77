import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { refuseBadRequest, refuseNotFound, refuseTooLarge } from '@hemlocksill/errors/refusals.js';
import type { Pool } from '@hemlocksill/types/config-document.js';
import type { Refusal, RequestClass } from '@hemlocksill/types/requests.js';

/** Number of characters that the estimate counts as one token. */
const charactersPerToken = 4;
const defaultMaxTokens = 256;

/** Counts the tokens of a text. */
export type CountTokens = (text: string) => number;

/** Estimates the number of tokens from the length of a text. */
export const estimateTokens: CountTokens = (text) =>
  Math.max(1, Math.ceil(text.length / charactersPerToken));

/** A validated completion request. */
export interface CompletionRequest {
  readonly kind: 'text' | 'chat';
  readonly pool: Pool;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Digests of the prompt's pieces; each one also covers all preceding pieces. */
  readonly pieces: readonly string[];
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly class: RequestClass;
}

const commonFields = {
  model: z.string(),
  max_tokens: z.number().int().min(1).default(defaultMaxTokens),
  stream: z.boolean().default(false),
  priority: z.enum(['urgent', 'patient']).default('patient'),
  n: z.literal(1).optional(),
};

const textSchema = z.object({ ...commonFields, prompt: z.string().min(1) });

const chatSchema = z.object({
  ...commonFields,
  messages: z
    .array(z.object({ role: z.enum(['system', 'user', 'assistant']), content: z.string() }))
    .min(1),
});

/**
 * Computes the digests of a prompt's pieces. Each digest also covers all preceding pieces and
 * the workspace, so that workspaces never share cache entries.
 */
export const digestPieces = (
  workspace: string,
  prompt: string,
  pieceTokens: number,
): readonly string[] => {
  const pieceLength = pieceTokens * charactersPerToken;
  const pieces: string[] = [];
  let previousDigest = workspace;
  for (let offset = 0; offset + pieceLength <= prompt.length; offset += pieceLength) {
    previousDigest = createHash('sha256')
      .update(previousDigest)
      .update(prompt.slice(offset, offset + pieceLength))
      .digest('base64url')
      .slice(0, 16);
    pieces.push(previousDigest);
  }
  return pieces;
};

const parseJson = (text: string): Result<unknown, Refusal> => {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err(refuseBadRequest('the body is not JSON'));
  }
};

const refuseInvalidBody = (error: z.ZodError): Refusal => {
  const issue = error.issues[0];
  const field = issue?.path.join('.') ?? '';
  return refuseBadRequest(`${field === '' ? 'body' : field}: ${issue?.message ?? 'not valid'}`);
};

interface ParsedBody {
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly stream: boolean;
  readonly priority: RequestClass;
}

const parseBody = (kind: 'text' | 'chat', value: unknown): Result<ParsedBody, Refusal> => {
  if (kind === 'text') {
    const parsed = textSchema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(refuseInvalidBody(parsed.error));
  }
  const parsed = chatSchema.safeParse(value);
  if (!parsed.success) return err(refuseInvalidBody(parsed.error));
  const prompt = parsed.data.messages
    .map((message) => `${message.role}: ${message.content}`)
    .join('\n');
  return ok({ ...parsed.data, prompt });
};

/**
 * Parses and validates the body of a completion request.
 *
 * @example
 * parseCompletionRequest('text', '{"model":"reader","prompt":"Hi"}', 'forge', pools, estimateTokens);
 */
export const parseCompletionRequest = (
  kind: 'text' | 'chat',
  body: string,
  workspace: string,
  pools: ReadonlyMap<string, Pool>,
  countTokens: CountTokens,
): Result<CompletionRequest, Refusal> =>
  parseJson(body)
    .andThen((value) => parseBody(kind, value))
    .andThen((parsed): Result<CompletionRequest, Refusal> => {
      const pool = pools.get(parsed.model);
      if (!pool) return err(refuseNotFound('the model does not exist'));
      const promptTokens = countTokens(parsed.prompt);
      if (promptTokens > pool.maxPromptTokens)
        return err(refuseTooLarge(`the prompt has more than ${pool.maxPromptTokens} tokens`));
      if (parsed.max_tokens > pool.maxOutputTokens)
        return err(refuseTooLarge(`max_tokens is more than ${pool.maxOutputTokens}`));
      return ok({
        kind,
        pool,
        prompt: parsed.prompt,
        promptTokens,
        pieces: digestPieces(workspace, parsed.prompt, pool.pieceTokens),
        maxTokens: parsed.max_tokens,
        stream: parsed.stream,
        class: parsed.priority,
      });
    });
