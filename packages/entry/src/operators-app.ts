import { timingSafeEqual } from 'node:crypto';
import { Hono } from 'hono';
import { signOperatorRequest } from '@hemlocksill/revisions/operator-signature.js';
import type { LogEvent } from './events.js';

/** Largest age of an operator's request, in milliseconds. */
const maxAgeMs = 30_000;

/** What a VM tells its operators. */
export interface OperatorViews {
  readonly status: () => unknown;
  readonly burn: () => unknown;
  /** Takes in a head, so that a change need not wait for the watch. */
  readonly offerHead: (text: string) => Promise<void>;
}

/** What the operators' interface needs. */
export interface OperatorsAppOptions {
  readonly views: OperatorViews;
  readonly secrets: () => readonly string[];
  readonly logEvent: LogEvent;
}

const isSigned = (
  secrets: readonly string[],
  method: string,
  path: string,
  body: string,
  at: number,
  signature: string,
): boolean => {
  if (!Number.isFinite(at) || Math.abs(Date.now() - at) > maxAgeMs) return false;
  const given = Buffer.from(signature, 'hex');
  return secrets.some((secret) => {
    const expected = Buffer.from(signOperatorRequest(secret, method, path, body, at), 'hex');
    return given.length === expected.length && timingSafeEqual(given, expected);
  });
};

/** Makes the HTTP application that the operators' command line reaches. */
export const makeOperatorsApp = (opts: OperatorsAppOptions): Hono => {
  const app = new Hono();
  app.use('*', async (c, next) => {
    const body = c.req.method === 'POST' ? await c.req.text() : '';
    const at = Number(c.req.header('x-operator-time'));
    const signature = c.req.header('x-operator-signature') ?? '';
    if (!isSigned(opts.secrets(), c.req.method, c.req.path, body, at, signature)) {
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
