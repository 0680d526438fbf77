import { err } from 'neverthrow';
import { readClock } from '../clock.js';
import type { Rate } from '../controllers/rate.js';
import type { Filter, RequestContext } from '../request-context.js';

/** Most tokens that a request can cost its workspace. */
const getWorstCase = (ctx: RequestContext): number =>
  ctx.completion ? ctx.completion.promptTokens + ctx.completion.maxTokens : (ctx.route?.cost ?? 0);

/** Reserves a request's tokens at their worst case and settles what was used at its end. */
export const makeChargeRate =
  (rate: Rate): Filter =>
  async (ctx, next) => {
    const tokens = getWorstCase(ctx);
    if (!ctx.workspace || tokens === 0) return next(ctx);
    const { limits } = ctx.snapshot.document;
    const waitMs = ctx.class === 'urgent' ? limits.urgentRateWaitMs : limits.patientRateWaitMs;
    const reserved = await rate.reserve(
      ctx.workspace,
      tokens,
      readClock() + waitMs,
      ctx.abort.signal,
    );
    if (reserved.isErr()) return err(reserved.error);
    const result = await next(ctx);
    rate.settle(reserved.value, ctx.usedTokens);
    return result;
  };
