import type { BurnRecorder, BurnVerdict } from '@hemlocksill/report/burn-recorder.js';
import { readClock } from '../clock.js';
import type { LogEvent } from '../events.js';
import type { EmitMetric } from '../metrics.js';
import type { Filter, HandlerResult, RequestContext } from '../request-context.js';

const badRequestCodes = ['bad-request', 'key-not-valid', 'not-found', 'too-large', 'in-progress'];

/** Dependencies of the filter that records results. */
export interface ObserveBurnOptions {
  readonly burn: BurnRecorder;
  readonly logEvent: LogEvent;
  readonly emit: EmitMetric;
}

const classifyLatency = (ctx: RequestContext): BurnVerdict => {
  const { completion, firstTokenAt } = ctx;
  if (!completion || firstTokenAt === undefined) return 'good';
  const targets = completion.class === 'urgent' ? completion.pool.urgent : completion.pool.patient;
  if (firstTokenAt - ctx.receivedAt > targets.firstTokenMs) return 'slow-first-token';
  return getMeanTokenGapMs(ctx) > targets.betweenTokensMs ? 'slow-between-tokens' : 'good';
};

/** Returns the mean time between two tokens, in milliseconds. */
const getMeanTokenGapMs = (ctx: RequestContext): number =>
  ctx.firstTokenAt === undefined || ctx.outputTokens < 2
    ? 0
    : (readClock() - ctx.firstTokenAt) / (ctx.outputTokens - 1);

const classifyResult = (ctx: RequestContext, result: HandlerResult): BurnVerdict => {
  if (result.isOk()) return ctx.hasStreamFailed ? 'failed' : classifyLatency(ctx);
  const { code, outcome } = result.error;
  if (code === 'rate-exceeded') return 'refused-over-rate';
  if (badRequestCodes.includes(code)) return 'refused-bad-request';
  if (outcome === 'outcome-unknown') return 'outcome-unknown';
  return outcome === 'not-run' ? 'refused-inside-rate' : 'failed';
};

const logResult = (ctx: RequestContext, result: HandlerResult, logEvent: LogEvent): void => {
  const commonFields = {
    request: ctx.id,
    workspace: ctx.workspace?.name,
    class: ctx.class,
    ms: Math.round(readClock() - ctx.receivedAt),
  };
  if (result.isOk()) {
    logEvent(ctx.isKeyWithdrawn ? 1405 : 1401, commonFields);
    return;
  }
  const { code, outcome } = result.error;
  const eventIds = { 'outcome-unknown': 1403, failed: 1402 } as const;
  const eventId = outcome === 'outcome-unknown' || outcome === 'failed' ? eventIds[outcome] : 1404;
  logEvent(eventId, { ...commonFields, code, outcome });
};

/** Creates the filter that records results in the log, the metrics and the burn of workspaces. */
export const makeObserveBurn =
  ({ burn, logEvent, emit }: ObserveBurnOptions): Filter =>
  async (ctx, next) => {
    const result = await next(ctx);
    const verdict = classifyResult(ctx, result);
    const firstTokenMs =
      ctx.firstTokenAt === undefined ? undefined : ctx.firstTokenAt - ctx.receivedAt;
    const betweenTokensMs = ctx.outputTokens > 1 ? getMeanTokenGapMs(ctx) : undefined;
    burn.record(
      {
        workspace: ctx.workspace?.name ?? '',
        class: ctx.class,
        verdict,
        promptTokens: ctx.completion?.promptTokens ?? 0,
        outputTokens: ctx.outputTokens,
        wastedTokens: ctx.wastedPrefillTokens,
        firstTokenMs,
        betweenTokensMs,
      },
      readClock(),
    );
    emit(result.isOk() ? 'requests.ended' : 'requests.refused', 1, { class: ctx.class, verdict });
    if (firstTokenMs !== undefined) emit('first_token.ms', firstTokenMs, { class: ctx.class });
    if (betweenTokensMs !== undefined)
      emit('between_tokens.ms', betweenTokensMs, { class: ctx.class });
    if (ctx.outputTokens > 0) emit('tokens.output', ctx.outputTokens);
    if (ctx.completion) emit('tokens.prompt', ctx.completion.promptTokens);
    if (ctx.wastedPrefillTokens > 0) emit('prefill.wasted_tokens', ctx.wastedPrefillTokens);
    logResult(ctx, result, logEvent);
    return result;
  };
