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
  deskPlan: Partial<BackendServerOptions> = {},
  decodePlan: Partial<BackendServerOptions> = {},
): Promise<Fleet> => {
  const platform = await startStandInPlatform();
  t.teardown(platform.close);
  publishConfig(platform.store, 1);
  await platform.addBackendServer('llm', { id: 'p1', stage: 'prefill' });
  const decode = await platform.addBackendServer('llm', {
    id: 'd1',
    stage: 'decode',
    ...decodePlan,
  });
  const desk = await platform.addBackendServer('desk', { id: 's1', ...deskPlan });
  const routers = await Promise.all(['vm-1', 'vm-2'].map((vm) => platform.startRouter(vm)));
  await Promise.all(routers.map((router) => waitUntilReady(platform, router)));
  return { platform, routers, desk, decode };
};

/** Waits until the end of a request is logged, then explains it from the lines of all VMs. */
const explain = async (fleet: Fleet, id: string): Promise<string> => {
  const { getLogLines: lines } = fleet.platform;
  // Lines are gathered before they are written.
  await waitUntil(() => /conclusion: request/.test(explainRequest(lines(), id).text), 3_000);
  return explainRequest(lines(), id).text;
};

const port = (fleet: Fleet, n = 0): number => fleet.routers[n]?.callersPort ?? 0;

const stream = (fleet: Fleet, id: string) =>
  sendRequest(port(fleet), { path: '/summary/1', id, method: 'POST', tokens: [3_000, 60] });

test('a stream that is refused since every engine is full names the engines and the wait', async (t) => {
  const fleet = await startFleet(t, {}, { isFull: true });
  t.is((await stream(fleet, 'r1')).status, 503);
  const text = await explain(fleet, 'r1');
  t.regex(text, /conclusion: request refused: no memory in time/);
  t.regex(text, /engines=2/);
  t.regex(text, /predictedMs=/);
});

test('a call whose server breaks off names the server and says that the outcome is unknown', async (t) => {
  const fleet = await startFleet(t, { workMs: 400 });
  const proxy = await startTcpProxy(fleet.desk.port);
  t.teardown(proxy.close);
  registerBackendServer(fleet.platform.store, 'desk', fleet.desk, 'ready', proxy.port);
  const isMoved = () =>
    fleet.routers.every(
      (router) => router.getLogLines().filter((l) => l.includes('"s1"')).length > 1,
    );
  t.true(await waitUntil(isMoved));
  const answer = sendRequest(port(fleet), { path: '/confirm/1', id: 'r2', method: 'POST' });
  t.true(await waitUntil(() => fleet.desk.receivedRequests.length === 1));
  proxy.setMode('reset');
  t.is((await answer).status, 502);
  const text = await explain(fleet, 'r2');
  t.regex(text, /conclusion: request failed/);
  t.regex(text, /sends that failed before: s1: /);
});

test('a stream that is cut by its engine names the engine and how far it was', async (t) => {
  const fleet = await startFleet(t, {}, { events: 30, gapMs: 20, breakAtEvent: 5 });
  const answer = await stream(fleet, 'r3');
  t.false(answer.isComplete);
  const text = await explain(fleet, 'r3');
  t.regex(text, /sends that failed before: d1: /);
  t.regex(text, /hadHead=true/);
});

test('a key that one VM holds withdrawn is named with the version that said so', async (t) => {
  const fleet = await startFleet(t);
  publishConfig(fleet.platform.store, 7, ['k9']);
  const isInForce = async (): Promise<boolean> =>
    (await sendRequest(port(fleet, 1), { path: '/stock/1', id: 'probe' })).status === 401;
  t.true(await waitUntil(isInForce));
  await sendRequest(port(fleet, 1), { path: '/stock/1', id: 'r4' });
  const text = await explain(fleet, 'r4');
  t.regex(text, /conclusion: request rejected before routing: the key is not known/);
  t.regex(text, /version=7/);
});

test('all VMs are killed with the store down and serve again once it answers', async (t) => {
  const fleet = await startFleet(t);
  const { platform } = fleet;
  const killed = [...fleet.routers];
  killed.forEach(({ child }) => child.kill('SIGKILL'));
  platform.store.setMode('silent');
  await Promise.all(killed.map(({ exited }) => exited));
  const again = killed.map((router) => platform.restartRouter(router));
  const early = await waitUntil(async () => {
    const router = again[0];
    return router !== undefined && (await platform.isReady(router));
  }, 1_500);
  t.false(early, 'a VM that knows no configuration takes no callers');
  platform.store.setMode('serving');
  const from = performance.now();
  await Promise.all(again.map((router) => waitUntilReady(platform, router)));
  const answers = await Promise.all(
    again.map((router, n) =>
      sendRequest(router.callersPort, { path: '/stock/1', id: `after-${n}` }),
    ),
  );
  t.deepEqual(
    answers.map(({ status }) => status),
    [200, 200],
  );
  t.true(performance.now() - from < 12_000);
});
