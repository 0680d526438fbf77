import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import { makeServer } from '@hemlocksill/routing/fixtures.js';
import { makeCrashWatch } from './crash-watch.js';
import { decodeMessage } from './gossip-message.js';
import { makeOriginController } from './origin-controller.js';
import { makeRouterMetrics } from './router-metrics.js';

/** Time for which the process does not run; longer than a server has to survive a request. */
const pauseMs = 1_100;

/** Keeps the process from running its event loop. */
const pauseProcess = (): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
};

// Guards against a crash that the process has not read when the time is over that a server has to survive.
test.serial('a server that crashes while the process does not run has not survived', async (t) => {
  const watch = makeCrashWatch({
    log: () => {},
    metrics: makeRouterMetrics(),
    notifyPeers: () => {},
    now: () => performance.now(),
    random: () => 0,
    checkInstance: (_, onDone) => onDone({ kind: 'unknown' }),
  });
  const run = watch.watchRun(['shared', 'bad'], makeServer({ id: 'e1' }));
  const listener = createServer((socket) => {
    run.recordEvent();
    socket.destroy();
    pauseProcess();
  });
  t.teardown(() => listener.close());
  await once(listener.listen(0, '127.0.0.1'), 'listening');
  const connection = connect((listener.address() as AddressInfo).port, '127.0.0.1').resume();
  await once(connection, 'end');
  run.recordBreak();
  t.deepEqual(
    watch.listForPeers().map(([part, , , state]) => [part, state]),
    [
      ['shared', 'suspect'],
      ['bad', 'suspect'],
    ],
  );
});

// Guards against a stream that is refused since the process has not read where it began.
test.serial('what another VM answers while the process does not run is used', async (t) => {
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  const makeVm = (peer: string, sendDatagram: (bytes: Buffer) => void) =>
    makeOriginController({
      listPeers: () => [{ vm: peer, address: peer }],
      sendDatagram,
      isViewCurrent: () => true,
      readServers: () => Promise.resolve(false),
      isFirstStart: false,
      records: undefined,
      log: () => {},
      metrics: makeRouterMetrics(),
      now: () => performance.now(),
    });
  // The messages about the beginning of the stream are lost.
  let isLossy = true;
  const other = makeVm('vm-1', (bytes) => {
    if (!isLossy) socket.send(bytes, socket.address().port, '127.0.0.1', pauseProcess);
  });
  const vm = makeVm('vm-2', (bytes) => {
    const received = decodeMessage(bytes);
    if (received?.kind === 'origin') other.onMessage(received.message, 'vm-1');
  });
  other.recordBegin('r1', { service: 'llm', softwareVersion: 'v1' }, performance.now() + 60_000);
  socket.on('message', (bytes) => {
    const received = decodeMessage(bytes);
    if (received?.kind === 'origin') vm.onMessage(received.message, 'vm-2');
  });
  await new Promise(setImmediate);
  isLossy = false;
  const found = await new Promise((resolve) => {
    setImmediate(() => {
      vm.find('r1', 'llm', performance.now() + 60_000, resolve);
    });
  });
  t.like(found, { service: 'llm', softwareVersion: 'v1' });
});
