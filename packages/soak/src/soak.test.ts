import test from 'ava';
import { runSoak } from './run-soak.js';

interface Case {
  readonly seed: number;
  readonly faultMs: number;
  /** Why the seed failed once; undefined for one that is only played. */
  readonly cause: string | undefined;
}

const cases: readonly Case[] = [
  { seed: 1, faultMs: 5_000, cause: undefined },
  { seed: 13, faultMs: 8_000, cause: 'the proxy let bytes overtake those that it had delayed' },
  { seed: 34, faultMs: 8_000, cause: 'an answer that came after its caller had left counted' },
];

cases.forEach(({ seed, faultMs, cause }) => {
  test.serial(`no promise is broken under the faults of seed ${seed}`, async (t) => {
    t.timeout(120_000);
    if (cause !== undefined) t.log(`failed once: ${cause}`);
    const result = await runSoak({ seed, faultMs, vms: 4 });
    t.deepEqual(result.violations, []);
    t.true(result.served > result.calls / 2);
  });
});
