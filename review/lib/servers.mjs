// Stand-ins for runners: application servers and engines with prefill and decode stages.
import { createServer } from 'node:http';
import { heartbeatMs, now, onCleanUp, record, sleep } from './harness.mjs';

const readBody = async (req) => {
  for await (const chunk of req) void chunk;
};

const sendJson = (res, status, body, headers = {}) => {
  res.writeHead(status, { 'content-type': 'application/json', ...headers });
  res.end(JSON.stringify(body));
};

const isRejected = (runner, req, res) => {
  const expected = req.headers['expect-instance'];
  if (expected === undefined || expected === runner.id) return false;
  sendJson(res, 421, {}, { 'instance-id': runner.id, 'not-executed': '1' });
  return true;
};

const listen = (runner, handle) =>
  new Promise((resolve) => {
    const server = createServer((req, res) => void handle(req, res));
    server.keepAliveTimeout = 5000;
    server.listen(runner.port ?? 0, '127.0.0.1', () => {
      runner.server = server;
      runner.port = server.address().port;
      resolve();
    });
  });

const stampOf = ({ id, born }) => `3e1b.${id}.${born}`;

const makeEntry = (runner) => ({
  Service: runner.service,
  Address: `127.0.0.1:${runner.port}`,
  Zone: runner.zone,
  Version: runner.version,
  Slots: runner.slots,
  State: runner.state,
  ColdRemainingMs: 0,
  Sequence: 0,
  born: runner.born,
  ...(runner.stage ? { Stage: runner.stage } : {}),
});

/** A runner: it registers itself when it starts, and writes nothing while it is cut off from the store. */
const makeRunner = (store, handle, options) => {
  const runner = {
    version: 'v1',
    zone: 'eu-north-a',
    slots: 6,
    born: Date.now(),
    isCut: false,
    state: 'ready',
    runs: [],
    ...options,
  };
  /** Writes its entry; a heartbeat writes the same again. */
  runner.register = (state = 'ready') => {
    runner.state = state;
    if (!runner.isCut) store.put(`servers/${runner.id}`, makeEntry(runner));
  };
  runner.start = async () => {
    runner.born = Date.now();
    await listen(runner, (req, res) => handle(runner, req, res));
    record('runner started', {
      id: runner.id,
      version: runner.version,
      born: runner.born,
      port: runner.port,
    });
    runner.register();
  };
  /** Ends the process: its connections are reset. */
  runner.crash = (reason = 'runner crashed') => {
    record(reason, { id: runner.id, version: runner.version, born: runner.born });
    runner.server.close();
    runner.sockets?.forEach((socket) => socket.resetAndDestroy());
    runner.server.closeAllConnections();
  };
  onCleanUp(() => {
    runner.server.closeAllConnections();
    runner.server.close();
  });
  return runner;
};

const handlePlain = async (runner, req, res) => {
  await readBody(req);
  if (isRejected(runner, req, res)) return;
  const id = req.headers['request-id'];
  const run = { id, server: runner.id, service: runner.service, path: req.url, at: now() };
  runner.runs.push(run);
  record('run', run);
  await sleep(runner.workMs ?? 15);
  runner.answers = (runner.answers ?? 0) + 1;
  if (runner.garbles?.(runner.answers)) {
    record('spoiled answer', { id, server: runner.id });
    req.socket.end(`HTTP/1.1 000 OK\r\nrequest-id: ${id}\r\ncontent-length: 0\r\n\r\n`);
    return;
  }
  const body = `done ${id} by ${runner.id}`;
  res.writeHead(200, {
    'request-id': id,
    'instance-stamp': stampOf(runner),
    'content-length': String(body.length),
  });
  res.end(body);
};

/** Starts an application server. */
export const startDesk = async (store, options) => {
  const runner = makeRunner(store, handlePlain, options);
  await runner.start();
  return runner;
};

const sendStream = async (runner, req, res) => {
  const id = req.headers['request-id'];
  let event = Number(req.headers['last-event-id'] ?? 0);
  const run = {
    id,
    server: runner.id,
    version: runner.version,
    born: runner.born,
    after: event,
    at: now(),
  };
  runner.runs.push(run);
  record('run', run);
  res.writeHead(200, {
    'request-id': id,
    'instance-stamp': stampOf(runner),
    'weight-versions': '1',
    'content-type': 'text/event-stream',
  });
  let isOpen = true;
  res.on('close', () => {
    isOpen = false;
  });
  const { born, version } = runner;
  await sleep(runner.firstMs ?? 50);
  while (isOpen && runner.born === born && event < runner.events) {
    const waitMs = (runner.silentUntil ?? 0) - now();
    if (waitMs > 0) await sleep(waitMs);
    event += 1;
    res.write(`id: ${event}\ndata: ${version} ${runner.id} e${event}\n\n`);
    await sleep(runner.gapMs);
  }
  if (isOpen && runner.born === born) res.end();
};

const handleEngine = async (runner, req, res) => {
  runner.sockets ??= new Set();
  if (!runner.sockets.has(req.socket)) {
    runner.sockets.add(req.socket);
    req.socket.once('close', () => runner.sockets.delete(req.socket));
  }
  await readBody(req);
  if (isRejected(runner, req, res)) return;
  const { url, method } = req;
  if (url === '/api/report')
    sendJson(res, 200, {
      Stage: runner.stage,
      Models: [{ Name: 'm', Version: 1, Adapters: [] }],
      Busy: false,
      Sequence: 0,
      Queued: 0,
      Running: 0,
      KvUsed: 0,
      KvTotal: 35962,
      Handles: 0,
      born: runner.born,
    });
  else if (url === '/api/hold-take') sendJson(res, 200, { Hold: `h${Math.random()}` });
  else if (url === '/api/order') sendJson(res, 409, {});
  else if (method === 'DELETE') sendJson(res, 200, {});
  else if (req.headers['serving-stage'] === 'prefill') {
    const id = req.headers['request-id'];
    if (runner.stage !== 'prefill') {
      sendJson(res, 421, {}, { 'not-executed': '1', 'request-id': id });
      return;
    }
    await sleep(90);
    const handle = { Handle: `p${Math.random().toString(16).slice(2)}`, Tokens: 3000, Version: 1 };
    sendJson(res, 200, handle, { 'request-id': id, 'instance-stamp': stampOf(runner) });
  } else if (runner.stage === 'prefill')
    sendJson(res, 421, {}, { 'not-executed': '1', 'request-id': req.headers['request-id'] });
  else await sendStream(runner, req, res);
};

/** Starts an engine of a stage. */
export const startEngine = async (store, options) => {
  const runner = makeRunner(store, handleEngine, { slots: 48, gapMs: 100, events: 40, ...options });
  await runner.start();
  return runner;
};

/** Time of silence after which the store removes a runner's entry. */
export const lapseMs = 3 * heartbeatMs;
