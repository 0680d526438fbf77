import type { Server } from 'node:http';
import { createJSONRPCErrorResponse, JSONRPCServer } from 'json-rpc-2.0';
import { err, ok, type Result } from 'neverthrow';
import type { Endpoint } from '@hemlocksill/config/settings.js';
import type { BusyReply } from '@hemlocksill/routing/transfer-turns.js';
import { makeAnswerClient } from '@hemlocksill/sockets/answer-client.js';
import { collectAnswer } from '@hemlocksill/sockets/collect-answer.js';
import { isAddress, isRawView } from './gossip-message.js';
import { jsonResponse, textResponse, serveSimpleHttp } from './simple-http-server.js';
import type { RawView, SeenRevisions } from './view-controller.js';
import { decompress, makeViewEncoder } from './view-encoder.js';
import type { ViewTransfers } from './view-transfers.js';

/**
 * Time without a byte after which a call to a peer fails. A large configuration takes seconds on a slow
 * link, so that the time of a whole call says nothing about its peer.
 */
const progressTimeoutMs = 800;

/** Maximum duration of a call to a peer. */
const callTimeoutMs = 12_000;

/** Maximum size of a response: the configuration and the changed entries of backend servers. */
const maxViewBytes = 16 * 1_024 * 1_024;

const rpcPath = '/rpc';

/** Error of a VM that serves as many transfers as it may. */
const busyErrorCode = -32_000;

/** The parameters of a call: the caller's revisions and, from this release on, its address. */
interface ViewRequest extends SeenRevisions {
  readonly address: string | undefined;
}

const parseViewRequest = (params: unknown): ViewRequest => {
  const seen = params as Partial<ViewRequest> | undefined;
  return {
    config: Number(seen?.config ?? 0),
    servers: Number(seen?.servers ?? 0),
    address: isAddress(seen?.address) ? seen.address : undefined,
  };
};

/** Dependencies of the server of views. */
export interface PeerViewDeps {
  readonly getChangesSince: (seen: SeenRevisions) => RawView;
  readonly transfers: ViewTransfers;
  readonly onError: (error: Error) => void;
}

/** A view and the VM that asked for it. */
interface ViewReply {
  readonly view: RawView;
  readonly address: string | undefined;
}

/** Serves this VM's view to its peers. */
export const servePeerViews = (
  endpoint: Endpoint,
  { getChangesSince, transfers, onError }: PeerViewDeps,
): Server => {
  const rpc = new JSONRPCServer();
  const encoder = makeViewEncoder();
  rpc.addMethod('getView', (params): ViewReply => {
    const request = parseViewRequest(params);
    return { view: getChangesSince(request), address: request.address };
  });
  const server = serveSimpleHttp(endpoint, async ({ method, path, body, acceptsGzip }) => {
    if (method !== 'POST' || path !== rpcPath) return textResponse(404, 'no such page');
    const response = await rpc.receiveJSON(body);
    if (!response) return textResponse(204, '');
    // A batch would evade the limit of transfers.
    if (Array.isArray(response)) return textResponse(400, 'batches are not served');
    if (!('result' in response)) return jsonResponse(response);
    const { id, result } = response;
    const { view, address } = result as ViewReply;
    const turn = view.config && (await transfers.awaitTurn(view.config.revision, address));
    if (turn?.kind === 'busy') {
      const { holders, retryAfterMs } = turn;
      const busy = { holders, retryAfterMs };
      return jsonResponse(createJSONRPCErrorResponse(id, busyErrorCode, 'busy', busy));
    }
    return {
      status: 200,
      contentType: 'application/json',
      body: await encoder.encode(id, view, acceptsGzip),
      ...(acceptsGzip ? { encoding: 'gzip' as const } : {}),
      ...(turn ? { onClosed: turn.end } : {}),
    };
  });
  server.on('error', onError);
  return server;
};

/** Why a view was not fetched. */
export type FetchFault =
  { readonly kind: 'failed'; readonly reason: string } | ({ readonly kind: 'busy' } & BusyReply);

/** A view and the number of bytes that were received for it. */
export interface FetchedView {
  readonly view: RawView;
  readonly bytes: number;
}

const parseBusyReply = (error: unknown): BusyReply | undefined => {
  const { code, data } = (error ?? {}) as { code?: unknown; data?: Partial<BusyReply> };
  if (code !== busyErrorCode) return undefined;
  const holders = Array.isArray(data?.holders) ? data.holders.filter(isAddress) : [];
  const retryAfterMs = Number(data?.retryAfterMs);
  return { holders, retryAfterMs: retryAfterMs > 0 ? retryAfterMs : 0 };
};

const parseReply = (text: string, bytes: number): Result<FetchedView, FetchFault> => {
  const { result, error } = JSON.parse(text) as { result?: unknown; error?: unknown };
  if (isRawView(result)) return ok({ view: result, bytes });
  const busy = parseBusyReply(error);
  return err(
    busy
      ? { kind: 'busy', ...busy }
      : { kind: 'failed', reason: 'the response is not a valid view' },
  );
};

/**
 * Fetches the changes after the given revisions from a peer. The response is compressed if the peer can do
 * so; a peer of an earlier release sends it as it is.
 *
 * @param localAddress - peers' address of this VM, by which the peer can name it to others as a source
 * @example
 * await fetchPeerView('10.1.0.25:8229', { config: 0, servers: 0 }, '10.1.0.26:8229', signal);
 */
export const fetchPeerView = async (
  address: string,
  seen: SeenRevisions,
  localAddress: string,
  signal: AbortSignal,
): Promise<Result<FetchedView, FetchFault>> => {
  const client = makeAnswerClient(`http://${address}`, {});
  const timeout = new AbortController();
  const progressTimer = setTimeout(
    () => timeout.abort(new Error('no progress in time')),
    progressTimeoutMs,
  );
  // `AbortSignal.timeout` can be collected, and never fire, while only `AbortSignal.any` refers to it.
  const callTimer = setTimeout(() => timeout.abort(new Error('no view in time')), callTimeoutMs);
  const sent = client.request({
    method: 'POST',
    path: rpcPath,
    headers: { 'content-type': 'application/json', 'accept-encoding': 'gzip' },
    body: JSON.stringify({
      jsonrpc: '2.0',
      id: 1,
      method: 'getView',
      params: { ...seen, address: localAddress },
    }),
    signal: AbortSignal.any([signal, timeout.signal]),
  });
  try {
    const answer = await collectAnswer(sent, maxViewBytes, () => progressTimer.refresh());
    if (answer.isErr()) return err({ kind: 'failed', reason: answer.error.error.message });
    const { headers, body: received } = answer.value;
    const isCompressed = headers['content-encoding'] === 'gzip';
    const decoded = isCompressed ? await decompress(received, maxViewBytes) : ok(received);
    return decoded
      .mapErr((reason): FetchFault => ({ kind: 'failed', reason }))
      .andThen((bytes) => parseReply(bytes.toString('utf8'), received.length));
  } catch (error) {
    return err({
      kind: 'failed',
      reason: error instanceof Error ? error.message : 'unknown error',
    });
  } finally {
    clearTimeout(progressTimer);
    clearTimeout(callTimer);
    client.destroy().catch(() => {
      // A second call of destroy() rejects; the connection is closed in both cases.
    });
  }
};
