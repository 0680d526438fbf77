import test from 'ava';
import { planFaults } from './generate-faults.js';

const size = { vms: 4, servers: 8, faultMs: 20_000 };

test('a seed gives the same faults again, another seed others', (t) => {
  t.deepEqual(planFaults(3, size), planFaults(3, size));
  t.notDeepEqual(planFaults(3, size), planFaults(4, size));
});

test('many seeds bring every kind of fault, and faults overlap', (t) => {
  const plans = Array.from({ length: 30 }, (_, seed) => planFaults(seed, size));
  t.is(new Set(plans.flat().map(({ kind }) => kind)).size, 10);
  const overlaps = plans.map((plan) =>
    plan.some((fault, n) => n > 0 && (plan[n - 1]?.at ?? 0) + (plan[n - 1]?.forMs ?? 0) > fault.at),
  );
  t.true(overlaps.every(Boolean));
});
