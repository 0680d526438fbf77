import { createHash } from 'node:crypto';
import { Agent, request } from 'undici';

/** How a call ended, as its caller saw it. */
export interface CallResult {
  readonly status: number;
  /** Outcome of a refusal or of a broken stream. */
  readonly outcome: string | undefined;
  readonly code: string | undefined;
  readonly text: string;
  /** Whether the answer is whole and belongs to the prompt. */
  readonly complete: boolean;
  readonly tokens: number;
  readonly totalTokens: number;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly firstTokenMs: number | undefined;
  /** Mean time between two tokens. */
  readonly betweenTokensMs: number | undefined;
  readonly retryAfterS: number | undefined;
  readonly resumeHandle: string | undefined;
  /** Indices of the tokens received. */
  readonly lastEventId: number;
}

/** A completion to ask for. */
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

/** Digest that the stand-in engines put into each token of an answer. */
export const digestPrompt = (prompt: string): string =>
  createHash('sha256').update(prompt).digest('hex').slice(0, 8);

const expectText = (digest: string, from: number, to: number): string =>
  Array.from({ length: Math.max(0, to - from) }, (_, i) => `${digest}.${from + i} `).join('');

/** Whether a text holds the tokens `from` up to `to` of the answer to a prompt, and no others. */
export const isExpectedText = (prompt: string, text: string, from: number, to: number): boolean =>
  text === expectText(digestPrompt(prompt), from, to);

interface StreamState {
  text: string;
  tokens: number;
  firstAt: number | undefined;
  lastAt: number | undefined;
  done: boolean;
  usage: number;
  outcome: string | undefined;
  code: string | undefined;
  lastEventId: number;
}

interface StreamChunk {
  readonly choices?: { text: string; finish_reason: string | null }[];
  readonly usage?: { total_tokens: number };
  readonly error?: { outcome: string; code: string };
}

const takeEvent = (event: string, state: StreamState): void => {
  const lines = event.split('\n');
  const data = lines.find((l) => l.startsWith('data: '))?.slice(6);
  const id = lines.find((l) => l.startsWith('id: '))?.slice(4);
  if (data === undefined) return;
  if (data === '[DONE]') {
    state.done = true;
    return;
  }
  const chunk = JSON.parse(data) as StreamChunk;
  if (chunk.error) {
    state.outcome = chunk.error.outcome;
    state.code = chunk.error.code;
  }
  if (chunk.usage) state.usage = chunk.usage.total_tokens;
  const choice = chunk.choices?.[0];
  if (!choice || choice.finish_reason !== null) return;
  const now = performance.now();
  state.firstAt ??= now;
  state.lastAt = now;
  state.text += choice.text;
  state.tokens += 1;
  state.lastEventId = Number(id ?? state.lastEventId);
};

const makeState = (): StreamState => ({
  text: '',
  tokens: 0,
  firstAt: undefined,
  lastAt: undefined,
  done: false,
  usage: 0,
  outcome: undefined,
  code: undefined,
  lastEventId: 0,
});

type SentRequest = Parameters<typeof request>[1];

const readStream = async (body: AsyncIterable<Buffer>, state: StreamState): Promise<void> => {
  let pending = '';
  for await (const chunk of body) {
    const events = (pending + chunk.toString()).split('\n\n');
    pending = events.pop() ?? '';
    events.forEach((event) => takeEvent(event, state));
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
  opts: SentRequest,
  isWhole: (state: StreamState) => boolean,
): Promise<CallResult> => {
  const state = makeState();
  const startedAt = performance.now();
  let status = 0;
  let handle: string | undefined;
  let retryAfterS: number | undefined;
  try {
    const res = await request(url, { ...opts, dispatcher: agent });
    status = res.statusCode;
    handle = res.headers['x-resume-handle'] as string | undefined;
    if (res.headers['retry-after'] !== undefined) retryAfterS = Number(res.headers['retry-after']);
    if (status === 200) await readStream(res.body, state);
    else readRefusal(await res.body.text(), state);
  } catch (error) {
    state.code ??= (error as { code?: string }).code ?? 'connection-lost';
  }
  const { firstAt, lastAt, tokens } = state;
  return {
    status,
    outcome: state.outcome,
    code: state.code,
    text: state.text,
    complete: status === 200 && state.done && isWhole(state),
    tokens,
    totalTokens: state.usage,
    startedAt,
    endedAt: performance.now(),
    firstTokenMs: firstAt === undefined ? undefined : firstAt - startedAt,
    betweenTokensMs:
      firstAt === undefined || lastAt === undefined || tokens < 2
        ? undefined
        : (lastAt - firstAt) / (tokens - 1),
    retryAfterS,
    resumeHandle: handle,
    lastEventId: state.lastEventId,
  };
};

/** Asks for a streamed completion and checks its answer. */
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

/** Fetches the rest of a stream through another VM. */
export const callResume = (
  url: string,
  key: string,
  handle: string,
  lastEventId: number,
): Promise<CallResult> =>
  callStream(
    `${url}/v1/resume`,
    {
      method: 'GET',
      headers: {
        authorization: `Bearer ${key}`,
        'x-resume-handle': handle,
        'last-event-id': String(lastEventId),
      },
    },
    () => true,
  );

/** Calls a service route. */
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
      const state = makeState();
      if (res.statusCode !== 200) readRefusal(text, state);
      const retryAfter = res.headers['retry-after'];
      return { status: res.statusCode, state, text, retryAfter };
    })
    .catch((error: { code?: string }) => {
      const state = { ...makeState(), code: error.code ?? 'connection-lost' };
      return { status: 0, state, text: '', retryAfter: undefined };
    })
    .then(({ status, state, text, retryAfter }) => ({
      status,
      outcome: state.outcome,
      code: state.code,
      text,
      body: text,
      whole: status === 200,
      tokens: 0,
      usage: 0,
      startedAt,
      endedAt: performance.now(),
      firstTokenMs: undefined,
      betweenTokensMs: undefined,
      retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
      resumeHandle: undefined,
      lastEventId: 0,
    }));
};
