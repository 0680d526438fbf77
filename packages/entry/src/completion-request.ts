import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { refuseBadRequest, refuseNotFound, refuseTooLarge } from '@hemlocksill/errors/refusals.js';
import type { Pool } from '@hemlocksill/types/config-document.js';
import type { Refusal, RequestClass } from '@hemlocksill/types/requests.js';

/** Characters counted as one token. */
const charactersPerToken = 4;
const defaultMaxTokens = 256;

/** Counts the tokens of a text. */
export type CountTokens = (text: string) => number;

/** Estimates tokens from the length of a text. */
export const estimateTokens: CountTokens = (text) =>
  Math.max(1, Math.ceil(text.length / charactersPerToken));

/** A completion as asked for by a caller, checked. */
export interface CompletionRequest {
  readonly kind: 'text' | 'chat';
  readonly pool: Pool;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Digests of the prompt's pieces, each covering all before it. */
  readonly pieces: readonly string[];
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly class: RequestClass;
}

const common = {
  model: z.string(),
  max_tokens: z.number().int().min(1).default(defaultMaxTokens),
  stream: z.boolean().default(false),
  priority: z.enum(['urgent', 'patient']).default('patient'),
  n: z.literal(1).optional(),
};

const textSchema = z.object({ ...common, prompt: z.string().min(1) });

const chatSchema = z.object({
  ...common,
  messages: z
    .array(z.object({ role: z.enum(['system', 'user', 'assistant']), content: z.string() }))
    .min(1),
});

/**
 * Digests the pieces of a prompt; each digest covers all before it, and the workspace, so
 * that workspaces share no cache.
 */
export const digestPieces = (
  workspace: string,
  prompt: string,
  pieceTokens: number,
): readonly string[] => {
  const size = pieceTokens * charactersPerToken;
  const pieces: string[] = [];
  let before = workspace;
  for (let at = 0; at + size <= prompt.length; at += size) {
    before = createHash('sha256')
      .update(before)
      .update(prompt.slice(at, at + size))
      .digest('base64url')
      .slice(0, 16);
    pieces.push(before);
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

const describeIssue = (error: z.ZodError): Refusal => {
  const issue = error.issues[0];
  const field = issue?.path.join('.') ?? '';
  return refuseBadRequest(`${field === '' ? 'body' : field}: ${issue?.message ?? 'not valid'}`);
};

interface Parsed {
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly stream: boolean;
  readonly priority: RequestClass;
}

const parseBody = (kind: 'text' | 'chat', value: unknown): Result<Parsed, Refusal> => {
  if (kind === 'text') {
    const parsed = textSchema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(describeIssue(parsed.error));
  }
  const parsed = chatSchema.safeParse(value);
  if (!parsed.success) return err(describeIssue(parsed.error));
  const prompt = parsed.data.messages.map((m) => `${m.role}: ${m.content}`).join('\n');
  return ok({ ...parsed.data, prompt });
};

/**
 * Decodes and checks the body of a completion.
 *
 * @example
 * readCompletionRequest('text', '{"model":"reader","prompt":"Hi"}', 'forge', pools, estimateTokens);
 */
export const readCompletionRequest = (
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
