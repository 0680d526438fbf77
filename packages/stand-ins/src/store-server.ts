import { setTimeout as sleep } from 'node:timers/promises';
import { Hono, type Context } from 'hono';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { serveStandIn, type StandIn, type StandInEnv } from './http-server.js';
import { makeStoreState } from './store-state.js';

const leaseSweepMs = 50;
const maxValueBytes = 1_048_576;

/** Faults of the stand-in store; a POST to `/control/faults` replaces the fields in its body. */
export interface StoreFaults {
  /** `down` closes connections; `hang` closes them after 60 s without a response. */
  outage: 'none' | 'down' | 'hang';
  delayMs: number;
  /** Fraction of writes that take effect but whose response is lost. */
  loseAnswers: number;
  /** Fraction of watch responses that omit their events, which the watch then never receives. */
  loseWatches: number;
  writesPerSecond: number;
  readsPerSecond: number;
}

const initialFaults: StoreFaults = {
  outage: 'none',
  delayMs: 1,
  loseAnswers: 0,
  loseWatches: 0,
  writesPerSecond: 500,
  readsPerSecond: 2_000,
};

const makeRateLimiter = (getRatePerSecond: () => number) => {
  let tokens = getRatePerSecond();
  let refilledAt = performance.now();
  return (): boolean => {
    const now = performance.now();
    tokens = Math.min(
      getRatePerSecond(),
      tokens + ((now - refilledAt) * getRatePerSecond()) / 1_000,
    );
    refilledAt = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };
};

const dropConnection = (c: Context<StandInEnv>): Response => {
  c.env.outgoing.destroy();
  return RESPONSE_ALREADY_SENT;
};

/** Starts a stand-in of the platform's key-value store. */
export const startStore = (port: number): Promise<StandIn> => {
  const state = makeStoreState(() => performance.now());
  const faults = { ...initialFaults };
  const counts = { writes: 0, reads: 0, watches: 0, refused: 0 };
  const tryTakeWrite = makeRateLimiter(() => faults.writesPerSecond);
  const tryTakeRead = makeRateLimiter(() => faults.readsPerSecond);
  const app = new Hono<StandInEnv>();

  /** Applies outage, rate limit and delay; returns a response if the call must not proceed. */
  const admit = async (
    c: Context<StandInEnv>,
    kind: 'writes' | 'reads' | 'watches',
  ): Promise<Response | undefined> => {
    if (faults.outage === 'down') return dropConnection(c);
    if (faults.outage === 'hang') {
      await sleep(60_000);
      return dropConnection(c);
    }
    counts[kind] += 1;
    if (!(kind === 'writes' ? tryTakeWrite() : tryTakeRead())) {
      counts.refused += 1;
      return c.json({ code: 'overloaded' }, 429);
    }
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    return undefined;
  };

  const addWriteRoute = (
    path: string,
    handle: (c: Context<StandInEnv>, body: Record<string, unknown>) => Response,
  ) =>
    app.post(path, async (c) => {
      const body = await c.req.json<Record<string, unknown>>();
      const refusal = await admit(c, 'writes');
      if (refusal) return refusal;
      state.expireLeases();
      const res = handle(c, body);
      if (Math.random() < faults.loseAnswers) return dropConnection(c);
      return res;
    });

  addWriteRoute('/v1/cas', (c, body) => {
    const { key, expected, value, leaseId } = body as {
      key: string;
      expected: number;
      value: string | null;
      leaseId?: string;
    };
    if (value !== null && value.length > maxValueBytes) return c.json({ code: 'too-large' }, 413);
    if (leaseId !== undefined && !state.hasLease(leaseId)) return c.json({ code: 'lease' }, 410);
    return c.json(state.cas(key, expected, value, leaseId));
  });
  addWriteRoute('/v1/lease/grant', (c, body) =>
    c.json({ leaseId: state.grantLease(Number(body.ttlMs)) }),
  );
  addWriteRoute('/v1/lease/renew', (c, body) =>
    state.renewLease(String(body.leaseId)) ? c.json({}) : c.json({ code: 'lease' }, 410),
  );
  addWriteRoute('/v1/lease/revoke', (c, body) => {
    state.revokeLease(String(body.leaseId));
    return c.json({});
  });

  app.post('/v1/get', async (c) => {
    const { key } = await c.req.json<{ key: string }>();
    state.expireLeases();
    return (await admit(c, 'reads')) ?? c.json({ entry: state.get(key) });
  });
  app.post('/v1/list', async (c) => {
    const { prefix } = await c.req.json<{ prefix: string }>();
    state.expireLeases();
    return (await admit(c, 'reads')) ?? c.json(state.list(prefix));
  });
  app.post('/v1/watch', async (c) => {
    const req = await c.req.json<{ prefix: string; after: number; waitMs: number }>();
    const refusal = await admit(c, 'watches');
    if (refusal) return refusal;
    const initialEvents = state.getEventsAfter(req.prefix, req.after);
    if (initialEvents.kind === 'events' && initialEvents.events.length === 0) {
      await new Promise<void>((resolve) => {
        const removeListener = state.addWatchListener(req.prefix, resolve);
        setTimeout(() => {
          removeListener();
          resolve();
        }, req.waitMs);
        c.env.incoming.on('close', () => removeListener());
      });
    }
    if (faults.outage !== 'none') return dropConnection(c);
    if (Math.random() < faults.loseWatches)
      return c.json({ kind: 'events', events: [], revision: state.list(req.prefix).revision });
    return c.json(state.getEventsAfter(req.prefix, req.after));
  });

  app.post('/control/faults', async (c) => {
    Object.assign(faults, await c.req.json<Partial<StoreFaults>>());
    return c.json(faults);
  });
  app.get('/control/counts', (c) => c.json(counts));

  const sweepTimer = setInterval(state.expireLeases, leaseSweepMs);
  return serveStandIn(app, port, () => clearInterval(sweepTimer));
};
