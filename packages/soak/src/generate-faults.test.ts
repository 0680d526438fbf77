import test from 'ava';
import { generateFaults } from './generate-faults.js';

const options = { vms: 4, servers: 8, faultMs: 20_000 };

test('the same seed gives the same faults, another seed gives others', (t) => {
  t.deepEqual(generateFaults(3, options), generateFaults(3, options));
  t.notDeepEqual(generateFaults(3, options), generateFaults(4, options));
});

test('the schedules of many seeds contain every kind of fault, and faults overlap', (t) => {
  const schedules = Array.from({ length: 30 }, (_, seed) => generateFaults(seed, options));
  t.is(new Set(schedules.flat().map(({ kind }) => kind)).size, 10);
  const overlaps = schedules.map((schedule) =>
    schedule.some(
      (fault, n) => n > 0 && (schedule[n - 1]?.at ?? 0) + (schedule[n - 1]?.forMs ?? 0) > fault.at,
    ),
  );
  t.true(overlaps.every(Boolean));
});
