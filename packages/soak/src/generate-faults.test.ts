import test from 'ava';
import { soakForms, type EndlessFault } from './endless-faults.js';
import { defaultScheduleVersion, generateFaults } from './generate-faults.js';

const options = { version: defaultScheduleVersion, vms: 4, servers: 8, faultMs: 20_000 };

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

test('a seed of the third version keeps its schedule when kinds are added', (t) => {
  const faults = generateFaults(7_003, { version: 'v3', vms: 4, servers: 3, faultMs: 6_000 });
  t.deepEqual(
    faults.map(({ at, kind, forMs }) => `${at} ${kind} ${forMs}`),
    [
      '500 vm-kill 2231',
      '884 server-silent 2402',
      '1053 vm-pause 2227',
      '1558 server-link 2792',
      '2437 store-link 950',
      '3762 vm-pause 1218',
      '4324 server-leaves 3484',
      '4691 server-leaves 309',
      '5412 server-full 340',
    ],
  );
});

test('a seed of the fourth version keeps its schedule when kinds are added', (t) => {
  const faults = generateFaults(8_051, { version: 'v4', vms: 4, servers: 3, faultMs: 4_000 });
  t.deepEqual(
    faults.map(({ at, kind, forMs }) => `${at} ${kind} ${forMs}`),
    [
      '500 crashing-request 7604',
      '2090 vm-pause 3209',
      '2146 server-leaves 966',
      '4184 server-leaves 2126',
      '6618 server-leaves 3201',
    ],
  );
});

test('a seed of the sixth version keeps its schedule when kinds are added', (t) => {
  const faults = generateFaults(9_103, { version: 'v6', vms: 4, servers: 3, faultMs: 5_000 });
  t.deepEqual(
    faults.map(({ at, kind, forMs }) => `${at} ${kind} ${forMs}`),
    [
      '500 server-full 426',
      '715 store-link 3171',
      '1922 server-link 3129',
      '2783 crashing-request 8764',
      '4445 server-upgraded 2434',
      '4798 server-upgraded 3400',
      '7277 server-upgraded 1712',
    ],
  );
});

test('a seed of the seventh version keeps its schedule when kinds are added', (t) => {
  const faults = generateFaults(9_992, { version: 'v7', vms: 4, servers: 8, faultMs: 4_000 });
  t.deepEqual(
    faults.map(({ at, kind, forMs }) => `${at} ${kind} ${forMs}`),
    [
      '500 server-upgraded 2340',
      '902 server-upgraded 518',
      '2515 server-upgraded 2317',
      '3509 all-vms-kill 2121',
      '3949 vm-kill 821',
    ],
  );
});

test('stops of VMs come beside each of their companions, and late VMs pause for 0.1 to 0.7 s', (t) => {
  const faults = Array.from({ length: 60 }, (_, seed) => generateFaults(seed, options)).flat();
  const restarts = faults.flatMap((fault) => (fault.kind === 'vm-restart' ? [fault] : []));
  t.deepEqual([...new Set(restarts.map(({ beside }) => beside))].sort(), [
    'config-storm',
    'pause',
    'reloads',
    'second-signal',
    'start',
  ]);
  const pauses = faults.flatMap((fault) => {
    if (fault.kind === 'vm-late') return [fault.forMs];
    return fault.kind === 'vm-restart' && fault.beside === 'pause' ? [fault.pauseMs] : [];
  });
  t.true(pauses.every((pauseMs) => pauseMs >= 100 && pauseMs <= 700));
});

test('all VMs are lost for 1 to 2.6 s', (t) => {
  const faults = Array.from({ length: 60 }, (_, seed) => generateFaults(seed, options)).flat();
  const losses = faults.filter(({ kind }) => kind === 'all-vms-kill');
  t.true(losses.length > 20);
  t.true(losses.every(({ forMs }) => forMs >= 1_000 && forMs <= 2_600));
});

test('requests of each kind crash servers, for 6 to 10 s', (t) => {
  const faults = Array.from({ length: 60 }, (_, seed) => generateFaults(seed, options)).flat();
  const repetitions = faults.flatMap((fault) => (fault.kind === 'crashing-request' ? [fault] : []));
  t.true(repetitions.every(({ forMs }) => forMs >= 6_000 && forMs <= 10_000));
  const kinds = repetitions.map(({ call, hasSharedParts }) => `${call} ${hasSharedParts}`);
  t.deepEqual([...new Set(kinds)].sort(), [
    'confirm false',
    'read false',
    'stream false',
    'stream true',
  ]);
});

test('the schedules of many seeds contain every kind of fault, and faults overlap', (t) => {
  const schedules = Array.from({ length: 30 }, (_, seed) => generateFaults(seed, options));
  t.is(new Set(schedules.flat().map(({ kind }) => kind)).size, 19);
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

const sortUnique = <T>(values: readonly T[]): readonly T[] => [...new Set(values)].sort();

// Guards against a schedule that leaves out a form, a status or a place of answers without an end.
test('the tenth version has answers without an end in all forms, beside other faults', (t) => {
  const faults = Array.from({ length: 40 }, (_, seed) =>
    generateFaults(seed, { ...options, version: 'v10' }),
  ).flat();
  const endless = faults.filter((fault): fault is EndlessFault => fault.kind === 'endless-answers');
  t.true(endless.length < faults.length);
  t.deepEqual(sortUnique(endless.flatMap(({ forms }) => forms)), sortUnique(soakForms));
  t.deepEqual(sortUnique(endless.flatMap(({ statuses }) => statuses)), [200, 500]);
  t.deepEqual(sortUnique(endless.map(({ stage, part }) => `${stage ?? 'plain'} ${part}`)), [
    'decode reports',
    'decode requests',
    'decode reservations',
    'plain requests',
    'prefill prefills',
    'prefill reports',
  ]);
});
