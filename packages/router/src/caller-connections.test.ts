import { EventEmitter } from 'node:events';
import test from 'ava';
import {
  makeCallerConnections,
  type CallerMessage,
  type CallerResponse,
  type CallerSocket,
} from './caller-connections.js';
import { makeRouterMetrics } from './router-metrics.js';

class FakeSocket extends EventEmitter {
  bytesRead = 0;

  bytesWritten = 0;

  writableLength = 0;

  destroyed = false;

  isReset = false;

  isStopped = false;

  remoteAddress = '127.0.0.1';

  remotePort = 1;

  isPaused = () => this.isStopped;

  pause = () => {
    this.isStopped = true;
    return this;
  };

  resume = () => {
    this.isStopped = false;
    this.emit('resume');
    return this;
  };

  destroy = () => {
    this.destroyed = true;
    this.emit('close');
    return this;
  };

  resetAndDestroy = () => {
    this.isReset = true;
    return this.destroy();
  };
}

const asSocket = (socket: FakeSocket): CallerSocket => socket as unknown as CallerSocket;

const makeConnections = (overrides = {}) => {
  const clock = { now: 0 };
  const connections = makeCallerConnections({
    getMaxRequestBytes: () => 100_000,
    maxConnections: 3,
    stallMs: 15_000,
    log: () => {},
    metrics: makeRouterMetrics(),
    isShortOfMemory: () => false,
    collectGarbage: () => {},
    holdAnswers: () => {},
    releaseAnswers: () => {},
    halveAnswers: () => {},
    runAfterReads: (callback) => callback(),
    now: () => clock.now,
    ...overrides,
  });
  const open = (): FakeSocket => {
    const socket = new FakeSocket();
    connections.add(asSocket(socket));
    return socket;
  };
  const send = (socket: FakeSocket) => {
    const req = Object.assign(new EventEmitter(), {
      socket: asSocket(socket),
      rawHeaders: ['a', 'b'],
      url: '/',
    });
    const res = new EventEmitter();
    const request = connections.addRequest(
      req as unknown as CallerMessage,
      res as unknown as CallerResponse,
    );
    return { req, res, request };
  };
  return { connections, clock, open, send };
};

// Guards against callers without a request that leave no room for others.
test('over the limit the connection closes that has had no request for longest', (t) => {
  const { open, send } = makeConnections();
  const busy = open();
  const arriving = open();
  const idle = open();
  send(busy).req.emit('end');
  send(arriving);
  const fourth = open();
  t.true(idle.destroyed);
  send(fourth).req.emit('end');
  // None is without a request.
  open();
  t.true(arriving.destroyed);
  t.false(busy.destroyed);
  t.false(fourth.destroyed);
});

// Guards against the loss of a request that has arrived, but was not read when its connection was chosen.
test('over the limit a connection is closed only after the reads that are due', (t) => {
  const reads: (() => void)[] = [];
  const { open, send } = makeConnections({
    maxConnections: 10,
    runAfterReads: (callback: () => void) => reads.push(callback),
  });
  const opened = Array.from({ length: 11 }, open);
  const [oldest, paused, next] = opened;
  paused?.pause();
  t.false(opened.some(({ destroyed }) => destroyed));
  if (oldest) send(oldest);
  reads.splice(0).forEach((callback) => callback());
  t.deepEqual(
    opened.filter(({ destroyed }) => destroyed),
    [next],
  );
});

// Guards against callers that send their bodies slowly and leave no room for others.
test('over the limit a connection whose request arrives is closed before the newest one', (t) => {
  const { open, send } = makeConnections({ maxConnections: 10 });
  const arriving = Array.from({ length: 10 }, open);
  arriving.forEach(send);
  const newest = open();
  t.deepEqual(
    [...arriving, newest].filter(({ destroyed }) => destroyed),
    arriving.slice(0, 1),
  );
});

// Guards against a crowd that opens connections faster than they are closed after reads.
test('far over the limit connections are closed at once', (t) => {
  const { open } = makeConnections({ maxConnections: 10, runAfterReads: () => {} });
  const opened = Array.from({ length: 20 }, open);
  t.is(opened.filter(({ destroyed }) => !destroyed).length, 12);
});

test('a connection that is idle again counts from the end of its request', (t) => {
  const { open, send } = makeConnections();
  const [first, second] = [open(), open(), open()];
  const { req, res } = send(first);
  req.emit('end');
  res.emit('close');
  open();
  t.false(first.destroyed);
  t.true(second.destroyed);
});

test('a connection with many open requests is read again when most have ended', (t) => {
  const { open, send } = makeConnections({ getMaxRequestBytes: () => 0 });
  const socket = open();
  const sent = Array.from({ length: 16 }, () => send(socket));
  t.true(socket.isStopped);
  sent.slice(0, 8).forEach(({ res }) => res.emit('close'));
  t.true(socket.isStopped);
  sent[8]?.res.emit('close');
  t.false(socket.isStopped);
});

