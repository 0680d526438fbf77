import { readFileSync } from 'node:fs';
import { createServer as createHttp, type Server as HttpServer } from 'node:http';
import { createServer as createHttps, type Server as HttpsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import { getRequestListener } from '@hono/node-server';

/** Longest time in which a caller may send its headers, in milliseconds. */
const headersTimeoutMs = 10_000;
const keepAliveMs = 60_000;

/** Files of a certificate and its key. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
}

/** A listener for HTTP or HTTPS. */
export interface Listener {
  readonly port: number;
  /** Reads the certificate again; open connections keep the old one. */
  readonly reloadTls: () => void;
  /** Stops listening and ends connections once they are idle. */
  readonly drain: () => Promise<void>;
  readonly close: () => void;
}

const readTls = (tls: TlsFiles) => ({
  cert: readFileSync(tls.certFile),
  key: readFileSync(tls.keyFile),
});

/** Serves an application on one address. */
export const listen = (
  app: { readonly fetch: Parameters<typeof getRequestListener>[0] },
  endpoint: { readonly host: string; readonly port: number },
  tls: TlsFiles | undefined,
): Promise<Listener> => {
  const handle = getRequestListener(app.fetch, { overrideGlobalObjects: false });
  const onRequest = (...args: Parameters<typeof handle>): void => void handle(...args);
  const server: HttpServer | HttpsServer = tls
    ? createHttps(readTls(tls), onRequest)
    : createHttp(onRequest);
  server.headersTimeout = headersTimeoutMs;
  server.requestTimeout = 0;
  server.keepAliveTimeout = keepAliveMs;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint.port, endpoint.host, () => {
      resolve({
        port: (server.address() as AddressInfo).port,
        reloadTls: () => {
          if (tls) (server as HttpsServer).setSecureContext(readTls(tls));
        },
        drain: () =>
          new Promise((done) => {
            server.close(() => done());
            server.closeIdleConnections();
          }),
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
};
