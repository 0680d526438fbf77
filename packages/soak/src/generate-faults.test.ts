import test from 'ava';
import { generateFaults, newestScheduleVersion } from './generate-faults.js';

const options = { version: newestScheduleVersion, vms: 4, servers: 8, faultMs: 20_000 };

test('the same seed gives the same faults, another seed gives others', (t) => {
  t.deepEqual(generateFaults(3, options), generateFaults(3, options));
  t.notDeepEqual(generateFaults(3, options), generateFaults(4, options));
});

test('a seed of the first version keeps its schedule when kinds are added', (t) => {
  const faults = generateFaults(13, { version: 'v1', vms: 4, servers: 8, faultMs: 8_000 });
  t.deepEqual(
    faults.map(({ at, kind, forMs }) => `${at} ${kind} ${forMs}`),
    [
      '500 vm-pause 3341',
      '817 server-link 2593',
      '2330 vm-kill 1674',
      '2504 server-link 3142',
      '3443 vm-pause 1049',
      '3946 key-withdrawn 3462',
      '5090 server-full 691',
      '8340 server-full 420',
      '8852 server-full 2608',
    ],
  );
});

test('the schedules of many seeds contain every kind of fault, and faults overlap', (t) => {
  const schedules = Array.from({ length: 30 }, (_, seed) => generateFaults(seed, options));
  t.is(new Set(schedules.flat().map(({ kind }) => kind)).size, 12);
  const overlaps = schedules.map((schedule) =>
    schedule.some(
      (fault, n) => n > 0 && (schedule[n - 1]?.at ?? 0) + (schedule[n - 1]?.forMs ?? 0) > fault.at,
    ),
  );
  t.true(overlaps.every(Boolean));
});

test('a server is silent for 0.6 to 2.5 s', (t) => {
  const faults = Array.from({ length: 30 }, (_, seed) => generateFaults(seed, options)).flat();
  const silences = faults.filter(({ kind }) => kind === 'server-silent');
  t.true(silences.length > 20);
  t.true(silences.every(({ forMs }) => forMs >= 600 && forMs <= 2_500));
});
