import { EventEmitter, once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import { acceptWaiting, runAfterReads } from './run-after-reads.js';

/** Writes to one connection, and to another one once the main thread is in a read of the first. */
const clientProgram = `
  const { connect } = require('node:net');
  const { workerData } = require('node:worker_threads');
  const step = new Int32Array(workerData.steps);
  const advance = (value) => { Atomics.store(step, 0, value); Atomics.notify(step, 0); };
  const first = connect(workerData.port, '127.0.0.1', () => {
    const second = connect(workerData.port, '127.0.0.1', () => {
      Atomics.wait(step, 0, 0);
      first.write('a');
      advance(2);
      Atomics.wait(step, 0, 2);
      second.write('b');
      advance(4);
    });
  });
`;

// Guards against a process that stands still after it has asked which connections can be read.
test('what arrives while the process stands still in a read is read before', async (t) => {
  const steps = new SharedArrayBuffer(4);
  const step = new Int32Array(steps);
  const advance = (value: number): void => {
    Atomics.store(step, 0, value);
    Atomics.notify(step, 0);
  };
  const sockets: Socket[] = [];
  const server = createServer((socket) => sockets.push(socket)).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const worker = new Worker(clientProgram, { eval: true, workerData: { port, steps } });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
    return worker.terminate();
  });
  while (sockets.length < 2) await once(server, 'connection');
  const [first, second] = sockets;
  first?.on('data', () => {
    advance(3);
    Atomics.wait(step, 0, 3);
    // Longer than a turn of the event loop that is not late.
    Atomics.wait(step, 0, 4, 300);
  });
  second?.on('data', () => {});
  const readBytes = await new Promise<number | undefined>((resolve) => {
    setTimeout(() => {
      advance(1);
      Atomics.wait(step, 0, 1);
      runAfterReads(() => resolve(second?.bytesRead));
    }, 10);
  });
  t.is(readBytes, 1);
});

// Guards against callers that connect without a pause and keep a VM from stopping.
test('a listener that accepts a connection in each turn is waited for until the deadline', async (t) => {
  const server = new EventEmitter();
  let isConnecting = true;
  t.teardown(() => {
    isConnecting = false;
  });
  const connect = (): void => {
    server.emit('connection');
    if (isConnecting) setImmediate(connect);
  };
  connect();
  const accepted = acceptWaiting(server as never, performance.now() + 100).then(() => 'accepted');
  t.is(await Promise.race([accepted, sleep(2_000)]), 'accepted');
  t.is(server.listenerCount('connection'), 0);
});
