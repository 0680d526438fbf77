import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { buildConnector, request } from 'undici';
import type { OperatorSettings } from '@hemlocksill/config/settings.js';
import { signOperatorRequest } from '@hemlocksill/revisions/operator-signature.js';
import { getStoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { makeAnswerAgent } from '@hemlocksill/sockets/answer-agent.js';
import { collectAnswer } from '@hemlocksill/sockets/collect-answer.js';
import type { Store, StoreFault } from '@hemlocksill/types/ports.js';

const requestTimeoutMs = 2_000;

/** Maximum size of a response. */
const maxResponseBytes = 16 * 1_024 * 1_024;

/** Registration of a VM in the store. */
export interface ListedVm {
  readonly vm: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly operators: { readonly host: string; readonly port: number };
}

/** Lists the registered VMs, ordered by name. */
export const listVms = async (
  store: Store,
  environment: string,
): Promise<Result<ListedVm[], StoreFault>> => {
  const listing = await store.list(getStoreKeys(environment).members);
  return listing.map(({ entries }) =>
    entries
      .map((entry) => JSON.parse(entry.value) as ListedVm)
      .sort((a, b) => (a.vm < b.vm ? -1 : 1)),
  );
};

/**
 * Sends a request to the operators' interface of a VM. Returns the parsed JSON body, or an
 * error text if there is no response with status 200.
 */
export type CallVm = (
  vm: ListedVm,
  method: 'GET' | 'POST',
  path: string,
  body: string,
) => Promise<Result<unknown, string>>;

const parseBody = (body: Buffer): Result<unknown, string> => {
  try {
    return ok(JSON.parse(body.toString('utf8')) as unknown);
  } catch (error) {
    return err((error as Error).message);
  }
};

/** Makes a client of the operators' interface that signs with the first operators' secret. */
export const makeCallVm = (settings: OperatorSettings): CallVm => {
  const { tlsCaFile } = settings;
  const scheme = tlsCaFile === undefined ? 'http' : 'https';
  const dispatcher = makeAnswerAgent(
    tlsCaFile === undefined ? {} : { connect: buildConnector({ ca: readFileSync(tlsCaFile) }) },
  );
  return async (vm, method, path, body) => {
    const timestamp = Date.now();
    const secret = settings.operatorSecrets[0] ?? '';
    const { host, port } = vm.operators;
    const urlHost = host.includes(':') ? `[${host}]` : host;
    const sent = request(`${scheme}://${urlHost}:${port}${path}`, {
      method,
      body: method === 'POST' ? body : null,
      dispatcher,
      headers: {
        'x-operator-time': String(timestamp),
        'x-operator-signature': signOperatorRequest(secret, method, path, body, timestamp),
      },
      signal: AbortSignal.timeout(requestTimeoutMs),
    });
    const answer = await collectAnswer(sent, maxResponseBytes);
    return answer
      .mapErr(({ error }) => error.message)
      .andThen((received) =>
        received.status === 200 ? parseBody(received.body) : err(`status ${received.status}`),
      );
  };
};
