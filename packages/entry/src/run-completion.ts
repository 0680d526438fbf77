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
import { makeStreamWriter, makeWholeWriter, type CompletionWriter } from './completion-writer.js';
import type { Cancels } from './controllers/cancels.js';
import type { PlacementOutcome, Pools } from './controllers/pools.js';
import type { EngineClient, EngineFault } from './engine-client.js';
import type { Handler, ReplyResult, RequestContext } from './request-context.js';
import type { RequestTable } from './request-table.js';
import { writeResumeHandle } from './resume-handle.js';
import { makeRetryBudget } from './retry-budget.js';
import { readTokens, type StreamEnd, type StreamFault } from './token-stream.js';

const maxAttempts = 4;
const maxResumes = 2;

/** Longest silence between two tokens before a stream counts as stalled. */
const stallMs = 5_000;

/** Longest time from sending a decode to its first byte: the transfer of the cache. */
const transferTimeoutMs = 3_000;
const retryAfterMs = 1_000;

const prefillSlackMs = 2_000;

/** A prefill that takes several times its expected time counts as lost. */
const getPrefillTimeout = ({ promptTokens, pool }: CompletionRequest): number =>
  prefillSlackMs + (4 * promptTokens * 1_000) / pool.prefillRate;

/** What running completions needs. */
export interface RunCompletionOptions {
  readonly pools: Pools;
  readonly engines: EngineClient;
  readonly cancels: Cancels;
  readonly table: RequestTable;
  readonly incarnation: string;
  readonly resumeSecret: () => string;
}

/** How one attempt ended. */
type AttemptEnd =
  | { readonly kind: 'whole'; readonly end: StreamEnd }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** Worth another attempt. */
  | { readonly kind: 'retry'; readonly ran: boolean }
  /** Tokens have reached the caller, and the rest cannot be had. */
  | { readonly kind: 'broken' };

type Assigned = Extract<PlacementOutcome, { kind: 'assigned' }>;

interface Attempt {
  readonly ctx: RequestContext;
  readonly completion: CompletionRequest;
  readonly id: string;
  readonly prefill: BackendServer;
  readonly decode: BackendServer;
  readonly placement: Assigned;
  readonly writer: CompletionWriter;
}

const observeToken = (ctx: RequestContext, now: number, lastAt: number | undefined): void => {
  ctx.outputTokens += 1;
  if (ctx.firstTokenAt === undefined) ctx.firstTokenAt = now;
  else if (lastAt !== undefined) ctx.longestGapMs = Math.max(ctx.longestGapMs, now - lastAt);
};

