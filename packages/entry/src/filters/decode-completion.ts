import { err } from 'neverthrow';
import { readCompletionRequest, type CountTokens } from '../completion-request.js';
import type { Filter } from '../request-context.js';

/** Decodes and checks a completion. */
export const makeDecodeCompletion =
  (kind: 'text' | 'chat', countTokens: CountTokens): Filter =>
  async (ctx, next) => {
    const decoded = readCompletionRequest(
      kind,
      ctx.body.toString(),
      ctx.workspace?.name ?? '',
      ctx.snapshot.document.pools,
      countTokens,
    );
    if (decoded.isErr()) return err(decoded.error);
    ctx.completion = decoded.value;
    ctx.class = decoded.value.class;
    return next(ctx);
  };
