import type { Server } from 'node:http';
import { JSONRPCServer } from 'json-rpc-2.0';
import { err, ok, type Result } from 'neverthrow';
import { Client } from 'undici';
import type { Endpoint } from '@hemlocksill/config/settings.js';
import { answerJson, answerText, serveAnswers } from './simple-http-server.js';
import type { RawView, SeenRevisions } from './view-controller.js';

/** Time for a peer's answer. */
const callMs = 800;

const rpcPath = '/rpc';

const readSeen = (params: unknown): SeenRevisions => {
  const seen = params as Partial<SeenRevisions> | undefined;
  return { config: Number(seen?.config ?? 0), servers: Number(seen?.servers ?? 0) };
};

/** Serves this VM's view to others. */
export const servePeerViews = (
  at: Endpoint,
  rawSince: (seen: SeenRevisions) => RawView,
  onError: (error: Error) => void,
): Server => {
  const rpc = new JSONRPCServer();
  rpc.addMethod('getView', (seen) => rawSince(readSeen(seen)));
  const server = serveAnswers(at, async ({ method, path, body }) => {
    if (method !== 'POST' || path !== rpcPath) return answerText(404, 'no such page');
    const answer = await rpc.receiveJSON(body);
    return answer ? answerJson(answer) : answerText(204, '');
  });
  server.on('error', onError);
  return server;
};

const isView = (value: unknown): value is RawView => {
  const view = value as Partial<RawView> | undefined;
  return Array.isArray(view?.servers) && Array.isArray(view.removed);
};

/**
 * Asks a peer for what it knows beyond some revisions.
 *
 * @example
 * await fetchPeerView('10.1.0.25:8229', { config: 0, servers: 0 });
 */
export const fetchPeerView = async (
  address: string,
  seen: SeenRevisions,
): Promise<Result<RawView, string>> => {
  const client = new Client(`http://${address}`);
  try {
    const res = await client.request({
      method: 'POST',
      path: rpcPath,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'getView', params: seen }),
      signal: AbortSignal.timeout(callMs),
    });
    const { result } = JSON.parse(await res.body.text()) as { result?: unknown };
    return isView(result) ? ok(result) : err('the answer is no view');
  } catch (error) {
    return err(error instanceof Error ? error.message : 'unknown fault');
  } finally {
    client.destroy().catch(() => {
      // Destroying twice rejects; the connection is gone either way.
    });
  }
};
