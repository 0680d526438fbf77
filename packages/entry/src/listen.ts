import { readFileSync } from 'node:fs';
import { createServer as createHttpServer, type Server as HttpServer } from 'node:http';
import { createServer as createHttpsServer, type Server as HttpsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import { acceptWaiting } from '@hemlocksill/timers/run-after-reads.js';

/** Maximum time for receiving the request headers, in milliseconds. */
const headersTimeoutMs = 10_000;
const keepAliveTimeoutMs = 60_000;

/** Time for which callers that connect without a pause may keep a listener from draining. */
const maxAcceptMs = 500;

/** Paths of a certificate and its private key. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
}

/** An HTTP or HTTPS server that accepts connections. */
export interface Listener {
  readonly port: number;
  /** Reloads the certificate; open connections keep the previous one. */
  readonly reloadTls: () => void;
  /** Stops accepting connections and closes the open ones once they are idle. */
  readonly drain: () => Promise<void>;
  readonly close: () => void;
}

const readTls = (tls: TlsFiles) => ({
  cert: readFileSync(tls.certFile),
  key: readFileSync(tls.keyFile),
});

/** Serves an application on one address, over HTTPS if certificate files are given. */
export const listen = (
  app: { readonly fetch: Parameters<typeof getRequestListener>[0] },
  endpoint: { readonly host: string; readonly port: number },
  tls: TlsFiles | undefined,
): Promise<Listener> => {
  const handle = getRequestListener(app.fetch, { overrideGlobalObjects: false });
  const onRequest = (...args: Parameters<typeof handle>): void => void handle(...args);
  const server: HttpServer | HttpsServer = tls
    ? createHttpsServer(readTls(tls), onRequest)
    : createHttpServer(onRequest);
  server.headersTimeout = headersTimeoutMs;
  server.requestTimeout = 0;
  server.keepAliveTimeout = keepAliveTimeoutMs;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint.port, endpoint.host, () => {
      resolve({
        port: (server.address() as AddressInfo).port,
        reloadTls: () => {
          if (tls) (server as HttpsServer).setSecureContext(readTls(tls));
        },
        drain: async () => {
          await acceptWaiting(server, performance.now() + maxAcceptMs);
          await new Promise<void>((onClosed) => {
            server.close(() => onClosed());
            server.closeIdleConnections();
          });
        },
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
};
