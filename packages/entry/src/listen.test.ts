import { setTimeout as sleep } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import test, { type ExecutionContext } from 'ava';
import { listen } from './listen.js';

const callers = 5;

/** Time for which the process does not run; the listener is drained meanwhile. */
const pauseMs = 300;

/** Sends a request on each of its connections once told, and tells the numbers of responses on each. */
const callerProgram = `
  const { connect } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const { port, callers, isKept } = workerData;
  const request = 'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n';
  const counts = [];
  let closed = 0;
  let expected = 1;
  const open = (n) => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(request));
    socket.on('data', (data) => {
      received += data;
      counts[n] = received.split('HTTP/1.1 200').length - 1;
      const isAnswered = counts.length === callers && counts.every((count) => count === expected);
      if (!isAnswered) return;
      parentPort.postMessage(counts);
      expected += 1;
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      closed += 1;
      if (closed === callers) parentPort.postMessage(counts);
    });
    return socket;
  };
  const kept = [];
  for (let n = 0; isKept && n < callers; n += 1) kept.push(open(n));
  parentPort.on('message', () => {
    kept.forEach((socket) => socket.write(request));
    for (let n = 0; !isKept && n < callers; n += 1) open(n);
  });
  if (!isKept) parentPort.postMessage('ready');
`;

const startListener = () =>
  listen({ fetch: () => new Response('ok') }, { host: '127.0.0.1', port: 0 }, undefined);

/** Drains a listener by a timer of a process that does not run while requests arrive. */
const countLateResponses = async (t: ExecutionContext, isKept: boolean): Promise<unknown> => {
  const listener = await startListener();
  t.teardown(listener.close);
  const worker = new Worker(callerProgram, {
    eval: true,
    workerData: { port: listener.port, callers, isKept },
  });
  t.teardown(() => worker.terminate());
  await new Promise((resolve) => {
    worker.once('message', resolve);
  });
  void sleep(pauseMs / 2).then(() => listener.drain());
  worker.postMessage('send');
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
  return new Promise((resolve) => {
    worker.once('message', resolve);
  });
};

// Guards against a listener that is drained before the process has read what has arrived.
test.serial(
  'requests on idle connections are answered though a late process drains its listener',
  async (t) => {
    t.deepEqual(await countLateResponses(t, true), Array<number>(callers).fill(2));
  },
);

// Guards against connections that the process has not accepted when it stops listening.
test.serial(
  'requests on new connections are answered though a late process drains its listener',
  async (t) => {
    t.deepEqual(await countLateResponses(t, false), Array<number>(callers).fill(1));
  },
);
