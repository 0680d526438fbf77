import { err } from 'neverthrow';
import { readClock } from '../clock.js';
import type { Rate } from '../controllers/rate.js';
import type { Filter, RequestContext } from '../request-context.js';

/** Returns the maximum number of tokens that the request can cost its workspace. */
const getMaxTokens = (ctx: RequestContext): number =>
  ctx.completion ? ctx.completion.promptTokens + ctx.completion.maxTokens : (ctx.route?.cost ?? 0);

/** Reserves the maximum tokens of a request, and settles the tokens used when it ends. */
export const makeChargeRate =
  (rate: Rate): Filter =>
  async (ctx, next) => {
    const tokens = getMaxTokens(ctx);
    if (!ctx.workspace || tokens === 0) return next(ctx);
    const { limits } = ctx.snapshot.document;
    const waitMs = ctx.class === 'urgent' ? limits.urgentRateWaitMs : limits.patientRateWaitMs;
    const reservation = await rate.reserve(
      ctx.workspace,
      tokens,
      readClock() + waitMs,
      ctx.abort.signal,
    );
    if (reservation.isErr()) return err(reservation.error);
    const result = await next(ctx);
    rate.settle(reservation.value, ctx.usedTokens);
    return result;
  };
