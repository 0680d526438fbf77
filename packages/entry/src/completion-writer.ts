import type { ServerResponse } from 'node:http';
import { ok } from 'neverthrow';
import type { Refusal } from '@hemlocksill/types/requests.js';
import type { CompletionRequest } from './completion-request.js';
import type { ReplyResult } from './request-context.js';
import type { StreamEnd } from './token-stream.js';

/** How tokens reach a caller. */
export interface CompletionWriter {
  readonly onToken: (index: number, text: string) => void;
  /** Called before the first token of each attempt, with the handle for coming back. */
  readonly begin: (handle: string) => void;
  /** Whether anything has reached the caller. */
  readonly hasBegun: () => boolean;
  readonly finish: (end: StreamEnd) => ReplyResult;
  /** Ends a stream that has begun, telling its outcome. */
  readonly fail: (refusal: Refusal) => ReplyResult;
}

/** What a writer needs to know about a completion. */
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

const describeChoice = (kind: 'text' | 'chat', text: string, reason: string) =>
  kind === 'text'
    ? { index: 0, text, finish_reason: reason }
    : { index: 0, message: { role: 'assistant', content: text }, finish_reason: reason };

/** Body of an error as callers see it. */
export const assembleErrorBody = (refusal: Refusal) => ({
  error: {
    code: refusal.code,
    outcome: refusal.outcome,
    message: refusal.message,
    retry_after_ms: refusal.retryAfterMs,
  },
});

/** Collects the tokens and answers with one JSON body. */
export const makeWholeWriter = (opts: WriterOptions): CompletionWriter => {
  const { id, model, completion } = opts;
  const texts: string[] = [];
  return {
    begin: () => {
      texts.length = 0;
    },
    onToken: (_index, text) => {
      texts.push(text);
    },
    hasBegun: () => false,
    finish: (end) => {
      const body = JSON.stringify({
        id,
        object: completion.kind === 'text' ? 'text_completion' : 'chat.completion',
        created: nowSeconds(),
        model,
        choices: [describeChoice(completion.kind, texts.join(''), end.reason)],
        usage: assembleUsage(completion.promptTokens, end.tokens),
      });
      const headers = { 'content-type': 'application/json' };
      return ok({ kind: 'whole', status: 200, headers, body });
    },
    fail: () => ok({ kind: 'sent' }),
  };
};

/** Writes the tokens as server-sent events while they come. */
export const makeStreamWriter = (
  opts: WriterOptions,
  outgoing: ServerResponse,
): CompletionWriter => {
  const { id, model, completion } = opts;
  const object = completion.kind === 'text' ? 'text_completion' : 'chat.completion.chunk';
  const head = JSON.stringify({ id, object, created: nowSeconds(), model }).slice(0, -1);
  const textField = completion.kind === 'text' ? '"text":' : '"delta":{"content":';
  const textEnd = completion.kind === 'text' ? '' : '}';
  let begun = false;
  let batch = '';

  const flush = (): void => {
    if (batch !== '') outgoing.write(batch);
    batch = '';
  };
  /** Joins the events of one read into one write. */
  const write = (text: string): void => {
    if (batch === '') process.nextTick(flush);
    batch += text;
  };

  let handleText = '';
  const ensureBegun = (): void => {
    if (begun) return;
    begun = true;
    outgoing.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': id,
      'x-resume-handle': handleText,
    });
  };

  return {
    begin: (handle) => {
      handleText = handle;
    },
    onToken: (index, text) => {
      ensureBegun();
      const choice = `{"index":0,${textField}${JSON.stringify(text)}${textEnd},"finish_reason":null}`;
      write(`id: ${index + 1}\ndata: ${head},"choices":[${choice}]}\n\n`);
    },
    hasBegun: () => begun,
    finish: (end) => {
      ensureBegun();
      const usage = JSON.stringify(assembleUsage(completion.promptTokens, end.tokens));
      const choice = `{"index":0,${textField}""${textEnd},"finish_reason":"${end.reason}"}`;
      write(`data: ${head},"choices":[${choice}],"usage":${usage}}\n\ndata: [DONE]\n\n`);
      flush();
      outgoing.end();
      return ok({ kind: 'sent' });
    },
    fail: (refusal) => {
      write(`event: error\ndata: ${JSON.stringify(assembleErrorBody(refusal))}\n\n`);
      flush();
      outgoing.end();
      return ok({ kind: 'sent' });
    },
  };
};
