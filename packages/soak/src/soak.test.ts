import { createServer, connect, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ScheduleVersion } from './generate-faults.js';
import { runSoak } from './run-soak.js';
import { startTcpProxy } from './tcp-proxy.js';

interface SoakCase {
  readonly seed: number;
  /** Version of the schedule with which the seed failed. */
  readonly version: ScheduleVersion;
  readonly faultMs: number;
  /** Cause of a past failure; undefined for a seed without a known failure. */
  readonly cause: string | undefined;
}

const cases: readonly SoakCase[] = [
  { seed: 1, version: 'v1', faultMs: 5_000, cause: undefined },
  {
    seed: 13,
    version: 'v1',
    faultMs: 8_000,
    cause: 'the proxy forwarded bytes ahead of earlier bytes that it was still delaying',
  },
  {
    seed: 34,
    version: 'v1',
    faultMs: 8_000,
    cause: 'a response that arrived after its caller had disconnected was counted',
  },
  {
    seed: 212,
    version: 'v1',
    faultMs: 8_000,
    cause: 'the ports of two VMs were in use when the VMs restarted',
  },
  {
    seed: 3881,
    version: 'v2',
    faultMs: 4_000,
    cause:
      'streams and reads lost their answer when a sound server was silent beside new configurations',
  },
  {
    seed: 8032,
    version: 'v4',
    faultMs: 4_000,
    cause:
      'a stream that crashed engines went to one after the other, and the part that all prompts share was blocked',
  },
  {
    seed: 8051,
    version: 'v4',
    faultMs: 4_000,
    cause: 'a sound request that many send was blocked with the one that crashed its only engine',
  },
  {
    seed: 9112,
    version: 'v6',
    faultMs: 5_000,
    cause: 'backend servers got many times the limit that they named',
  },
  {
    seed: 9103,
    version: 'v6',
    faultMs: 5_000,
    cause: 'streams went on at another software version than the one that began them',
  },
  { seed: 9992, version: 'v7', faultMs: 4_000, cause: undefined },
  {
    seed: 73_413,
    version: 'v8',
    faultMs: 3_500,
    cause: 'a VM that was late when it stopped lost the requests that it had not read',
  },
  {
    seed: 1112,
    version: 'v9',
    faultMs: 6_000,
    cause:
      'after engines restarted, streams had events of two versions, or looked complete too early',
  },
  {
    seed: 11_211,
    version: 'v10',
    faultMs: 4_000,
    cause:
      'VMs stood still for seconds, or ended, while an engine sent chunks of one byte without an end',
  },
  {
    seed: 12_239,
    version: 'v10',
    faultMs: 4_000,
    cause:
      'VMs took too much memory, and lost requests when they stopped, beside application servers without an end',
  },
];

cases.forEach(({ seed, version, faultMs, cause }) => {
  test.serial(`no guarantee is violated under the faults of seed ${seed}`, async (t) => {
    t.timeout(120_000);
    if (cause !== undefined) t.log(`failed in the past: ${cause}`);
    const result = await runSoak({ seed, version, faultMs, vms: 4 });
    t.deepEqual(result.violations, []);
    t.true(result.served > result.calls / 2);
    t.is(result.endlessAnswers > 0, version === 'v10');
  });
});

test('a proxy that stops delaying keeps the order of bytes', async (t) => {
  let received = '';
  const server = createServer((socket) => {
    socket.on('data', (bytes) => {
      received += bytes.toString();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const proxy = await startTcpProxy((server.address() as AddressInfo).port);
  t.teardown(() => {
    proxy.close();
    server.close();
  });
  const caller = connect(proxy.port, '127.0.0.1');
  caller.setNoDelay(true);
  const sent: string[] = [];
  for (let n = 0; n < 60; n += 1) {
    proxy.setMode(n % 7 < 3 ? 'delay' : 'pass');
    sent.push(`${n} `);
    caller.write(`${n} `);
    await sleep(n % 5);
  }
  await sleep(400);
  caller.destroy();
  t.is(received, sent.join(''));
});
