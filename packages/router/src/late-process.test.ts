import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import { makeServer } from '@hemlocksill/routing/fixtures.js';
import { makeCrashWatch } from './crash-watch.js';
import { makeRouterMetrics } from './router-metrics.js';

/** Time for which the process does not run; longer than a server has to survive a request. */
const pauseMs = 1_100;

/** Keeps the process from running its event loop. */
const pauseProcess = (): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
};

// Guards against a crash that the process has not read when the time is over that a server has to survive.
test('a server that crashes while the process does not run has not survived', async (t) => {
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
