import type { Readable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import { request, type Dispatcher } from 'undici';
import { z } from 'zod';
import { makeAnswerAgent } from '@hemlocksill/sockets/answer-agent.js';
import { makeConnector } from '@hemlocksill/sockets/make-connector.js';
import { collectBody } from '@hemlocksill/sockets/collect-answer.js';
import type { DecodeStart, EngineStart } from '@hemlocksill/types/engine-protocol.js';

const connectTimeoutMs = 1_000;
const defaultTimeoutMs = 2_000;

/** Maximum size of a response other than a stream. */
const maxResponseBytes = 4 * 1_024 * 1_024;

/**
 * Why a call to an engine returned no usable response.
 *
 * - `not-sent`: no connection was established.
 * - `lost`: the connection broke or the call timed out after the request may have been sent.
 * - `aborted`: this VM cancelled the call.
 */
export type EngineFault =
  | 'not-sent'
  | 'lost'
  | 'aborted'
  | 'no-slot'
  | 'evicted'
  | 'cancelled'
  | 'refused'
  | 'stale-fencing'
  | 'unknown-stream'
  | 'bad-answer';

const loadSchema = z.object({
  version: z.string(),
  state: z.enum(['serving', 'leaving', 'loading']),
  running: z.number(),
  queuedTokens: z.number(),
});
const holdsSchema = z.object({
  holds: z.array(
    z.object({ id: z.string(), owner: z.string(), kind: z.string(), ageMs: z.number() }),
  ),
});
const cacheSchema = z.object({
  events: z.array(
    z.object({ seq: z.number(), kind: z.enum(['added', 'evicted']), piece: z.string() }),
  ),
  last: z.number(),
});
const prefillSchema = z.object({ cachedPieces: z.number() });

/** Load report of an engine; it lags behind the engine's state. */
export type EngineLoad = z.output<typeof loadSchema>;
/** Memory that an engine holds for an attempt. */
export type EngineHold = z.output<typeof holdsSchema>['holds'][number];
/** Cache events after a sequence number; events may have been lost. */
export type CacheEvents = z.output<typeof cacheSchema>;

/** Order to an engine; it states the target version and state, so it is safe to retry. */
export interface EngineOrder {
  readonly fencing: number;
  readonly version?: string;
  readonly state?: 'serving' | 'leaving';
}

/** Client of the engine protocol. */
export interface EngineClient {
  readonly prefill: (
    url: string,
    start: EngineStart,
    timeoutMs: number,
    signal: AbortSignal,
  ) => Promise<Result<{ cachedPieces: number }, EngineFault>>;
  readonly decode: (
    url: string,
    start: DecodeStart,
    timeoutMs: number,
    signal: AbortSignal,
  ) => Promise<Result<Readable, EngineFault>>;
  readonly resume: (
    url: string,
    id: string,
    from: number,
    owner: string,
    signal: AbortSignal,
  ) => Promise<Result<Readable, EngineFault>>;
  readonly cancel: (url: string, id: string) => Promise<Result<void, EngineFault>>;
  readonly readLoad: (url: string) => Promise<Result<EngineLoad, EngineFault>>;
  readonly readHolds: (url: string) => Promise<Result<readonly EngineHold[], EngineFault>>;
  readonly readCacheEvents: (
    url: string,
    after: number,
  ) => Promise<Result<CacheEvents, EngineFault>>;
  readonly order: (url: string, order: EngineOrder) => Promise<Result<void, EngineFault>>;
  readonly close: () => void;
}

const notConnectedCodes = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Classifies an error of the HTTP client by whether the request may have been sent. */
export const classifyHttpError = (error: unknown): 'not-sent' | 'lost' | 'aborted' => {
  const { code, name } = error as { code?: string; name?: string };
  if (name === 'AbortError' || code === 'UND_ERR_ABORTED') return 'aborted';
  return notConnectedCodes.includes(code ?? '') ? 'not-sent' : 'lost';
};

const faultByCode: Record<string, EngineFault> = {
  'no-slot': 'no-slot',
  evicted: 'evicted',
  cancelled: 'cancelled',
  'stale-fencing': 'stale-fencing',
  unknown: 'unknown-stream',
};

/** Parses a body; undefined if it is not valid JSON. */
const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
};

