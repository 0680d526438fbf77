import { err, ok, type Result } from 'neverthrow';
import { request, type Agent } from 'undici';
import { z } from 'zod';
import { makeAnswerAgent } from '@hemlocksill/sockets/answer-agent.js';
import { collectAnswer, type AnswerFault } from '@hemlocksill/sockets/collect-answer.js';
import type { CasResponse, CasRequest, Store, StoreFault } from '@hemlocksill/types/ports.js';

/** Timeout of one call in milliseconds; a watch adds its own waiting time. */
const callTimeoutMs = 2_000;

/** Maximum size of a response: a listing comes whole. */
const maxResponseBytes = 16 * 1_024 * 1_024;

/** Counts a finished call by kind and outcome. */
export type CountCall = (kind: string, outcome: 'ok' | StoreFault) => void;

interface RawResponse {
  readonly status: number;
  readonly body: unknown;
}

interface StoreCall {
  readonly kind: string;
  readonly body: unknown;
  readonly timeoutMs: number;
  /** Whether the call may be sent to the next address after a fault. */
  readonly isRetryable: boolean;
}

const entrySchema = z.object({ key: z.string(), value: z.string(), revision: z.number() });
const getSchema = z.object({ entry: entrySchema.nullish() });
const listSchema = z.object({ entries: z.array(entrySchema), revision: z.number() });
const casSchema = z.discriminatedUnion('written', [
  z.object({ written: z.literal(true), revision: z.number() }),
  z.object({ written: z.literal(false), current: entrySchema.nullish() }),
]);
const leaseSchema = z.object({ leaseId: z.string() });
const watchEventSchema = z.object({
  key: z.string(),
  value: z
    .string()
    .nullish()
    .transform((value) => value ?? undefined),
  revision: z.number(),
});
const watchSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('events'),
    events: z.array(watchEventSchema),
    revision: z.number(),
  }),
  z.object({ kind: z.literal('compacted') }),
]);

const classifyFault = ({ kind, error }: AnswerFault): StoreFault => {
  if (kind === 'too-large') return 'bad-answer';
  const { code = '', name } = error as NodeJS.ErrnoException;
  if (name === 'TimeoutError' || code.includes('TIMEOUT')) return 'timeout';
  return 'unreachable';
};

const classifyStatus = (status: number): StoreFault | undefined => {
  if (status === 410) return 'lease-gone';
  if (status === 429 || status === 503) return 'overloaded';
  return status === 200 ? undefined : 'bad-answer';
};

const parseBody = (body: Buffer): Result<unknown, StoreFault> => {
  if (body.length === 0) return ok(undefined);
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch {
    return err('bad-answer');
  }
};

const sendOnce = async (
  agent: Agent,
  url: string,
  call: StoreCall,
): Promise<Result<RawResponse, StoreFault>> => {
  const sent = request(`${url}/v1/${call.kind}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(call.body),
    dispatcher: agent,
    signal: AbortSignal.timeout(call.timeoutMs),
  });
  const answer = await collectAnswer(sent, maxResponseBytes);
  return answer
    .mapErr(classifyFault)
    .andThen(({ status, body }) => parseBody(body).map((parsed) => ({ status, body: parsed })));
};

/**
 * Makes a client of the platform's key-value service.
 *
 * Reads are retried at the next address after a fault. Writes and watches are sent once,
 * but a fault makes later calls start at the next address. After a fault it is unknown
 * whether a write took effect, and the caller finds out by reading.
 *
 * @example
 * const store = makeHttpStore(['http://127.0.0.1:2379'], () => {});
 * const entry = await store.get('/greeting');
 */
export const makeHttpStore = (urls: readonly string[], countCall: CountCall): Store => {
  const agent = makeAnswerAgent({ connections: 16, keepAliveTimeout: 30_000 });
  let preferredIndex = 0;

  const send = async (call: StoreCall): Promise<Result<RawResponse, StoreFault>> => {
    const maxAttempts = call.isRetryable ? urls.length : 1;
    let lastResult: Result<RawResponse, StoreFault> = err('unreachable');
    for (let i = 0; i < maxAttempts; i += 1) {
      lastResult = await sendOnce(agent, urls[preferredIndex] ?? '', call);
      if (lastResult.isOk()) return lastResult;
      preferredIndex = (preferredIndex + 1) % urls.length;
    }
    return lastResult;
  };

  const runCall = async <T>(
    call: StoreCall,
    schema: z.ZodType<T>,
  ): Promise<Result<T, StoreFault>> => {
    const result = (await send(call)).andThen(({ status, body }) => {
      const fault = classifyStatus(status);
      if (fault !== undefined) return err(fault);
      const parsed = schema.safeParse(body);
      return parsed.success ? ok(parsed.data) : err('bad-answer' as const);
    });
    countCall(call.kind, result.isOk() ? 'ok' : result.error);
    return result;
  };

  const read = <T>(kind: string, body: unknown, schema: z.ZodType<T>) =>
    runCall({ kind, body, timeoutMs: callTimeoutMs, isRetryable: true }, schema);
  const write = <T>(kind: string, body: unknown, schema: z.ZodType<T>) =>
    runCall({ kind, body, timeoutMs: callTimeoutMs, isRetryable: false }, schema);

  return {
    get: async (key) =>
      (await read('get', { key }, getSchema)).map(({ entry }) => entry ?? undefined),
    list: (prefix) => read('list', { prefix }, listSchema),
    cas: async (req: CasRequest) =>
      (await write('cas', { ...req, value: req.value ?? null }, casSchema)).map(
        (body): CasResponse =>
          body.written
            ? { kind: 'written', revision: body.revision }
            : { kind: 'conflict', current: body.current ?? undefined },
      ),
    grantLease: async (ttlMs) =>
      (await write('lease/grant', { ttlMs }, leaseSchema)).map(({ leaseId }) => leaseId),
    renewLease: async (leaseId) =>
      (await write('lease/renew', { leaseId }, z.unknown())).map(() => undefined),
    revokeLease: async (leaseId) =>
      (await write('lease/revoke', { leaseId }, z.unknown())).map(() => undefined),
    watch: (prefix, after, waitMs) =>
      runCall(
        {
          kind: 'watch',
          body: { prefix, after, waitMs },
          timeoutMs: waitMs + callTimeoutMs,
          isRetryable: false,
        },
        watchSchema,
      ),
  };
};
