import { createServer, type Server } from 'node:http';
import type { Endpoint } from '@hemlocksill/config/settings.js';

/** A call to one of the small interfaces of a router. */
export interface SmallCall {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** An answer of a small interface. */
export interface SmallAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Most bytes of a call's body; a longer one is cut off. */
const mostBodyBytes = 64 * 1_024;

/** Makes an answer of plain text. */
export const answerText = (status: number, body: string): SmallAnswer => ({
  status,
  contentType: 'text/plain',
  body,
});

/** Makes an answer of JSON. */
export const answerJson = (value: unknown): SmallAnswer => ({
  status: 200,
  contentType: 'application/json',
  body: JSON.stringify(value),
});

/**
 * Serves one of the small interfaces: ready, metrics, peers. The framework that the operators'
 * interface uses would load a second HTTP client, a third of the time in which a VM starts.
 *
 * @example
 * serveAnswers({ host: '127.0.0.1', port: 8224 }, () => Promise.resolve(answerText(200, 'ready')));
 */
export const serveAnswers = (
  at: Endpoint,
  answer: (call: SmallCall) => Promise<SmallAnswer>,
): Server => {
  const server = createServer((req, res) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= mostBodyBytes) chunks.push(chunk);
    });
    req.on('end', () => {
      const body = Buffer.concat(chunks).toString('utf8');
      const path = (req.url ?? '/').replace(/\?.*$/, '');
      void answer({ method: req.method ?? 'GET', path, body }).then((got) => {
        res.writeHead(got.status, {
          'content-type': got.contentType,
          'content-length': String(Buffer.byteLength(got.body)),
        });
        res.end(got.body);
      });
    });
  });
  server.listen(at.port, at.host);
  return server;
};
