import type { Readable } from 'node:stream';
import { err, type Result } from 'neverthrow';
import {
  assembleFailure,
  refuseNoCapacity,
  refuseInvalidKey,
  refuseNotFound,
} from '@hemlocksill/errors/refusals.js';
import type { BackendServer } from '@hemlocksill/types/config-document.js';
import type { EngineStart } from '@hemlocksill/types/engine-protocol.js';
import type { Refusal } from '@hemlocksill/types/requests.js';
import { readClock } from './clock.js';
import type { CompletionRequest } from './completion-request.js';
import { makeStreamWriter, makeJsonWriter, type CompletionWriter } from './completion-writer.js';
import type { Cancels } from './controllers/cancels.js';
import type { PlacementOutcome, Pools } from './controllers/pools.js';
import type { EngineClient, EngineFault } from './engine-client.js';
import type { Handler, HandlerResult, RequestContext } from './request-context.js';
import type { RequestTable } from './request-table.js';
import { signResumeHandle } from './resume-handle.js';
import { makeRetryBudget } from './retry-budget.js';
import { readTokens, type StreamEnd, type StreamFault } from './token-stream.js';

const maxAttempts = 4;
const maxResumes = 2;

/** Maximum time between two tokens before a stream is treated as stalled. */
const stallTimeoutMs = 5_000;

/** Maximum time from a decode request to its response headers; it covers the cache transfer. */
const transferTimeoutMs = 3_000;
const retryAfterMs = 1_000;

const prefillTimeoutMarginMs = 2_000;

/** Time after which a prefill is treated as lost: four times its expected time plus a margin. */
const getPrefillTimeoutMs = ({ promptTokens, pool }: CompletionRequest): number =>
  prefillTimeoutMarginMs + (4 * promptTokens * 1_000) / pool.prefillRate;

/** Dependencies of the completion handler. */
export interface RunCompletionOptions {
  readonly pools: Pools;
  readonly engines: EngineClient;
  readonly cancels: Cancels;
  readonly table: RequestTable;
  readonly incarnation: string;
  readonly resumeSecret: () => string;
}

/** Result of one attempt. */
type AttemptResult =
  | { readonly kind: 'complete'; readonly streamEnd: StreamEnd }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** The attempt failed before any part of the response was sent; another one may succeed. */
  | { readonly kind: 'retry'; readonly mayHaveRun: boolean }
  /** Tokens were sent to the caller, and the rest of the stream is lost. */
  | { readonly kind: 'interrupted' };

type AssignedPlacement = Extract<PlacementOutcome, { kind: 'assigned' }>;

interface Attempt {
  readonly ctx: RequestContext;
  readonly completion: CompletionRequest;
  /** Id under which both engines know the attempt. */
  readonly id: string;
  readonly prefill: BackendServer;
  readonly decode: BackendServer;
  readonly placement: AssignedPlacement;
  readonly writer: CompletionWriter;
}

const recordToken = (ctx: RequestContext, now: number, lastTokenAt: number | undefined): void => {
  ctx.outputTokens += 1;
  if (ctx.firstTokenAt === undefined) ctx.firstTokenAt = now;
  else if (lastTokenAt !== undefined)
    ctx.maxTokenGapMs = Math.max(ctx.maxTokenGapMs, now - lastTokenAt);
};