// Guards against requests sent ahead that have no bound together, and against a request that is cut off for them.
test('who sent requests ahead gives way, who has one that runs does not', (t) => {
  const { open, send } = makeConnections();
  const running = open();
  const { req, request } = send(running);
  request?.recordBody(60_000);
  req.emit('end');
  const ahead = open();
  for (let n = 0; n < 8; n += 1) send(ahead);
  t.true(ahead.isReset);
  t.is(send(ahead).request, undefined);
  t.false(running.destroyed);
});

test('a body for which there is no room is refused', (t) => {
  const { open, send } = makeConnections();
  let refused = 0;
  const socket = open();
  const { request } = send(socket);
  request?.onNoRoom(() => {
    refused += 1;
  });
  request?.recordBody(100_000);
  t.is(refused, 1);
  t.false(socket.destroyed);
});

// Guards against refused requests that hold their heads, in no account, while their bodies do not come.
test('a refused request counts until its body has ended', (t) => {
  const { connections, open, send } = makeConnections();
  const { req, res } = send(open());
  const heldBytes = connections.getRequestBytes();
  t.true(heldBytes > 0);
  res.emit('close');
  t.is(connections.getRequestBytes(), heldBytes);
  req.emit('end');
  t.is(connections.getRequestBytes(), 0);
});

// Guards against requests that gave way, but stay in memory until their callers have read the refusal.
test('of many that give way, only some are refused with time to read it', (t) => {
  const { open, send } = makeConnections({ getMaxRequestBytes: () => 20_000 });
  const refusals: string[] = [];
  const sockets = ['first', 'second'].map((name) => {
    const socket = open();
    const { request } = send(socket);
    request?.onNoRoom(() => refusals.push(name));
    request?.recordBody(30_000);
    return socket;
  });
  t.deepEqual(refusals, ['first']);
  t.deepEqual(
    sockets.map(({ isReset }) => isReset),
    [false, true],
  );
});

// Guards against a process that ends at its heap limit, of which the account of requests knows nothing.
test('callers are not read while the process is short of memory, and give way if that is not enough', async (t) => {
  let isShort = true;
  let collections = 0;
  const steps: string[] = [];
  const { connections, open, send } = makeConnections({
    isShortOfMemory: () => isShort,
    holdAnswers: () => steps.push('hold'),
    releaseAnswers: () => steps.push('release'),
    halveAnswers: () => steps.push('halve'),
    collectGarbage: () => {
      collections += 1;
      isShort = collections < 2;
    },
    now: () => performance.now(),
  });
  const [idle, ahead] = [open(), open()];
  [1, 2].forEach(() => send(ahead));
  connections.checkMemory();
  t.true(idle.isStopped);
  const later = open();
  t.true(later.isStopped);
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  t.is(collections, 2);
  t.deepEqual(steps, ['hold', 'halve', 'release']);
  t.true(ahead.isReset);
  t.false(idle.destroyed);
  t.false(idle.isStopped);
  t.false(later.isStopped);
});

// Guards against garbage that is taken for what callers hold.
test('nobody gives way if collecting garbage is enough', async (t) => {
  let isShort = true;
  const { connections, open, send } = makeConnections({
    isShortOfMemory: () => isShort,
    halveAnswers: () => t.fail(),
    collectGarbage: () => {
      isShort = false;
    },
    now: () => performance.now(),
  });
  const ahead = open();
  [1, 2].forEach(() => send(ahead));
  connections.checkMemory();
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  t.false(ahead.destroyed);
  t.false(ahead.isStopped);
});

// Guards against heads that hold memory without being requests yet.
test('an unfinished head counts', (t) => {
  const { connections, open } = makeConnections();
  const socket = open();
  socket.bytesRead = 100_001;
  connections.checkMemory();
  t.true(socket.isReset);
});

test('a caller that takes nothing of its responses is disconnected, one that takes some is not', (t) => {
  const { connections, clock, open } = makeConnections();
  const [stalled, slow] = [open(), open()];
  [stalled, slow].forEach((socket) =>
    Object.assign(socket, { bytesWritten: 1_000, writableLength: 500 }),
  );
  connections.check();
  clock.now = 10_000;
  slow.writableLength = 400;
  connections.check();
  clock.now = 16_000;
  connections.check();
  t.true(stalled.isReset);
  t.false(slow.destroyed);
});

// Guards against the loss of a response that its caller reads while the process itself does not run.
test('a caller that takes nothing while the VM is late is not disconnected if it takes some then', (t) => {
  const reads: (() => void)[] = [];
  const { connections, clock, open } = makeConnections({
    runAfterReads: (callback: () => void) => reads.push(callback),
  });
  const [stalled, slow] = [open(), open()];
  [stalled, slow].forEach((socket) =>
    Object.assign(socket, { bytesWritten: 1_000, writableLength: 500 }),
  );
  connections.check();
  clock.now = 16_000;
  connections.check();
  slow.writableLength = 400;
  reads.splice(0).forEach((callback) => callback());
  t.true(stalled.isReset);
  t.false(slow.destroyed);
});