/** Makes the handler that runs a completion on a prefill and a decode engine. */
export const makeRunCompletion = (opts: RunCompletionOptions): Handler => {
  const { pools, engines, cancels, table } = opts;
  const budget = makeRetryBudget();

  const assembleStart = ({ ctx, completion, id }: Attempt): EngineStart => ({
    id,
    owner: opts.incarnation,
    workspace: ctx.workspace?.name ?? '',
    prompt: completion.prompt,
    promptTokens: completion.promptTokens,
    pieces: completion.pieces,
    urgent: completion.class === 'urgent',
  });

  const getTimeLeft = (ctx: RequestContext): number =>
    ctx.receivedAt + ctx.snapshot.document.limits.maxRequestMs - readClock();

  /** Reads a stream to its end, going back to the engine when only the connection broke. */
  const readWithResume = async (
    attempt: Attempt,
    first: Readable,
    received: { count: number },
  ): Promise<Result<StreamEnd, StreamFault>> => {
    const { ctx, writer, id, decode } = attempt;
    const { signal } = ctx.abort;
    let lastAt: number | undefined;
    const onToken = (index: number, text: string): void => {
      const now = readClock();
      observeToken(ctx, now, lastAt);
      lastAt = now;
      received.count = index + 1;
      writer.onToken(index, text);
    };
    let body = first;
    for (let resumes = 0; ; resumes += 1) {
      const end = await readTokens(body, received.count, stallMs, signal, onToken);
      const final = end.isOk() || !['cut', 'stalled'].includes(end.error) || resumes >= maxResumes;
      if (final) return end;
      const again = await engines.resume(decode.url, id, received.count, opts.incarnation, signal);
      if (again.isErr()) return end;
      body = again.value;
    }
  };

  const cancelBoth = ({ prefill, decode, id }: Attempt): void => {
    cancels.cancel(prefill.url, id);
    cancels.cancel(decode.url, id);
  };

  const giveUp = (attempt: Attempt, fault: EngineFault, server: BackendServer): AttemptEnd => {
    cancelBoth(attempt);
    const blamed = ['not-sent', 'lost', 'bad-answer', 'refused'].includes(fault);
    if (blamed) attempt.placement.reporter.failed(server.name);
    else attempt.placement.reporter.released();
    return { kind: 'retry', ran: !(fault === 'not-sent' && server === attempt.prefill) };
  };

  const runAttempt = async (attempt: Attempt): Promise<AttemptEnd> => {
    const { ctx, completion, placement, writer, prefill, decode } = attempt;
    const { signal } = ctx.abort;
    const start = assembleStart(attempt);
    const timeoutMs = Math.min(getTimeLeft(ctx), getPrefillTimeout(completion));
    const prefilled = await engines.prefill(prefill.url, start, timeoutMs, signal);
    placement.reporter.prefillEnded();
    if (prefilled.isErr()) return giveUp(attempt, prefilled.error, prefill);
    const decodeStart = { ...start, kvFrom: prefill.url, maxTokens: completion.maxTokens };
    const begun = await engines.decode(decode.url, decodeStart, transferTimeoutMs, signal);
    if (begun.isErr()) {
      ctx.wastedPrefillTokens += completion.promptTokens;
      return giveUp(attempt, begun.error, decode);
    }
    const handle = {
      server: decode.name,
      streamId: attempt.id,
      workspace: ctx.workspace?.name ?? '',
      model: completion.pool.model,
    };
    writer.begin(writeResumeHandle(handle, opts.resumeSecret()));
    ctx.outputTokens = 0;
    const received = { count: 0 };
    const end = await readWithResume(attempt, begun.value, received);
    if (end.isOk()) {
      placement.reporter.released();
      return { kind: 'whole', end: end.value };
    }
    const given = giveUp(attempt, end.error === 'aborted' ? 'aborted' : 'lost', decode);
    return writer.hasBegun() ? { kind: 'broken' } : given;
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

  const tryOnce = async (
    ctx: RequestContext,
    completion: CompletionRequest,
    writer: CompletionWriter,
    id: string,
  ): Promise<AttemptEnd> => {
    const placement = await placeAttempt(ctx, completion, id);
    if (placement.kind === 'lost') return { kind: 'retry', ran: false };
    if (placement.kind === 'refused') {
      const message = `the pool cannot meet the targets now (${placement.reason})`;
      return { kind: 'refused', refusal: refuseNoCapacity(message, placement.retryAfterMs) };
    }
    const servers = ctx.snapshot.document.backendServers;
    const prefill = servers.get(placement.prefill);
    const decode = servers.get(placement.decode);
    if (!prefill || !decode || ctx.abort.signal.aborted) {
      placement.reporter.released();
      return { kind: 'retry', ran: false };
    }
    return runAttempt({ ctx, completion, id, prefill, decode, placement, writer });
  };

  const describeAbort = (ctx: RequestContext, ran: boolean): Refusal => {
    if (ctx.keyWithdrawn && !ran) return refuseInvalidKey('the key was withdrawn');
    if (ctx.timedOut)
      return assembleFailure(ran ? 'failed' : 'not-run', 'the request took too long');
    const message = ctx.keyWithdrawn ? 'the key was withdrawn' : 'the caller has gone';
    return assembleFailure(ran ? 'failed' : 'not-run', message);
  };

  const run = async (
    ctx: RequestContext,
    completion: CompletionRequest,
    writer: CompletionWriter,
  ): Promise<ReplyResult> => {
    budget.noteRequest();
    let ran = false;
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt > 0 && !budget.tryRetry()) break;
      const id = table.openAttempt();
      const end = await tryOnce(ctx, completion, writer, id);
      table.closeAttempt(id);
      if (end.kind === 'whole') return writer.finish(end.end);
      if (end.kind === 'broken') {
        ctx.streamFailed = true;
        const { aborted } = ctx.abort.signal;
        const refusal = aborted
          ? describeAbort(ctx, true)
          : assembleFailure('failed', 'the backend server was lost', retryAfterMs);
        return writer.fail(refusal);
      }
      if (end.kind === 'refused') {
        const { refusal } = end;
        return err(
          ran ? assembleFailure('failed', refusal.message, refusal.retryAfterMs) : refusal,
        );
      }
      ran ||= end.ran;
      if (ctx.abort.signal.aborted) return err(describeAbort(ctx, ran));
    }
    return ran
      ? err(assembleFailure('failed', 'the backend servers gave no whole answer', retryAfterMs))
      : err(refuseNoCapacity('no backend server could be reached', retryAfterMs));
  };

  return async (ctx) => {
    const { completion } = ctx;
    if (!completion) throw new Error('a completion without a decoded request');
    const writerOpts = { id: ctx.id, completion, model: completion.pool.model };
    const writer = completion.stream
      ? makeStreamWriter(writerOpts, ctx.outgoing)
      : makeWholeWriter(writerOpts);
    const timer = setTimeout(() => {
      ctx.timedOut = true;
      ctx.abort.abort();
    }, getTimeLeft(ctx));
    const result = await run(ctx, completion, writer);
    clearTimeout(timer);
    ctx.usedTokens = ctx.outputTokens > 0 ? completion.promptTokens + ctx.outputTokens : 0;
    return result;
  };
};

/** What fetching the rest of a stream needs. */
export interface ResumeOptions {
  readonly engines: EngineClient;
  readonly cancels: Cancels;
  readonly table: RequestTable;
  readonly incarnation: string;
}

/** Where a stream goes on. */
export interface ResumePoint {
  readonly server: BackendServer;
  readonly streamId: string;
  readonly model: string;
  /** Index of the first token that the caller lacks. */
  readonly from: number;
}

/** Fetches the rest of a stream whose VM is gone, while its engine still holds it. */
export const resumeCompletion = async (
  opts: ResumeOptions,
  ctx: RequestContext,
  point: ResumePoint,
): Promise<ReplyResult> => {
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
  const end = await readTokens(body.value, from, stallMs, signal, (index, text) => {
    ctx.outputTokens += 1;
    writer.onToken(index, text);
  });
  table.closeAttempt(streamId);
  if (end.isOk()) return writer.finish(end.value);
  cancels.cancel(server.url, streamId);
  const refusal = assembleFailure('failed', 'the backend server was lost');
  return writer.hasBegun() ? writer.fail(refusal) : err(refusal);
};
