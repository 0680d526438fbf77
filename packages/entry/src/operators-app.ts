import { timingSafeEqual } from 'node:crypto';
import { Hono } from 'hono';
import { signOperatorRequest } from '@hemlocksill/revisions/operator-signature.js';
import type { LogEvent } from './events.js';

/** Maximum age of a signed operator request, in milliseconds. */
const maxRequestAgeMs = 30_000;

/** Data that a VM serves to its operators. */
export interface OperatorViews {
  readonly status: () => unknown;
  readonly burn: () => unknown;
  /** Offers a new head, so that a change takes effect before the store watch reports it. */
  readonly offerHead: (text: string) => Promise<void>;
}

/** Dependencies of the operators' application. */
export interface OperatorsAppOptions {
  readonly views: OperatorViews;
  readonly secrets: () => readonly string[];
  readonly logEvent: LogEvent;
}

const isSignatureValid = (
  secrets: readonly string[],
  method: string,
  path: string,
  body: string,
  sentAt: number,
  signature: string,
): boolean => {
  if (!Number.isFinite(sentAt) || Math.abs(Date.now() - sentAt) > maxRequestAgeMs) return false;
  const receivedMac = Buffer.from(signature, 'hex');
  return secrets.some((secret) => {
    const expectedMac = Buffer.from(signOperatorRequest(secret, method, path, body, sentAt), 'hex');
    return receivedMac.length === expectedMac.length && timingSafeEqual(receivedMac, expectedMac);
  });
};

/** Creates the HTTP application that serves the operators' command line. */
export const makeOperatorsApp = (opts: OperatorsAppOptions): Hono => {
  const app = new Hono();
  app.use('*', async (c, next) => {
    const body = c.req.method === 'POST' ? await c.req.text() : '';
    const sentAt = Number(c.req.header('x-operator-time'));
    const signature = c.req.header('x-operator-signature') ?? '';
    if (!isSignatureValid(opts.secrets(), c.req.method, c.req.path, body, sentAt, signature)) {
      opts.logEvent(1702, { path: c.req.path });
      return c.json({ error: { code: 'operator-not-known' } }, 401);
    }
    await next();
    return undefined;
  });
  app.get('/status', (c) => c.json(opts.views.status() as object));
  app.get('/burn', (c) => c.json(opts.views.burn() as object));
  app.post('/head', async (c) => {
    await opts.views.offerHead(await c.req.text());
    return c.json({});
  });
  return app;
};
