import { setTimeout as sleep } from 'node:timers/promises';
import { Hono, type Context } from 'hono';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { request } from 'undici';
import type { DecodeStart, EngineStart } from '@hemlocksill/types/engine-protocol.js';
import { digestPrompt, makeDecodeBatch, type DecodeStream } from './decode-batch.js';
import {
  noEngineFaults,
  type EngineFaults,
  type EngineOptions,
  type StreamLine,
} from './engine-types.js';
import { serveStandIn, type StandIn, type StandInEnv } from './http-server.js';
import { makePrefillQueue } from './prefill-queue.js';

const evictionIntervalMs = 50;
const maxCacheEvents = 2_000;

/** Record of a request that an engine accepted, read by the checks of tests and benchmarks. */
export interface EngineRecord {
  readonly kind: 'prefill' | 'decode' | 'resume';
  readonly id: string;
  readonly workspace: string;
  readonly promptDigest: string;
  readonly tokens: number;
  readonly version: string;
  readonly at: number;
}

interface EngineOrder {
  readonly fencing: number;
  readonly version?: string;
  readonly state?: 'serving' | 'leaving';
}

/** Starts a stand-in of a prefill or decode engine. */
export const startEngine = (opts: EngineOptions): Promise<StandIn> => {
  const faults: EngineFaults = { ...noEngineFaults };
  const records: EngineRecord[] = [];
  const cacheEvents: { seq: number; kind: string; piece: string }[] = [];
  const orders: { at: number; order: EngineOrder; taken: boolean }[] = [];
  let cacheSeq = 0;
  /** Number of headers and bodies with an API key of a workspace, which engines must not receive. */
  let keySightings = 0;
  let wastedPrefillTokens = 0;
  let prefillTokens = 0;
  let { version } = opts;
  let state: 'serving' | 'leaving' | 'loading' = 'serving';
  let highestFencing = 0;
  let linkFreeAt = 0;
  /** Number of prefills and streams discarded by loading another version. */
  let lostByLoading = 0;
  const getSlowdown = () => faults.slowdown;

  const prefills = makePrefillQueue({
    ...opts,
    getSlowdown,
    onTokensComputed: (tokens) => {
      prefillTokens += tokens;
    },
    onTokensWasted: (tokens) => {
      wastedPrefillTokens += tokens;
    },
    onCacheEvent: (kind, piece) => {
      cacheSeq += 1;
      if (Math.random() < faults.loseCacheEvents) return;
      cacheEvents.push({ seq: cacheSeq, kind, piece });
      if (cacheEvents.length > maxCacheEvents) cacheEvents.shift();
    },
  });
  const batch = makeDecodeBatch({ ...opts, getSlowdown });

  const readLoad = () => ({
    name: opts.name,
    role: opts.role,
    model: opts.model,
    version,
    state,
    slots: opts.slots,
    running: batch.streams.size,
    queuedTokens: prefills.getQueuedTokens(),
    at: Date.now(),
  });
  let publishedLoad = readLoad();
  const loadTimer = setInterval(() => {
    publishedLoad = readLoad();
  }, opts.loadLagMs);

  const recordRequest = (kind: EngineRecord['kind'], start: EngineStart): void => {
    records.push({
      kind,
      id: start.id,
      workspace: start.workspace,
      promptDigest: digestPrompt(start.prompt),
      tokens: start.promptTokens,
      version,
      at: Date.now(),
    });
  };

  const app = new Hono<StandInEnv>();
  app.use('/v1/*', async (c, next) => {
    if (JSON.stringify(c.req.header()).includes('hsk_')) keySightings += 1;
    while (faults.frozen) await sleep(20);
    await next();
  });

  const refuseIfUnavailable = (c: Context<StandInEnv>): Response | undefined => {
    if (faults.refuse) return c.json({ code: 'refused' }, 503);
    return state === 'loading' ? c.json({ code: 'loading' }, 503) : undefined;
  };

  app.post('/v1/prefill', async (c) => {
    const text = await c.req.text();
    if (text.includes('hsk_')) keySightings += 1;
    const start = JSON.parse(text) as EngineStart;
    const refusal = refuseIfUnavailable(c);
    if (refusal) return refusal;
    recordRequest('prefill', start);
    const result = await prefills.enqueue(start);
    if (result === 'cancelled') return c.json({ code: 'cancelled' }, 409);
    const job = prefills.jobs.get(start.id);
    return c.json({ cachedPieces: job?.cachedPieces ?? 0 });
  });

  app.post('/v1/kv/export', async (c) => {
    const { id } = await c.req.json<{ id: string }>();
    const job = prefills.findKeptJob(id);
    if (!job) return c.json({ code: 'evicted' }, 404);
    // The result must not be evicted during the transfer.
    job.keptUntil = Number.POSITIVE_INFINITY;
    const bytes = job.start.promptTokens * opts.kvBytesPerToken;
    const transferStartsAt = Math.max(performance.now(), linkFreeAt);
    linkFreeAt = transferStartsAt + (bytes * 1_000) / opts.linkBytesPerSecond;
    while (faults.stallTransfers && prefills.jobs.has(id)) await sleep(20);
    await sleep(linkFreeAt - performance.now());
    if (!prefills.release(id)) return c.json({ code: 'evicted' }, 404);
    return c.json({ bytes });
  });

  const writeStream = (
    c: Context<StandInEnv>,
    stream: DecodeStream,
    firstToken: number,
  ): Response => {
    const { outgoing } = c.env;
    const writeLine = (line: StreamLine): void => {
      const isCut = faults.cutAfterTokens > 0 && 'i' in line && line.i >= faults.cutAfterTokens;
      if (isCut) {
        stream.writeLine = undefined;
        outgoing.destroy();
        return;
      }
      outgoing.write(`${JSON.stringify(line)}\n`);
      if ('done' in line) outgoing.end();
    };
    outgoing.writeHead(200, { 'content-type': 'application/x-ndjson' });
    outgoing.flushHeaders();
    outgoing.on('close', () => {
      if (stream.writeLine === writeLine) stream.writeLine = undefined;
    });
    stream.disconnect = () => outgoing.destroy();
    batch.attachOutput(stream, firstToken, writeLine);
    return RESPONSE_ALREADY_SENT;
  };

  const importCache = async (start: DecodeStart): Promise<boolean> => {
    try {
      const res = await request(`${start.kvFrom}/v1/kv/export`, {
        method: 'POST',
        body: JSON.stringify({ id: start.id }),
        headersTimeout: 60_000,
      });
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  };

  app.post('/v1/decode', async (c) => {
    const start = await c.req.json<DecodeStart>();
    const refusal = refuseIfUnavailable(c);
    if (refusal) return refusal;
    if (!batch.hasFreeSlot()) return c.json({ code: 'no-slot' }, 429);
    const stream = batch.reserve(start);
    recordRequest('decode', start);
    const isImported = await importCache(start);
    if (!batch.streams.has(start.id)) return c.json({ code: 'cancelled' }, 409);
    if (!isImported) {
      batch.cancel(start.id);
      return c.json({ code: 'evicted' }, 409);
    }
    stream.isCacheImported = true;
    return writeStream(c, stream, 0);
  });

  app.post('/v1/resume', async (c) => {
    const { id, from, owner } = await c.req.json<{ id: string; from: number; owner: string }>();
    const stream = batch.streams.get(id);
    if (!stream || from > stream.producedTokens) return c.json({ code: 'unknown' }, 404);
    stream.owner = owner;
    recordRequest('resume', stream.start);
    return writeStream(c, stream, from);
  });

  app.post('/v1/cancel', async (c) => {
    if (Math.random() < faults.loseCancels) {
      c.env.outgoing.destroy();
      return RESPONSE_ALREADY_SENT;
    }
    const { id } = await c.req.json<{ id: string }>();
    const held = [prefills.cancel(id), batch.cancel(id)].some(Boolean);
    return c.json({ held });
  });

  app.get('/v1/holds', (c) => {
    const now = performance.now();
    const prefillHolds = [...prefills.jobs.values()].map((job) => ({
      id: job.start.id,
      owner: job.start.owner,
      kind: 'prefill',
      ageMs: now - job.acceptedAt,
    }));
    const streams = [...batch.streams.values()].map((stream) => ({
      id: stream.start.id,
      owner: stream.owner,
      kind: 'decode',
      ageMs: now - stream.acceptedAt,
    }));
    return c.json({ holds: [...prefillHolds, ...streams] });
  });

  app.get('/v1/load', (c) => c.json(publishedLoad));
  app.get('/v1/cache-events', (c) => {
    const after = Number(c.req.query('after') ?? 0);
    return c.json({ events: cacheEvents.filter((e) => e.seq > after), last: cacheSeq });
  });

  app.post('/v1/orders', async (c) => {
    const order = await c.req.json<EngineOrder>();
    const isStale = order.fencing < highestFencing;
    highestFencing = Math.max(highestFencing, order.fencing);
    orders.push({ at: Date.now(), order, taken: !(isStale && opts.fencing) });
    if (isStale && opts.fencing) return c.json({ code: 'stale-fencing' }, 412);
    if (order.state !== undefined) state = order.state;
    if (order.version !== undefined && order.version !== version) {
      state = 'loading';
      lostByLoading += prefills.jobs.size + batch.streams.size;
      batch.dropAll();
      [...prefills.jobs.keys()].forEach(prefills.cancel);
      const newVersion = order.version;
      setTimeout(() => {
        version = newVersion;
        state = 'serving';
      }, opts.loadVersionMs * faults.slowdown);
    }
    if (Math.random() < faults.loseOrderAnswers) {
      c.env.outgoing.destroy();
      return RESPONSE_ALREADY_SENT;
    }
    return c.json({ version, state });
  });

  app.post('/control/faults', async (c) => {
    Object.assign(faults, await c.req.json<Partial<EngineFaults>>());
    return c.json(faults);
  });
  app.get('/control/record', (c) =>
    c.json({
      records,
      keySightings,
      prefillTokens,
      wastedPrefillTokens,
      orders,
      lostByLoading,
      version,
      state,
      held: prefills.jobs.size + batch.streams.size,
    }),
  );

  const evictionTimer = setInterval(prefills.evictExpired, evictionIntervalMs);
  return serveStandIn(app, opts.port, () => {
    clearInterval(evictionTimer);
    clearInterval(loadTimer);
    batch.stop();
  });
};
