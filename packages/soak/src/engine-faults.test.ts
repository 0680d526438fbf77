import test from 'ava';
import { generateFaults } from './generate-faults.js';

const options = { version: 'v9', vms: 4, servers: 5, faultMs: 10_000 } as const;

const faults = Array.from({ length: 60 }, (_, seed) => generateFaults(seed, options)).flat();

const restarts = faults.flatMap((fault) => ('restarts' in fault ? fault.restarts : []));

test('schedules of the ninth version have each kind of engine fault, and VMs that end, reload and are late', (t) => {
  t.deepEqual([...new Set(faults.map(({ kind }) => kind))].sort(), [
    'engines-cut-off',
    'engines-restart',
    'store-link',
    'store-restored',
    'streams-broken',
    'vm-kill',
    'vm-late',
    'vm-reload',
    'vm-restart',
    'wrong-resume',
  ]);
  t.true(faults.every((fault) => fault.kind !== 'vm-late' || fault.forMs <= 700));
});

test('engines are away for up to 20 ms or for 0.1 to 1 s, and most come back with another version', (t) => {
  t.true(restarts.every(({ awayMs }) => awayMs <= 20 || (awayMs >= 100 && awayMs <= 1_000)));
  t.true(restarts.some(({ awayMs }) => awayMs <= 20));
  const changed = restarts.filter(({ changesVersion }) => changesVersion).length;
  t.true(changed > restarts.length * 0.6 && changed < restarts.length);
});

test('entries are in time, 0.5 to 2 s late, or wait for the last engine, and no engine restarts twice in a series', (t) => {
  const delays = restarts.map(({ entryDelayMs }) => entryDelayMs);
  t.true(delays.includes(0));
  t.true(delays.includes(undefined));
  const late = delays.filter((delay) => delay !== undefined && delay > 0);
  t.true(late.length > 20);
  t.true(late.every((delay = 0) => delay >= 500 && delay <= 2_000));
  const series = faults.flatMap((fault) => ('restarts' in fault ? [fault.restarts] : []));
  t.true(series.some(({ length }) => length >= 4));
  series.forEach((engines) =>
    t.is(new Set(engines.map(({ engine }) => engine)).size, engines.length),
  );
});

test('a process that goes on closes no stream between two events, where it would look complete', (t) => {
  const breaks = faults.flatMap((fault) => (fault.kind === 'streams-broken' ? [fault.how] : []));
  t.true(breaks.length > 20);
  t.true(breaks.every(({ by, isInsideEvent }) => by === 'reset' || isInsideEvent));
  const ends = restarts.map(({ how }) => `${how.by} ${how.isInsideEvent}`);
  t.deepEqual([...new Set(ends)].sort(), [
    'close false',
    'close true',
    'reset false',
    'reset true',
  ]);
});

test('entries of engines that are cut off lapse before the cut ends', (t) => {
  const cuts = faults.flatMap((fault) => (fault.kind === 'engines-cut-off' ? [fault] : []));
  t.true(cuts.length > 20);
  t.true(cuts.every(({ lapseMs, forMs }) => lapseMs >= 2_500 && lapseMs < forMs));
});

test('a seed of the ninth version keeps its schedule when kinds are added', (t) => {
  t.deepEqual(
    generateFaults(100, options).map(({ at, kind, forMs }) => `${at} ${kind} ${forMs}`),
    [
      '500 engines-restart 663',
      '765 wrong-resume 2978',
      '1023 streams-broken 3113',
      '1278 streams-broken 1921',
      '1531 streams-broken 608',
      '2816 wrong-resume 2476',
      '3904 engines-cut-off 5121',
      '4387 wrong-resume 2738',
      '4529 store-link 685',
      '4776 engines-cut-off 4939',
      '5250 engines-cut-off 4980',
      '5872 engines-restart 1916',
      '6306 vm-reload 3073',
      '7891 wrong-resume 1124',
      '8294 engines-restart 2668',
      '8481 vm-late 700',
    ],
  );
});