/** Creates the handler that runs a completion on a prefill engine and a decode engine. */
export const makeRunCompletion = (opts: RunCompletionOptions): Handler => {
  const { pools, engines, cancels, table } = opts;
  const retryBudget = makeRetryBudget();

  const assembleEngineStart = ({ ctx, completion, id }: Attempt): EngineStart => ({
    id,
    owner: opts.incarnation,
    workspace: ctx.workspace?.name ?? '',
    prompt: completion.prompt,
    promptTokens: completion.promptTokens,
    pieces: completion.pieces,
    urgent: completion.class === 'urgent',
  });

  const getRemainingMs = (ctx: RequestContext): number =>
    ctx.receivedAt + ctx.snapshot.document.limits.maxRequestMs - readClock();

  /** Reads a stream to its end; resumes it at the engine if the connection broke or stalled. */
  const readWithResume = async (
    attempt: Attempt,
    initialBody: Readable,
    received: { count: number },
  ): Promise<Result<StreamEnd, StreamFault>> => {
    const { ctx, writer, id, decode } = attempt;
    const { signal } = ctx.abort;
    let lastTokenAt: number | undefined;
    const onToken = (index: number, text: string): void => {
      const now = readClock();
      recordToken(ctx, now, lastTokenAt);
      lastTokenAt = now;
      received.count = index + 1;
      writer.writeToken(index, text);
    };
    const limits = { maxTokens: attempt.completion.maxTokens, flow: writer.flow };
    let body = initialBody;
    for (let resumes = 0; ; resumes += 1) {
      const end = await readTokens(body, received.count, stallTimeoutMs, signal, onToken, limits);
      const isFinal =
        end.isOk() || !['cut', 'stalled'].includes(end.error) || resumes >= maxResumes;
      if (isFinal) return end;
      const resumed = await engines.resume(
        decode.url,
        id,
        received.count,
        opts.incarnation,
        signal,
      );
      if (resumed.isErr()) return end;
      body = resumed.value;
    }
  };

  const cancelOnBothEngines = ({ prefill, decode, id }: Attempt): void => {
    cancels.cancel(prefill.url, id);
    cancels.cancel(decode.url, id);
  };

  const abandonAttempt = (
    attempt: Attempt,
    fault: EngineFault,
    server: BackendServer,
  ): AttemptResult => {
    cancelOnBothEngines(attempt);
    const isServerFault = ['not-sent', 'lost', 'bad-answer', 'refused'].includes(fault);
    if (isServerFault) attempt.placement.reporter.failed(server.name);
    else attempt.placement.reporter.released();
    return { kind: 'retry', mayHaveRun: !(fault === 'not-sent' && server === attempt.prefill) };
  };

  const runAttempt = async (attempt: Attempt): Promise<AttemptResult> => {
    const { ctx, completion, placement, writer, prefill, decode } = attempt;
    const { signal } = ctx.abort;
    const engineStart = assembleEngineStart(attempt);
    const timeoutMs = Math.min(getRemainingMs(ctx), getPrefillTimeoutMs(completion));
    const prefillResult = await engines.prefill(prefill.url, engineStart, timeoutMs, signal);
    placement.reporter.prefillEnded();
    if (prefillResult.isErr()) return abandonAttempt(attempt, prefillResult.error, prefill);
    const decodeStart = { ...engineStart, kvFrom: prefill.url, maxTokens: completion.maxTokens };
    const decodeResult = await engines.decode(decode.url, decodeStart, transferTimeoutMs, signal);
    if (decodeResult.isErr()) {
      ctx.wastedPrefillTokens += completion.promptTokens;
      return abandonAttempt(attempt, decodeResult.error, decode);
    }
    const handle = {
      server: decode.name,
      streamId: attempt.id,
      workspace: ctx.workspace?.name ?? '',
      model: completion.pool.model,
    };
    writer.startAttempt(signResumeHandle(handle, opts.resumeSecret()));
    ctx.outputTokens = 0;
    const received = { count: 0 };
    const end = await readWithResume(attempt, decodeResult.value, received);
    if (end.isOk()) {
      placement.reporter.released();
      return { kind: 'complete', streamEnd: end.value };
    }
    const retryResult = abandonAttempt(
      attempt,
      end.error === 'aborted' ? 'aborted' : 'lost',
      decode,
    );
    return writer.hasStarted() ? { kind: 'interrupted' } : retryResult;
  };

  const placeAttempt = async (
    ctx: RequestContext,
    completion: CompletionRequest,
    id: string,
  ): Promise<PlacementOutcome> => {
    const { pool } = completion;
    const targets = completion.class === 'urgent' ? pool.urgent : pool.patient;
    return pools.place(
      pool.model,
      {
        id,
        owner: opts.incarnation,
        workspace: ctx.workspace?.name ?? '',
        weight: ctx.workspace?.weight ?? 1,
        class: completion.class,
        promptTokens: completion.promptTokens,
        pieces: completion.pieces,
        maxTokens: completion.maxTokens,
        firstTokenDeadline: ctx.receivedAt + targets.firstTokenMs,
      },
      ctx.abort.signal,
    );
  };

  const placeAndRun = async (
    ctx: RequestContext,
    completion: CompletionRequest,
    writer: CompletionWriter,
    id: string,
  ): Promise<AttemptResult> => {
    const placement = await placeAttempt(ctx, completion, id);
    if (placement.kind === 'lost') return { kind: 'retry', mayHaveRun: false };
    if (placement.kind === 'refused') {
      const message = `the pool cannot meet the targets now (${placement.reason})`;
      return { kind: 'refused', refusal: refuseNoCapacity(message, placement.retryAfterMs) };
    }
    const servers = ctx.snapshot.document.backendServers;
    const prefill = servers.get(placement.prefill);
    const decode = servers.get(placement.decode);
    if (!prefill || !decode || ctx.abort.signal.aborted) {
      placement.reporter.released();
      return { kind: 'retry', mayHaveRun: false };
    }
    return runAttempt({ ctx, completion, id, prefill, decode, placement, writer });
  };

  const describeAbort = (ctx: RequestContext, mayHaveRun: boolean): Refusal => {
    if (ctx.isKeyWithdrawn && !mayHaveRun) return refuseInvalidKey('the key was withdrawn');
    if (ctx.hasTimedOut)
      return assembleFailure(mayHaveRun ? 'failed' : 'not-run', 'the request took too long');
    const message = ctx.isKeyWithdrawn ? 'the key was withdrawn' : 'the caller has gone';
    return assembleFailure(mayHaveRun ? 'failed' : 'not-run', message);
  };

  const runWithRetries = async (
    ctx: RequestContext,
    completion: CompletionRequest,
    writer: CompletionWriter,
  ): Promise<HandlerResult> => {
    retryBudget.recordRequest();
    let mayHaveRun = false;
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt > 0 && !retryBudget.tryTakeRetry()) break;
      const id = table.openAttempt();
      const result = await placeAndRun(ctx, completion, writer, id);
      table.closeAttempt(id);
      if (result.kind === 'complete') return writer.finish(result.streamEnd);
      if (result.kind === 'interrupted') {
        ctx.hasStreamFailed = true;
        const { aborted } = ctx.abort.signal;
        const refusal = aborted
          ? describeAbort(ctx, true)
          : assembleFailure('failed', 'the backend server was lost', retryAfterMs);
        return writer.fail(refusal);
      }
      if (result.kind === 'refused') {
        const { refusal } = result;
        return err(
          mayHaveRun ? assembleFailure('failed', refusal.message, refusal.retryAfterMs) : refusal,
        );
      }
      mayHaveRun ||= result.mayHaveRun;
      if (ctx.abort.signal.aborted) return err(describeAbort(ctx, mayHaveRun));
    }
    return mayHaveRun
      ? err(assembleFailure('failed', 'the backend servers gave no whole answer', retryAfterMs))
      : err(refuseNoCapacity('no backend server could be reached', retryAfterMs));
  };

  return async (ctx) => {
    const { completion } = ctx;
    if (!completion) throw new Error('the completion handler was called without a decoded request');
    const writerOpts = { id: ctx.id, completion, model: completion.pool.model };
    const writer = completion.stream
      ? makeStreamWriter(writerOpts, ctx.outgoing)
      : makeJsonWriter(writerOpts);
    const timer = setTimeout(() => {
      ctx.hasTimedOut = true;
      ctx.abort.abort();
    }, getRemainingMs(ctx));
    const result = await runWithRetries(ctx, completion, writer);
    clearTimeout(timer);
    ctx.usedTokens = ctx.outputTokens > 0 ? completion.promptTokens + ctx.outputTokens : 0;
    return result;
  };
};

