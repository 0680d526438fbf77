import test from 'ava';
import { makeHeapWatch } from './heap-watch.js';
import { makeRouterMetrics } from './router-metrics.js';

// Guards against processes that end at their heap limit with nothing in the log.
test('a process that becomes short of memory logs what its callers hold, once', async (t) => {
  const logged: unknown[] = [];
  const metrics = makeRouterMetrics();
  const use = { usedBytes: 0, limitBytes: 100 };
  const heap = makeHeapWatch({
    readHeapUse: () => ({ ...use }),
    metrics,
    log: (id, fields) => logged.push([id, fields]),
    describeHolders: () => ({ requestBytes: 5 }),
  });
  [50, 81, 90, 60].forEach((usedBytes) => {
    use.usedBytes = usedBytes;
    heap.check();
  });
  t.deepEqual(logged, [[2010, { usedBytes: 81, limitBytes: 100, requestBytes: 5 }]]);
  t.regex(await metrics.render(), /hemlocksill_heap_bytes 60\n/);
});
