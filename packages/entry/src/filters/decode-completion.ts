import { err } from 'neverthrow';
import { parseCompletionRequest, type CountTokens } from '../completion-request.js';
import type { Filter } from '../request-context.js';

/** Creates the filter that parses and validates the body of a completion request. */
export const makeDecodeCompletion =
  (kind: 'text' | 'chat', countTokens: CountTokens): Filter =>
  async (ctx, next) => {
    const decoded = parseCompletionRequest(
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