/** Dependencies of resuming a stream. */
export interface ResumeOptions {
  readonly engines: EngineClient;
  readonly cancels: Cancels;
  readonly table: RequestTable;
  readonly incarnation: string;
}

/** Position at which a stream is resumed. */
export interface ResumePoint {
  readonly server: BackendServer;
  readonly streamId: string;
  readonly model: string;
  /** Index of the first token that the caller has not received. */
  readonly from: number;
}

/** Sends the rest of a stream whose VM was lost, if its engine still holds the stream. */
export const resumeCompletion = async (
  opts: ResumeOptions,
  ctx: RequestContext,
  point: ResumePoint,
): Promise<HandlerResult> => {
  const { engines, table, cancels } = opts;
  const { server, streamId, model, from } = point;
  const { signal } = ctx.abort;
  table.adoptAttempt(streamId);
  const body = await engines.resume(server.url, streamId, from, opts.incarnation, signal);
  if (body.isErr()) {
    table.closeAttempt(streamId);
    return err(refuseNotFound('the stream is no longer held'));
  }
  const completion = { kind: 'text' as const, promptTokens: 0 };
  const writer = makeStreamWriter({ id: ctx.id, completion, model }, ctx.outgoing);
  const onToken = (index: number, text: string): void => {
    ctx.outputTokens += 1;
    writer.writeToken(index, text);
  };
  const { flow } = writer;
  const end = await readTokens(body.value, from, stallTimeoutMs, signal, onToken, { flow });
  table.closeAttempt(streamId);
  if (end.isOk()) return writer.finish(end.value);
  cancels.cancel(server.url, streamId);
  const refusal = assembleFailure('failed', 'the backend server was lost');
  return writer.hasStarted() ? writer.fail(refusal) : err(refusal);
};
