import type { Server } from 'node:http';
import { JSONRPCServer } from 'json-rpc-2.0';
import { err, ok, type Result } from 'neverthrow';
import { Client } from 'undici';
import type { Endpoint } from '@hemlocksill/config/settings.js';
import { isRawView } from './gossip-message.js';
import { jsonResponse, textResponse, serveSimpleHttp } from './simple-http-server.js';
import type { RawView, SeenRevisions } from './view-controller.js';

/** Timeout of a call to a peer. */
const callTimeoutMs = 800;

/** Maximum size of a response: the configuration and the changed entries of backend servers. */
const maxViewBytes = 16 * 1_024 * 1_024;

const rpcPath = '/rpc';

const parseSeenRevisions = (params: unknown): SeenRevisions => {
  const seen = params as Partial<SeenRevisions> | undefined;
  return { config: Number(seen?.config ?? 0), servers: Number(seen?.servers ?? 0) };
};

/** Serves this VM's view to its peers. */
export const servePeerViews = (
  endpoint: Endpoint,
  getChangesSince: (seen: SeenRevisions) => RawView,
  onError: (error: Error) => void,
): Server => {
  const rpc = new JSONRPCServer();
  rpc.addMethod('getView', (seen) => getChangesSince(parseSeenRevisions(seen)));
  const server = serveSimpleHttp(endpoint, async ({ method, path, body }) => {
    if (method !== 'POST' || path !== rpcPath) return textResponse(404, 'no such page');
    const response = await rpc.receiveJSON(body);
    return response ? jsonResponse(response) : textResponse(204, '');
  });
  server.on('error', onError);
  return server;
};

/**
 * Fetches the changes after the given revisions from a peer.
 *
 * @example
 * await fetchPeerView('10.1.0.25:8229', { config: 0, servers: 0 });
 */
export const fetchPeerView = async (
  address: string,
  seen: SeenRevisions,
): Promise<Result<RawView, string>> => {
  const client = new Client(`http://${address}`, { maxResponseSize: maxViewBytes });
  try {
    const res = await client.request({
      method: 'POST',
      path: rpcPath,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'getView', params: seen }),
      signal: AbortSignal.timeout(callTimeoutMs),
    });
    const { result } = JSON.parse(await res.body.text()) as { result?: unknown };
    return isRawView(result) ? ok(result) : err('the response is not a valid view');
  } catch (error) {
    return err(error instanceof Error ? error.message : 'unknown error');
  } finally {
    client.destroy().catch(() => {
      // A second call of destroy() rejects; the connection is closed in both cases.
    });
  }
};
