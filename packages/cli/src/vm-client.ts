import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import type { OperatorSettings } from '@hemlocksill/config/settings.js';
import { signOperatorRequest } from '@hemlocksill/revisions/operator-signature.js';
import { getStoreKeys } from '@hemlocksill/revisions/store-keys.js';
import type { Store, StoreFault } from '@hemlocksill/types/ports.js';

const requestTimeoutMs = 2_000;

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

/** Makes a client of the operators' interface that signs with the first operators' secret. */
export const makeCallVm = (settings: OperatorSettings): CallVm => {
  const { tlsCaFile } = settings;
  const scheme = tlsCaFile === undefined ? 'http' : 'https';
  const dispatcher = new Agent({
    connect: tlsCaFile === undefined ? {} : { ca: readFileSync(tlsCaFile) },
  });
  return async (vm, method, path, body) => {
    const timestamp = Date.now();
    const secret = settings.operatorSecrets[0] ?? '';
    const { host, port } = vm.operators;
    const urlHost = host.includes(':') ? `[${host}]` : host;
    try {
      const response = await request(`${scheme}://${urlHost}:${port}${path}`, {
        method,
        body: method === 'POST' ? body : null,
        dispatcher,
        headers: {
          'x-operator-time': String(timestamp),
          'x-operator-signature': signOperatorRequest(secret, method, path, body, timestamp),
        },
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      const text = await response.body.text();
      return response.statusCode === 200
        ? ok(JSON.parse(text) as unknown)
        : err(`status ${response.statusCode}`);
    } catch (error) {
      return err((error as Error).message);
    }
  };
};
