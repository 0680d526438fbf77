import { createHash } from 'node:crypto';
import { Agent, request } from 'undici';

/** Result of a call as the caller observed it. Times are in milliseconds of the process clock. */
export interface CallResult {
  readonly status: number;
  /** Outcome reported by a refusal or by an error in the stream. */
  readonly outcome: string | undefined;
  /** Code of the error response, or of the connection error. */
  readonly code: string | undefined;
  readonly text: string;
  /** Whether the response arrived in full; for a completion, also whether its text is as expected. */
  readonly complete: boolean;
  /** Number of output tokens received. */
  readonly tokens: number;
  /** Prompt and output tokens as the response reports them; 0 without such a report. */
  readonly totalTokens: number;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly firstTokenMs: number | undefined;
  /** Mean time between two tokens. */
  readonly betweenTokensMs: number | undefined;
  readonly retryAfterS: number | undefined;
  readonly resumeHandle: string | undefined;
  /** Id of the last event received, from which a stream can be resumed. */
  readonly lastEventId: number;
}

/** Parameters of a streamed completion request. */
export interface CompletionCall {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly urgent: boolean;
  readonly signal?: AbortSignal;
}

const agent = new Agent({ connections: 512, bodyTimeout: 0, headersTimeout: 0 });

/** Digest of a prompt that the stand-in engines put into each output token. */
export const digestPrompt = (prompt: string): string =>
  createHash('sha256').update(prompt).digest('hex').slice(0, 8);

const buildExpectedText = (digest: string, from: number, to: number): string =>
  Array.from({ length: Math.max(0, to - from) }, (_, i) => `${digest}.${from + i} `).join('');

/**
 * Returns whether a text is exactly the tokens `from` (inclusive) to `to` (exclusive) of the response
 * to a prompt.
 */
export const isExpectedText = (prompt: string, text: string, from: number, to: number): boolean =>
  text === buildExpectedText(digestPrompt(prompt), from, to);

interface StreamState {
  text: string;
  tokens: number;
  firstTokenAt: number | undefined;
  lastTokenAt: number | undefined;
  isDone: boolean;
  totalTokens: number;
  outcome: string | undefined;
  code: string | undefined;
  lastEventId: number;
}

interface StreamChunk {
  readonly choices?: { text: string; finish_reason: string | null }[];
  readonly usage?: { total_tokens: number };
  readonly error?: { outcome: string; code: string };
}

const handleEvent = (event: string, state: StreamState): void => {
  const lines = event.split('\n');
  const data = lines.find((l) => l.startsWith('data: '))?.slice(6);
  const id = lines.find((l) => l.startsWith('id: '))?.slice(4);
  if (data === undefined) return;
  if (data === '[DONE]') {
    state.isDone = true;
    return;
  }
  const chunk = JSON.parse(data) as StreamChunk;
  if (chunk.error) {
    state.outcome = chunk.error.outcome;
    state.code = chunk.error.code;
  }
  if (chunk.usage) state.totalTokens = chunk.usage.total_tokens;
  const choice = chunk.choices?.[0];
  if (!choice || choice.finish_reason !== null) return;
  const now = performance.now();
  state.firstTokenAt ??= now;
  state.lastTokenAt = now;
  state.text += choice.text;
  state.tokens += 1;
  state.lastEventId = Number(id ?? state.lastEventId);
};

const makeStreamState = (): StreamState => ({
  text: '',
  tokens: 0,
  firstTokenAt: undefined,
  lastTokenAt: undefined,
  isDone: false,
  totalTokens: 0,
  outcome: undefined,
  code: undefined,
  lastEventId: 0,
});

type RequestOptions = Parameters<typeof request>[1];

const readStream = async (body: AsyncIterable<Buffer>, state: StreamState): Promise<void> => {
  let pending = '';
  for await (const chunk of body) {
    const events = (pending + chunk.toString()).split('\n\n');
    pending = events.pop() ?? '';
    events.forEach((event) => handleEvent(event, state));
  }
};

