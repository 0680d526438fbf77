import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { makeConnector } from '@hemlocksill/sockets/make-connector.js';
import type {
  CasResponse,
  CasRequest,
  Store,
  StoreEntry,
  StoreFault,
  StoreListing,
  WatchResponse,
} from '@hemlocksill/types/ports.js';

/** Timeout of one call in milliseconds; a watch adds its own waiting time. */
const callTimeoutMs = 2_000;

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

const classifyError = (error: unknown): StoreFault => {
  const code = (error as { code?: string }).code ?? '';
  const name = (error as { name?: string }).name ?? '';
  if (name === 'TimeoutError' || code.includes('TIMEOUT')) return 'timeout';
  return 'unreachable';
};

const classifyStatus = (status: number): StoreFault | undefined => {
  if (status === 410) return 'lease-gone';
  if (status === 429 || status === 503) return 'overloaded';
  return status === 200 ? undefined : 'bad-answer';
};

const sendOnce = async (
  agent: Agent,
  url: string,
  call: StoreCall,
): Promise<Result<RawResponse, StoreFault>> => {
  try {
    const res = await request(`${url}/v1/${call.kind}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(call.body),
      dispatcher: agent,
      signal: AbortSignal.timeout(call.timeoutMs),
    });
    const text = await res.body.text();
    return ok({ status: res.statusCode, body: text === '' ? undefined : JSON.parse(text) });
  } catch (error) {
    return err(error instanceof SyntaxError ? 'bad-answer' : classifyError(error));
  }
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
  const agent = new Agent({ connect: makeConnector(), connections: 16, keepAliveTimeout: 30_000 });
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

  const runCall = async <T>(call: StoreCall): Promise<Result<T, StoreFault>> => {
    const result = (await send(call)).andThen(({ status, body }) => {
      const fault = classifyStatus(status);
      return fault === undefined ? ok(body as T) : err(fault);
    });
    countCall(call.kind, result.isOk() ? 'ok' : result.error);
    return result;
  };

  const read = <T>(kind: string, body: unknown) =>
    runCall<T>({ kind, body, timeoutMs: callTimeoutMs, isRetryable: true });
  const write = <T>(kind: string, body: unknown) =>
    runCall<T>({ kind, body, timeoutMs: callTimeoutMs, isRetryable: false });

  return {
    get: async (key) =>
      (await read<{ entry: StoreEntry | null }>('get', { key })).map(
        (body) => body.entry ?? undefined,
      ),
    list: (prefix) => read<StoreListing>('list', { prefix }),
    cas: async (req: CasRequest) =>
      (
        await write<{ written: boolean; revision: number; current: StoreEntry | null }>('cas', {
          ...req,
          value: req.value ?? null,
        })
      ).map((body): CasResponse =>
        body.written
          ? { kind: 'written', revision: body.revision }
          : { kind: 'conflict', current: body.current ?? undefined },
      ),
    grantLease: async (ttlMs) =>
      (await write<{ leaseId: string }>('lease/grant', { ttlMs })).map((body) => body.leaseId),
    renewLease: async (leaseId) =>
      (await write<unknown>('lease/renew', { leaseId })).map(() => undefined),
    revokeLease: async (leaseId) =>
      (await write<unknown>('lease/revoke', { leaseId })).map(() => undefined),
    watch: (prefix, after, waitMs) =>
      runCall<WatchResponse>({
        kind: 'watch',
        body: { prefix, after, waitMs },
        timeoutMs: waitMs + callTimeoutMs,
        isRetryable: false,
      }),
  };
};
