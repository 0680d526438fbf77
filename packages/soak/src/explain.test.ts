import test, { type ExecutionContext } from 'ava';
import { explainRequest } from '@hemlocksill/cli/explain-request.js';
import {
  sendRequest,
  registerBackendServer,
  publishConfig,
  startStandInPlatform,
  waitUntilReady,
  waitUntil,
  type RouterProcess,
  type StandInPlatform,
} from '@hemlocksill/platform/fakes/stand-in-platform.js';
import type {
  BackendServerOptions,
  StandInBackendServer,
} from '@hemlocksill/platform/fakes/stand-in-backend-server.js';
import { startTcpProxy } from './tcp-proxy.js';

interface Fleet {
  readonly platform: StandInPlatform;
  readonly routers: readonly RouterProcess[];
  readonly desk: StandInBackendServer;
  readonly decode: StandInBackendServer;
}

const startFleet = async (
  t: ExecutionContext,
  deskOptions: Partial<BackendServerOptions> = {},
  decodeOptions: Partial<BackendServerOptions> = {},
): Promise<Fleet> => {
  const platform = await startStandInPlatform();
  t.teardown(platform.close);
  publishConfig(platform.store, 1);
  await platform.addBackendServer('llm', { id: 'p1', stage: 'prefill' });
  const decode = await platform.addBackendServer('llm', {
    id: 'd1',
    stage: 'decode',
    ...decodeOptions,
  });
  const desk = await platform.addBackendServer('desk', { id: 's1', ...deskOptions });
  const routers = await Promise.all(['vm-1', 'vm-2'].map((vm) => platform.startRouter(vm)));
  await Promise.all(routers.map((router) => waitUntilReady(platform, router)));
  return { platform, routers, desk, decode };
};

/** Waits until the end of a request is logged, then explains it from the log lines of all VMs. */
const explainAfterEnd = async (fleet: Fleet, id: string): Promise<string> => {
  const { getLogLines } = fleet.platform;
  // Log lines are buffered before they are written.
  await waitUntil(() => /conclusion: request/.test(explainRequest(getLogLines(), id).text), 3_000);
  return explainRequest(getLogLines(), id).text;
};

const getCallersPort = (fleet: Fleet, vmIndex = 0): number =>
  fleet.routers[vmIndex]?.callersPort ?? 0;

const sendStream = (fleet: Fleet, id: string) =>
  sendRequest(getCallersPort(fleet), {
    path: '/summary/1',
    id,
    method: 'POST',
    tokens: [3_000, 60],
  });

test('explain names the number of engines and the predicted wait of a stream refused because all engines are full', async (t) => {
  const fleet = await startFleet(t, {}, { isFull: true });
  t.is((await sendStream(fleet, 'r1')).status, 503);
  const text = await explainAfterEnd(fleet, 'r1');
  t.regex(text, /conclusion: request refused: no memory in time/);
  t.regex(text, /engines=2/);
  t.regex(text, /predictedMs=/);
});

test('explain names the server that reset the connection of a call', async (t) => {
  const fleet = await startFleet(t, { workMs: 400 });
  const proxy = await startTcpProxy(fleet.desk.port);
  t.teardown(proxy.close);
  registerBackendServer(fleet.platform.store, 'desk', fleet.desk, 'ready', proxy.port);
  const isProxyInUse = () =>
    fleet.routers.every(
      (router) => router.getLogLines().filter((l) => l.includes('"s1"')).length > 1,
    );
  t.true(await waitUntil(isProxyInUse));
  const pendingResponse = sendRequest(getCallersPort(fleet), {
    path: '/confirm/1',
    id: 'r2',
    method: 'POST',
  });
  t.true(await waitUntil(() => fleet.desk.receivedRequests.length === 1));
  proxy.setMode('reset');
  t.is((await pendingResponse).status, 502);
  const text = await explainAfterEnd(fleet, 'r2');
  t.regex(text, /conclusion: request failed/);
  t.regex(text, /sends that failed before: s1: /);
});

test('explain names the engine that cut a stream and says that the response had begun', async (t) => {
  const fleet = await startFleet(
    t,
    {},
    { events: 30, gapMs: 20, breakAtEvent: 5, breaksEachStream: true },
  );
  const response = await sendStream(fleet, 'r3');
  t.false(response.isComplete);
  const text = await explainAfterEnd(fleet, 'r3');
  t.regex(text, /sends that failed before: d1: /);
  t.regex(text, /hadHead=true/);
});

test('explain names the configuration version by which a VM rejects a withdrawn key', async (t) => {
  const fleet = await startFleet(t);
  publishConfig(fleet.platform.store, 7, ['k9']);
  const isKeyWithdrawn = async (): Promise<boolean> =>
    (await sendRequest(getCallersPort(fleet, 1), { path: '/stock/1', id: 'probe' })).status === 401;
  t.true(await waitUntil(isKeyWithdrawn));
  await sendRequest(getCallersPort(fleet, 1), { path: '/stock/1', id: 'r4' });
  const text = await explainAfterEnd(fleet, 'r4');
  t.regex(text, /conclusion: request rejected before routing: the key is not known/);
  t.regex(text, /version=7/);
});

test('VMs killed and restarted while the store is down serve again once it responds', async (t) => {
  const fleet = await startFleet(t);
  const { platform } = fleet;
  const killed = [...fleet.routers];
  killed.forEach(({ child }) => child.kill('SIGKILL'));
  platform.store.setMode('silent');
  await Promise.all(killed.map(({ exited }) => exited));
  const restarted = killed.map((router) => platform.restartRouter(router));
  const isReadyWithoutStore = await waitUntil(async () => {
    const router = restarted[0];
    return router !== undefined && (await platform.isReady(router));
  }, 1_500);
  t.false(isReadyWithoutStore, 'a VM without a configuration must not be ready');
  platform.store.setMode('serving');
  const storeRestoredAt = performance.now();
  await Promise.all(restarted.map((router) => waitUntilReady(platform, router)));
  const responses = await Promise.all(
    restarted.map((router, n) =>
      sendRequest(router.callersPort, { path: '/stock/1', id: `after-${n}` }),
    ),
  );
  t.deepEqual(
    responses.map(({ status }) => status),
    [200, 200],
  );
  t.true(performance.now() - storeRestoredAt < 12_000);
});
