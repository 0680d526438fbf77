import type { ServerResponse } from 'node:http';
import { ok } from 'neverthrow';
import type { Refusal } from '@hemlocksill/types/requests.js';
import type { ResponseFlow } from '@hemlocksill/types/routing-ports.js';
import type { CompletionRequest } from './completion-request.js';
import type { HandlerResult } from './request-context.js';
import type { StreamEnd } from './token-stream.js';

/** Writes the tokens of a completion to the caller. */
export interface CompletionWriter {
  readonly writeToken: (index: number, text: string) => void;
  /** Full while the caller has not read what was written; undefined if nothing is sent before the end. */
  readonly flow?: ResponseFlow;
  /** Called before the first token of each attempt, with the handle for resuming its stream. */
  readonly startAttempt: (handle: string) => void;
  /** Whether any part of the response was sent to the caller. */
  readonly hasStarted: () => boolean;
  readonly finish: (end: StreamEnd) => HandlerResult;
  /** Ends a started stream with an error event that states the outcome. */
  readonly fail: (refusal: Refusal) => HandlerResult;
}

/** Metadata of the completion that a writer puts into the response. */
export interface WriterOptions {
  readonly id: string;
  readonly completion: Pick<CompletionRequest, 'kind' | 'promptTokens'>;
  readonly model: string;
}

const nowSeconds = (): number => Math.floor(Date.now() / 1_000);

const assembleUsage = (promptTokens: number, outputTokens: number) => ({
  prompt_tokens: promptTokens,
  completion_tokens: outputTokens,
  total_tokens: promptTokens + outputTokens,
});

const assembleChoice = (kind: 'text' | 'chat', text: string, reason: string) =>
  kind === 'text'
    ? { index: 0, text, finish_reason: reason }
    : { index: 0, message: { role: 'assistant', content: text }, finish_reason: reason };

/** Assembles the error body that callers receive. */
export const assembleErrorBody = (refusal: Refusal) => ({
  error: {
    code: refusal.code,
    outcome: refusal.outcome,
    message: refusal.message,
    retry_after_ms: refusal.retryAfterMs,
  },
});

/** Creates a writer that buffers the tokens and responds with one JSON body. */
export const makeJsonWriter = (opts: WriterOptions): CompletionWriter => {
  const { id, model, completion } = opts;
  const texts: string[] = [];
  return {
    startAttempt: () => {
      texts.length = 0;
    },
    writeToken: (_index, text) => {
      texts.push(text);
    },
    hasStarted: () => false,
    finish: (end) => {
      const body = JSON.stringify({
        id,
        object: completion.kind === 'text' ? 'text_completion' : 'chat.completion',
        created: nowSeconds(),
        model,
        choices: [assembleChoice(completion.kind, texts.join(''), end.reason)],
        usage: assembleUsage(completion.promptTokens, end.tokens),
      });
      const headers = { 'content-type': 'application/json' };
      return ok({ kind: 'complete', status: 200, headers, body });
    },
    fail: () => ok({ kind: 'sent' }),
  };
};

/** Creates a writer that sends each token as a server-sent event when it arrives. */
export const makeStreamWriter = (
  opts: WriterOptions,
  outgoing: ServerResponse,
): CompletionWriter => {
  const { id, model, completion } = opts;
  const object = completion.kind === 'text' ? 'text_completion' : 'chat.completion.chunk';
  const chunkPrefix = JSON.stringify({ id, object, created: nowSeconds(), model }).slice(0, -1);
  const textPrefix = completion.kind === 'text' ? '"text":' : '"delta":{"content":';
  const textSuffix = completion.kind === 'text' ? '' : '}';
  let hasSentHeaders = false;
  let pendingText = '';

  const flush = (): void => {
    if (pendingText !== '') outgoing.write(pendingText);
    pendingText = '';
  };
  /** Batches the events that arrive in one read of the engine's stream into one write. */
  const queueWrite = (text: string): void => {
    if (pendingText === '') process.nextTick(flush);
    pendingText += text;
  };

  let resumeHandle = '';
  const ensureHeadersSent = (): void => {
    if (hasSentHeaders) return;
    hasSentHeaders = true;
    outgoing.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': id,
      'x-resume-handle': resumeHandle,
    });
  };

  return {
    flow: {
      isFull: () => outgoing.writableNeedDrain,
      onRoom: (callback) => {
        outgoing.once('drain', callback);
      },
    },
    startAttempt: (handle) => {
      resumeHandle = handle;
    },
    writeToken: (index, text) => {
      ensureHeadersSent();
      const choice = `{"index":0,${textPrefix}${JSON.stringify(text)}${textSuffix},"finish_reason":null}`;
      queueWrite(`id: ${index + 1}\ndata: ${chunkPrefix},"choices":[${choice}]}\n\n`);
    },
    hasStarted: () => hasSentHeaders,
    finish: (end) => {
      ensureHeadersSent();
      const usage = JSON.stringify(assembleUsage(completion.promptTokens, end.tokens));
      const choice = `{"index":0,${textPrefix}""${textSuffix},"finish_reason":"${end.reason}"}`;
      queueWrite(
        `data: ${chunkPrefix},"choices":[${choice}],"usage":${usage}}\n\ndata: [DONE]\n\n`,
      );
      flush();
      outgoing.end();
      return ok({ kind: 'sent' });
    },
    fail: (refusal) => {
      queueWrite(`event: error\ndata: ${JSON.stringify(assembleErrorBody(refusal))}\n\n`);
      flush();
      outgoing.end();
      return ok({ kind: 'sent' });
    },
  };
};