const readRefusal = (text: string, state: StreamState): void => {
  try {
    const { error } = JSON.parse(text) as StreamChunk;
    state.outcome = error?.outcome;
    state.code = error?.code;
  } catch {
    state.code = 'not-json';
  }
};

const callStream = async (
  url: string,
  opts: RequestOptions,
  isTextValid: (state: StreamState) => boolean,
): Promise<CallResult> => {
  const state = makeStreamState();
  const startedAt = performance.now();
  let status = 0;
  let resumeHandle: string | undefined;
  let retryAfterS: number | undefined;
  try {
    const res = await request(url, { ...opts, dispatcher: agent });
    status = res.statusCode;
    resumeHandle = res.headers['x-resume-handle'] as string | undefined;
    if (res.headers['retry-after'] !== undefined) retryAfterS = Number(res.headers['retry-after']);
    if (status === 200) await readStream(res.body, state);
    else readRefusal(await res.body.text(), state);
  } catch (error) {
    state.code ??= (error as { code?: string }).code ?? 'connection-lost';
  }
  const { firstTokenAt, lastTokenAt, tokens } = state;
  return {
    status,
    outcome: state.outcome,
    code: state.code,
    text: state.text,
    complete: status === 200 && state.isDone && isTextValid(state),
    tokens,
    totalTokens: state.totalTokens,
    startedAt,
    endedAt: performance.now(),
    firstTokenMs: firstTokenAt === undefined ? undefined : firstTokenAt - startedAt,
    betweenTokensMs:
      firstTokenAt === undefined || lastTokenAt === undefined || tokens < 2
        ? undefined
        : (lastTokenAt - firstTokenAt) / (tokens - 1),
    retryAfterS,
    resumeHandle,
    lastEventId: state.lastEventId,
  };
};

/** Requests a streamed completion and checks that the text belongs to the prompt. */
export const callCompletion = (call: CompletionCall): Promise<CallResult> =>
  callStream(
    `${call.url}/v1/completions`,
    {
      method: 'POST',
      headers: { authorization: `Bearer ${call.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: call.model,
        prompt: call.prompt,
        max_tokens: call.maxTokens,
        stream: true,
        priority: call.urgent ? 'urgent' : 'patient',
      }),
      signal: call.signal,
    },
    (state) => isExpectedText(call.prompt, state.text, 0, state.tokens),
  );

/** Resumes a stream after `lastEventId`, usually through another VM. The text is not checked. */
export const callResume = (
  url: string,
  key: string,
  resumeHandle: string,
  lastEventId: number,
): Promise<CallResult> =>
  callStream(
    `${url}/v1/resume`,
    {
      method: 'GET',
      headers: {
        authorization: `Bearer ${key}`,
        'x-resume-handle': resumeHandle,
        'last-event-id': String(lastEventId),
      },
    },
    () => true,
  );

/** Calls a service route and returns the response with its body. */
export const callService = (
  url: string,
  method: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  body: string | undefined,
): Promise<CallResult & { readonly body: string }> => {
  const startedAt = performance.now();
  return request(`${url}${path}`, {
    method: method as 'GET',
    headers,
    body: body ?? null,
    dispatcher: agent,
  })
    .then(async (res) => {
      const text = await res.body.text();
      const state = makeStreamState();
      if (res.statusCode !== 200) readRefusal(text, state);
      const retryAfter = res.headers['retry-after'];
      return { status: res.statusCode, state, text, retryAfter };
    })
    .catch((error: { code?: string }) => {
      const state = { ...makeStreamState(), code: error.code ?? 'connection-lost' };
      return { status: 0, state, text: '', retryAfter: undefined };
    })
    .then(({ status, state, text, retryAfter }) => ({
      status,
      outcome: state.outcome,
      code: state.code,
      text,
      body: text,
      complete: status === 200,
      tokens: 0,
      totalTokens: 0,
      startedAt,
      endedAt: performance.now(),
      firstTokenMs: undefined,
      betweenTokensMs: undefined,
      retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
      resumeHandle: undefined,
      lastEventId: 0,
    }));
};