const readJson = async (res: Dispatcher.ResponseData): Promise<Result<unknown, EngineFault>> =>
  (await collectBody(res, maxResponseBytes))
    .map(parseJson)
    .mapErr(({ kind, error }) => (kind === 'too-large' ? 'bad-answer' : classifyHttpError(error)));

const faultSchema = z.object({ code: z.string().default('') });

const readFault = async (res: Dispatcher.ResponseData): Promise<EngineFault> => {
  const body = await readJson(res);
  if (body.isErr()) return body.error;
  const parsed = faultSchema.safeParse(body.value);
  return parsed.success ? (faultByCode[parsed.data.code] ?? 'refused') : 'bad-answer';
};

/**
 * Creates a client of the engine protocol.
 *
 * @example
 * const engines = makeEngineClient();
 * const load = await engines.readLoad('http://127.0.0.1:7300');
 */
export const makeEngineClient = (): EngineClient => {
  const agent = makeAnswerAgent({
    connect: makeConnector({ timeout: connectTimeoutMs }),
    keepAliveTimeout: 30_000,
  });

  /** Sends a request; its response must be read by `readResponse` within the time limit. */
  const sendRequest = async <T>(
    url: string,
    body: unknown,
    timeoutMs: number,
    signal: AbortSignal | undefined,
    readResponse: (res: Dispatcher.ResponseData) => Promise<Result<T, EngineFault>>,
  ): Promise<Result<T, EngineFault>> => {
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(new Error('no answer in time')), timeoutMs);
    try {
      const response = await request(url, {
        method: body === undefined ? 'GET' : 'POST',
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        dispatcher: agent,
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: signal ? AbortSignal.any([signal, timeout.signal]) : timeout.signal,
      });
      return response.statusCode === 200
        ? await readResponse(response)
        : err(await readFault(response));
    } catch (error) {
      return err(classifyHttpError(error));
    } finally {
      clearTimeout(timer);
    }
  };

  const requestJson = <T>(
    url: string,
    body: unknown,
    schema: z.ZodType<T>,
    timeoutMs = defaultTimeoutMs,
    signal?: AbortSignal,
  ): Promise<Result<T, EngineFault>> =>
    sendRequest(url, body, timeoutMs, signal, async (response) => {
      const answer = await readJson(response);
      return answer.andThen((value) => {
        const parsed = schema.safeParse(value);
        return parsed.success ? ok(parsed.data) : err('bad-answer');
      });
    });

  const requestStream = (
    url: string,
    body: unknown,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<Readable, EngineFault>> =>
    sendRequest(url, body, timeoutMs, signal, ({ body: stream }) => Promise.resolve(ok(stream)));

  return {
    prefill: (url, start, timeoutMs, signal) =>
      requestJson(`${url}/v1/prefill`, start, prefillSchema, timeoutMs, signal),
    decode: (url, start, timeoutMs, signal) =>
      requestStream(`${url}/v1/decode`, start, timeoutMs, signal),
    resume: (url, id, from, owner, signal) =>
      requestStream(`${url}/v1/resume`, { id, from, owner }, defaultTimeoutMs, signal),
    cancel: async (url, id) =>
      (await requestJson(`${url}/v1/cancel`, { id }, z.object({ held: z.boolean() }))).map(
        () => undefined,
      ),
    readLoad: (url) => requestJson(`${url}/v1/load`, undefined, loadSchema),
    readHolds: async (url) =>
      (await requestJson(`${url}/v1/holds`, undefined, holdsSchema)).map((report) => report.holds),
    readCacheEvents: (url, after) =>
      requestJson(`${url}/v1/cache-events?after=${after}`, undefined, cacheSchema),
    order: async (url, order) =>
      (await requestJson(`${url}/v1/orders`, order, z.unknown())).map(() => undefined),
    close: () => void agent.destroy(),
  };
};
