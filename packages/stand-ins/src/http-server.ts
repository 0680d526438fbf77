import { serve, type HttpBindings, type ServerType } from '@hono/node-server';
import type { Hono } from 'hono';

/** Hono environment of the handlers, with the request and response objects of Node.js. */
export interface StandInEnv {
  Bindings: HttpBindings;
}

/** A running stand-in. */
export interface StandIn {
  readonly url: string;
  readonly stop: () => Promise<void>;
}

/** Serves an application on the loopback address; port 0 selects a free port. */
export const serveStandIn = (
  app: Hono<StandInEnv>,
  port: number,
  onStop: () => void,
): Promise<StandIn> =>
  new Promise((resolve) => {
    const server: ServerType = serve({ fetch: app.fetch, port, hostname: '127.0.0.1' }, (info) => {
      resolve({
        url: `http://127.0.0.1:${info.port}`,
        stop: () =>
          new Promise((resolveStop) => {
            onStop();
            server.close(() => resolveStop());
            (server as { closeAllConnections?: () => void }).closeAllConnections?.();
          }),
      });
    });
  });
