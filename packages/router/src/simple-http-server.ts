import { createServer, type Server } from 'node:http';
import type { Endpoint } from '@hemlocksill/config/settings.js';
import { makeBodyBuffer } from '@hemlocksill/sockets/body-buffer.js';

/** A request to one of the router's auxiliary HTTP endpoints. */
export interface SimpleRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Whether the sender reads a response that is compressed with gzip. */
  readonly acceptsGzip: boolean;
}

/** A response of an auxiliary endpoint. */
export interface SimpleResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string | Buffer;
  readonly encoding?: 'gzip';
  /**
   * Called when the connection is closed. The receiver closes it after the response; the end of writing only
   * tells that the kernel has buffered it.
   */
  readonly onClosed?: () => void;
}

/** Maximum size of a request body; a larger request is refused. */
const maxBodyBytes = 64 * 1_024;

/** Time within which a request must be received, and interval of the checks. */
const requestTimeoutMs = 5_000;
const timeoutCheckIntervalMs = 1_000;

/** Time without progress after which the connection of a response with `onClosed` is closed. */
const closeTimeoutMs = 3_000;

/** Makes a plain-text response. */
export const textResponse = (status: number, body: string): SimpleResponse => ({
  status,
  contentType: 'text/plain',
  body,
});

/** Makes a JSON response. */
export const jsonResponse = (value: unknown): SimpleResponse => ({
  status: 200,
  contentType: 'application/json',
  body: JSON.stringify(value),
});

/**
 * Starts the HTTP server of an auxiliary endpoint: readiness, metrics or peers. It uses no web
 * framework, because the one behind the operators' endpoint would also load a second HTTP client,
 * which would take a third of a VM's start-up time.
 *
 * @example
 * serveSimpleHttp(endpoint, () => Promise.resolve(textResponse(200, 'ready')));
 */
export const serveSimpleHttp = (
  endpoint: Endpoint,
  handle: (request: SimpleRequest) => Promise<SimpleResponse>,
): Server => {
  const options = {
    requestTimeout: requestTimeoutMs,
    headersTimeout: requestTimeoutMs,
    connectionsCheckingInterval: timeoutCheckIntervalMs,
  };
  const server = createServer(options, (req, res) => {
    const received = makeBodyBuffer();
    const send = (response: SimpleResponse, isClosing = false): void => {
      const { encoding, onClosed } = response;
      if (onClosed) {
        if (req.socket.destroyed) onClosed();
        else req.socket.once('close', onClosed);
        req.socket.setTimeout(closeTimeoutMs, () => req.socket.destroy());
      }
      res.writeHead(response.status, {
        'content-type': response.contentType,
        'content-length': String(Buffer.byteLength(response.body)),
        ...(encoding ? { 'content-encoding': encoding } : {}),
        ...(isClosing ? { connection: 'close' } : {}),
      });
      res.end(response.body);
    };
    req.on('data', (chunk: Buffer) => {
      if (received.getBytes() + chunk.length <= maxBodyBytes) received.append(chunk);
      else if (!res.headersSent) {
        send(textResponse(413, 'the body is too large'), true);
        res.on('finish', () => req.destroy());
      }
    });
    req.on('end', () => {
      if (res.headersSent) return;
      const body = received.take().toString('utf8');
      const path = (req.url ?? '/').replace(/\?.*$/, '');
      const acceptsGzip = /\bgzip\b/.test(String(req.headers['accept-encoding'] ?? ''));
      void handle({ method: req.method ?? 'GET', path, body, acceptsGzip }).then((response) =>
        send(response),
      );
    });
  });
  server.listen(endpoint.port, endpoint.host);
  return server;
};
