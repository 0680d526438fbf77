import test from 'ava';
import type { BackendServer } from '@hemlocksill/types/routing.js';
import { makeAnswerWatch } from './answer-watch.js';
import { makeRouterMetrics } from './router-metrics.js';

const server = { id: 'i-1' } as BackendServer;

const sound = {
  status: 200,
  contentBytes: 4_000_000,
  framingBytes: 400,
  pieces: 70,
  handlingMs: 12,
  longestReadMs: 1,
  fault: undefined,
};

// Guards against a VM that is kept busy by a server that no line names.
test('an answer that was costly, or long and not whole, is logged with its server', (t) => {
  const servers: unknown[] = [];
  const watch = makeAnswerWatch({
    log: (id, fields) => servers.push([id, fields?.server, fields?.pieces]),
    metrics: makeRouterMetrics(),
  });
  watch(server, sound);
  watch(server, { ...sound, contentBytes: 100, fault: 'reset' });
  t.deepEqual(servers, []);
  watch(server, { ...sound, pieces: 1, longestReadMs: 40 });
  watch(server, { ...sound, pieces: 2, handlingMs: 400 });
  watch(server, { ...sound, pieces: 3, fault: 'the answer is too large' });
  t.deepEqual(servers, [
    [2326, 'i-1', 1],
    [2326, 'i-1', 2],
    [2326, 'i-1', 3],
  ]);
});
