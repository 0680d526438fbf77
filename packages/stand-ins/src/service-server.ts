import { setTimeout as sleep } from 'node:timers/promises';
import { createHash } from 'node:crypto';
import { Hono } from 'hono';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { serveStandIn, type StandIn, type StandInEnv } from './http-server.js';

/** Faults of a stand-in service; a POST to `/control/faults` replaces the fields in its body. */
export interface ServiceFaults {
  delayMs: number;
  /** Fraction of calls that take effect but whose response is lost. */
  loseAnswers: number;
  /** Rejects every call with 503 before it takes effect. */
  refuse: boolean;
}

/** A call that took effect. */
export interface ServiceRun {
  readonly requestId: string;
  readonly workspace: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly at: number;
}

/** Starts a stand-in of a plain service, which records each call that takes effect. */
export const startService = (port: number): Promise<StandIn> => {
  const faults: ServiceFaults = { delayMs: 2, loseAnswers: 0, refuse: false };
  const runs: ServiceRun[] = [];
  /** Number of requests that contained an API key of a workspace; services must not receive one. */
  let keySightings = 0;
  const app = new Hono<StandInEnv>();

  app.post('/control/faults', async (c) => {
    Object.assign(faults, await c.req.json<Partial<ServiceFaults>>());
    return c.json(faults);
  });
  app.get('/control/record', (c) => c.json({ runs, keySightings }));

  app.all('*', async (c) => {
    const body = await c.req.text();
    const path = c.req.path + (new URL(c.req.url).search ?? '');
    const requestText = JSON.stringify(c.req.header()) + path + body;
    if (requestText.includes('hsk_')) keySightings += 1;
    if (faults.refuse) return c.json({ code: 'refused' }, 503);
    runs.push({
      requestId: c.req.header('x-request-id') ?? '',
      workspace: c.req.header('x-workspace') ?? '',
      method: c.req.method,
      path,
      body,
      at: Date.now(),
    });
    const runNumber = runs.length;
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    if (Math.random() < faults.loseAnswers) {
      c.env.outgoing.destroy();
      return RESPONSE_ALREADY_SENT;
    }
    const digest = createHash('sha256').update(body).digest('hex').slice(0, 16);
    return c.json({ run: runNumber, path, digest });
  });
  return serveStandIn(app, port, () => {});
};
