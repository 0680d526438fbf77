import { createServer, type Server } from 'node:http';
import type { Endpoint } from '@hemlocksill/config/settings.js';

/** A call to one of the small interfaces of a router. */
export interface SimpleRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** A response of a small interface. */
export interface SimpleResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Maximum size of a request body; the chunks beyond it are dropped. */
const maxBodyBytes = 64 * 1_024;

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
 * Serves one of the small interfaces: ready, metrics, peers. The framework that the operators'
 * interface uses would load a second HTTP client, a third of the time in which a VM starts.
 *
 * @example
 * serveSimpleHttp(endpoint, () => Promise.resolve(textResponse(200, 'ready')));
 */
export const serveSimpleHttp = (
  endpoint: Endpoint,
  handle: (request: SimpleRequest) => Promise<SimpleResponse>,
): Server => {
  const server = createServer((req, res) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBodyBytes) chunks.push(chunk);
    });
    req.on('end', () => {
      const body = Buffer.concat(chunks).toString('utf8');
      const path = (req.url ?? '/').replace(/\?.*$/, '');
      void handle({ method: req.method ?? 'GET', path, body }).then((response) => {
        res.writeHead(response.status, {
          'content-type': response.contentType,
          'content-length': String(Buffer.byteLength(response.body)),
        });
        res.end(response.body);
      });
    });
  });
  server.listen(endpoint.port, endpoint.host);
  return server;
};
