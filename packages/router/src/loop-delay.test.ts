import test from 'ava';
import { makeLoopDelay } from './loop-delay.js';
import { makeRouterMetrics } from './router-metrics.js';

test('a blocked event loop is logged with its duration and counted in the metrics', async (t) => {
  const logged: unknown[] = [];
  const metrics = makeRouterMetrics();
  const loopDelay = makeLoopDelay({
    periodMs: 100,
    metrics,
    log: (id, fields) => logged.push([id, fields]),
  });
  [1_000, 1_100, 1_210, 5_310, 5_410].forEach(loopDelay.recordTick);
  t.deepEqual(logged, [[2009, { delayMs: 4_000 }]]);
  t.regex(await metrics.render(), /hemlocksill_event_loop_delay_ms_bucket\{le="2000"\} 4\n/);
});
