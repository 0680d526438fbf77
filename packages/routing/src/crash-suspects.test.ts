import test from 'ava';
import fc from 'fast-check';
import { isRecentCrashRow, type CrashRow } from './crash-rows.js';
import { makeCrashSuspects, type BlockChange, type CrashSuspects } from './crash-suspects.js';

const bad = ['shared', 'bad'];
const sound = ['shared', 'sound'];

const makeSuspects = () => {
  const changes: BlockChange[] = [];
  return {
    suspects: makeCrashSuspects(
      (change) => changes.push(change),
      () => 0,
    ),
    changes,
  };
};

/** Records a request and the crash of a new engine instance on it, every 400 ms from `start`. */
const recordCrashes = (
  suspects: CrashSuspects,
  parts: readonly string[],
  count: number,
  start = 0,
): void =>
  Array.from({ length: count }, (_, n) => start + n * 400).forEach((now) => {
    suspects.recordArrival(parts);
    suspects.recordCrash(parts, `${parts.join()}-${now}@1`, now);
  });

const crashRow = (part: string, instances: number, state: CrashRow[3] = 'suspect'): CrashRow => [
  part,
  Array.from({ length: instances }, (_, n) => [`e${n}@1`, 1_000 + n * 400]),
  100,
  state,
];

test('of the parts of crashing requests only the one in the fewest requests is blocked', (t) => {
  const { suspects, changes } = makeSuspects();
  suspects.recordArrival(sound);
  recordCrashes(suspects, bad, 2);
  t.is(suspects.findBlocked(bad, 'r1', 900), undefined);
  recordCrashes(suspects, bad, 6, 1_000);
  t.is(suspects.findBlocked(bad, 'r1', 4_000), 'bad');
  t.is(suspects.findBlocked(sound, 'r1', 4_000), undefined);
  t.deepEqual(
    changes.map(({ kind, part }) => [kind, part]),
    [['blocked', 'bad']],
  );
});

test('of parts that are always seen together, the later one is blocked', (t) => {
  const { suspects } = makeSuspects();
  recordCrashes(suspects, bad, 3);
  t.is(suspects.findBlocked(bad, 'r1', 1_000), 'bad');
  t.is(suspects.findBlocked(sound, 'r1', 1_000), undefined);
});

test('a first part that crashes engines with any other part is blocked', (t) => {
  const { suspects } = makeSuspects();
  recordCrashes(suspects, ['bad', 'x'], 1);
  recordCrashes(suspects, ['bad', 'y'], 1, 400);
  recordCrashes(suspects, ['bad', 'z'], 1, 800);
  t.is(suspects.findBlocked(['bad', 'w'], 'r1', 1_000), 'bad');
  t.is(suspects.findBlocked(['x', 'y', 'z'], 'r1', 1_000), undefined);
});

test('when crashes go on without the blocked part, another part is blocked', (t) => {
  const { suspects } = makeSuspects();
  recordCrashes(suspects, bad, 3);
  recordCrashes(suspects, ['shared', 'other'], 2, 2_000);
  t.is(suspects.findBlocked(['shared', 'other'], 'r1', 3_000), undefined);
  recordCrashes(suspects, ['shared', 'other'], 1, 3_000);
  t.is(suspects.findBlocked(['shared', 'other'], 'r1', 3_500), 'other');
  t.is(suspects.findBlocked(sound, 'r1', 3_500), undefined);
});

test('one engine that resets many streams blocks nothing', (t) => {
  const { suspects, changes } = makeSuspects();
  for (let now = 0; now < 60_000; now += 100) {
    suspects.recordArrival(bad);
    suspects.recordCrash(bad, 'grey@1', now);
  }
  t.deepEqual(changes, []);
  t.is(suspects.findBlocked(bad, 'r1', 60_000), undefined);
});

test('engines that end at the same moment block nothing', (t) => {
  const { suspects } = makeSuspects();
  suspects.recordArrival(bad);
  Array.from({ length: 30 }, (_, n) => suspects.recordCrash(bad, `e${n}@1`, 1_000 + n));
  t.is(suspects.findBlocked(bad, 'r1', 1_100), undefined);
});

test('a part that an engine survived needs more crashes, and its earlier ones are forgotten', (t) => {
  const { suspects } = makeSuspects();
  recordCrashes(suspects, bad, 2);
  t.true(suspects.isSuspect(bad, 500));
  t.true(suspects.recordSurvival(bad, 1_000));
  t.false(suspects.recordSurvival(bad, 1_001));
  t.false(suspects.isSuspect(bad, 1_002));
  recordCrashes(suspects, bad, 7, 2_000);
  t.is(suspects.findBlocked(bad, 'r1', 5_000), undefined);
  recordCrashes(suspects, bad, 1, 5_000);
  t.is(suspects.findBlocked(bad, 'r1', 5_400), 'bad');
});

test('a part is a suspect from its first crash on, unless a blocked part explains it', (t) => {
  const { suspects } = makeSuspects();
  t.false(suspects.isSuspect(bad, 0));
  recordCrashes(suspects, bad, 1);
  t.true(suspects.isSuspect(bad, 100));
  t.true(suspects.isSuspect(sound, 100));
  recordCrashes(suspects, bad, 2, 400);
  t.true(suspects.isSuspect(bad, 900));
  t.false(suspects.isSuspect(sound, 900));
});

test('a block ends ten minutes after the last request with the part, incidents after one minute', (t) => {
  const { suspects, changes } = makeSuspects();
  recordCrashes(suspects, bad, 3);
  // One request in a while is let through.
  t.is(suspects.findBlocked(bad, 'r1', 500_000), undefined);
  t.is(suspects.findBlocked(bad, 'r2', 500_000), 'bad');
  t.is(suspects.findBlocked(bad, 'r3', 1_099_999), undefined);
  t.is(suspects.findBlocked(bad, 'r4', 1_099_999), 'bad');
  suspects.tick(1_700_000);
  t.deepEqual(changes.at(-1), { kind: 'released', part: 'bad', reason: 'idle' });
  recordCrashes(suspects, bad, 2, 1_800_000);
  t.false(suspects.isSuspect(bad, 1_800_400 + 60_000));
  t.deepEqual(suspects.listForPeers(1_800_400 + 60_000), []);
});

test('a blocked part is tried with one request at a time, less and less often while engines crash', (t) => {
  const { suspects } = makeSuspects();
  recordCrashes(suspects, bad, 3);
  const triedAt: number[] = [];
  for (let now = 1_000; now < 600_000; now += 1_000) {
    const id = `r${now}`;
    if (suspects.findBlocked(bad, id, now) === undefined) {
      triedAt.push(now);
      // The request passes all checks on its way, and others don't.
      t.is(suspects.findBlocked(bad, id, now), undefined);
      t.is(suspects.findBlocked(bad, 'other', now), 'bad');
      suspects.recordCrash(bad, `e-${now}@1`, now + 100);
    }
  }
  t.deepEqual(triedAt, [61_000, 182_000, 423_000]);
});

test('crashes around a block and old ones that peers tell again do not postpone the request that is tried', (t) => {
  const [first, second] = [makeSuspects().suspects, makeSuspects().suspects];
  recordCrashes(first, bad, 8);
  second.recordPeer(first.listForPeers(3_000), 3_000);
  recordCrashes(first, bad, 3, 3_200);
  for (let now = 4_500; now < 64_000; now += 500) first.recordPeer(second.listForPeers(now), now);
  t.is(first.findBlocked(bad, 'r1', 64_100), undefined);
});

test('a shared part that was blocked by mistake is released by one request that goes on', (t) => {
  const { suspects, changes } = makeSuspects();
  recordCrashes(suspects, ['shared'], 3);
  t.is(suspects.findBlocked(sound, 'r1', 1_000), 'shared');
  t.is(suspects.findBlocked(sound, 'r2', 70_000), undefined);
  suspects.recordSurvival(sound, 72_000);
  t.is(suspects.findBlocked(sound, 'r3', 72_100), undefined);
  t.deepEqual(changes.at(-1), { kind: 'released', part: 'shared', reason: 'survived' });
});

test('crashes on two bad parts at a time do not block the part that both share', (t) => {
  const { suspects, changes } = makeSuspects();
  suspects.recordArrival(sound);
  const crash = (part: string, now: number): void => {
    suspects.recordArrival(['shared', part]);
    suspects.recordCrash(['shared', part], `e${now}@1`, now);
  };
  ['b1', 'b2', 'b1', 'b2', 'b1', 'b2'].forEach((part, n) => crash(part, n * 700));
  suspects.tick(9_000);
  t.deepEqual(
    changes.map(({ kind, part }) => [kind, part]),
    [
      ['blocked', 'b1'],
      ['blocked', 'b2'],
    ],
  );
});

test('a message tells the newest of many incidents', (t) => {
  const { suspects } = makeSuspects();
  Array.from({ length: 10 }, (_, n) => recordCrashes(suspects, [`p${n}`], 2, n * 1_000));
  recordCrashes(suspects, ['newest'], 1, 20_000);
  const parts = suspects.listForPeers(20_010).map(([part]) => part);
  t.is(parts[0], 'newest');
});

test('VMs that saw the same crash count it once, and each of them blocks on the crashes of all', (t) => {
  const [first, second] = [makeSuspects().suspects, makeSuspects().suspects];
  [first, second].forEach((suspects) => {
    suspects.recordArrival(bad);
    suspects.recordCrash(bad, 'e1@1', 1_000);
    suspects.recordCrash(bad, 'e2@1', 2_000);
  });
  second.recordPeer(first.listForPeers(2_010), 2_012);
  t.is(second.findBlocked(bad, 'r1', 2_012), undefined);
  first.recordCrash(bad, 'e3@1', 3_000);
  second.recordPeer(first.listForPeers(3_010), 3_012);
  t.is(second.findBlocked(bad, 'r1', 3_012), 'bad');
  t.is(second.findBlocked(sound, 'r1', 3_012), undefined);
});

test('a VM that starts later learns a block from one message, and blocks no other part for it', (t) => {
  const { suspects } = makeSuspects();
  suspects.recordArrival(sound);
  recordCrashes(suspects, bad, 5);
  const later = makeSuspects();
  later.suspects.recordPeer(suspects.listForPeers(20_000), 90_000);
  t.is(later.suspects.findBlocked(bad, 'r1', 90_000), 'bad');
  t.is(later.suspects.findBlocked(sound, 'r1', 90_000), undefined);
});

test('a VM that has seen neither part waits for one that knows which is rarer', (t) => {
  const { suspects, changes } = makeSuspects();
  t.false(suspects.recordPeer([crashRow('shared', 3), crashRow('bad', 3)], 10_000));
  t.deepEqual(changes, []);
  suspects.recordPeer([crashRow('shared', 3), crashRow('bad', 3, 'blocked')], 10_100);
  t.deepEqual(
    changes.map(({ part }) => part),
    ['bad'],
  );
});

test('a block of a part that has just survived here is not taken over, and the peer releases it', (t) => {
  const [first, second] = [makeSuspects(), makeSuspects()];
  recordCrashes(first.suspects, ['shared'], 3);
  t.is(first.suspects.findBlocked(['shared'], 'r1', 900), 'shared');
  second.suspects.recordSurvival(['shared'], 700);
  second.suspects.recordPeer(first.suspects.listForPeers(900), 900);
  t.is(second.suspects.findBlocked(['shared'], 'r1', 900), undefined);
  t.true(second.suspects.recordSurvival(['shared'], 1_000));
  first.suspects.recordPeer(second.suspects.listForPeers(1_010), 1_010);
  t.is(first.suspects.findBlocked(['shared'], 'r1', 1_010), undefined);
  t.deepEqual(first.changes.at(-1), { kind: 'released', part: 'shared', reason: 'survived' });
});

test('incidents and blocks that two VMs tell each other end in spite of that', (t) => {
  const [first, second] = [makeSuspects().suspects, makeSuspects().suspects];
  recordCrashes(first, bad, 3);
  for (let now = 1_000; now < 640_000; now += 500) {
    second.recordPeer(first.listForPeers(now), now + 5);
    first.recordPeer(second.listForPeers(now + 200), now + 205);
  }
  t.deepEqual([first.listForPeers(640_000), second.listForPeers(640_000)], [[], []]);
});

test('only rows of the last seconds are part of small messages', (t) => {
  t.true(isRecentCrashRow(['p', [['e1@1', 300]], 0, 'suspect']));
  t.false(isRecentCrashRow(['p', [['e1@1', 30_000]], 0, 'blocked']));
  t.true(isRecentCrashRow(['p', [], 200, 'survived']));
});

test('messages stay bounded, and no order of events throws or blocks a part without incidents', (t) => {
  const part = fc.constantFrom(...Array.from({ length: 30 }, (_, n) => `p${n}`));
  const parts = fc.array(part, { maxLength: 4 });
  const row = fc.tuple(
    part,
    fc.array(fc.tuple(fc.string(), fc.integer({ min: 0, max: 700_000 })), { maxLength: 12 }),
    fc.integer({ min: 0, max: 700_000 }),
    fc.constantFrom<CrashRow[3]>('suspect', 'blocked', 'survived'),
  );
  const event = fc.oneof(
    fc.record({ kind: fc.constant('arrival' as const), parts }),
    fc.record({ kind: fc.constant('crash' as const), parts, instance: fc.nat(40) }),
    fc.record({ kind: fc.constant('survival' as const), parts }),
    fc.record({ kind: fc.constant('peer' as const), rows: fc.array(row, { maxLength: 40 }) }),
  );
  fc.assert(
    fc.property(fc.array(fc.tuple(event, fc.nat(5_000)), { maxLength: 80 }), (events) => {
      const { suspects, changes } = makeSuspects();
      let now = 0;
      events.forEach(([step, delayMs]) => {
        now += delayMs;
        if (step.kind === 'arrival') suspects.recordArrival(step.parts);
        if (step.kind === 'crash') suspects.recordCrash(step.parts, `e${step.instance}@1`, now);
        if (step.kind === 'survival') suspects.recordSurvival(step.parts, now);
        if (step.kind === 'peer') suspects.recordPeer(step.rows, now);
      });
      const rows = suspects.listForPeers(now);
      return (
        rows.length <= 16 &&
        rows.every(([, incidents]) => incidents.length <= 8) &&
        changes.every((change) => change.kind === 'released' || change.instances.length >= 3)
      );
    }),
  );
  t.pass();
});

test('parts that are seen once each are forgotten, and so are incidents beyond the bound', (t) => {
  const { suspects, changes } = makeSuspects();
  recordCrashes(suspects, bad, 3);
  for (let n = 0; n < 5_000; n += 1) {
    suspects.recordArrival([`p${n}`]);
    suspects.recordCrash([`p${n}`], `e${n}@1`, 2_000 + n);
  }
  t.is(suspects.findBlocked(bad, 'r1', 8_000), 'bad');
  const suspected = Array.from({ length: 5_000 }, (_, n) => `p${n}`).filter((part) =>
    suspects.isSuspect([part], 8_000),
  );
  t.true(suspected.length <= 256);
  t.is(changes.length, 1);
});

test('a crash that several VMs see of an instance that was listed before counts once', (t) => {
  const [first, second] = [makeSuspects().suspects, makeSuspects().suspects];
  first.recordCrash(bad, 'e1@1', 1_000);
  second.recordPeer(first.listForPeers(1_010), 1_012);
  t.false(second.recordEnd(bad, 'e1@1', 900, 1_500));
  t.true(first.recordEnd(bad, 'e1@1', 5_000, 6_000));
  t.true(second.recordEnd(bad, 'e1@1', 5_100, 6_200));
  second.recordPeer(first.listForPeers(6_210), 6_212);
  const countIncidents = (suspects: CrashSuspects): number[] =>
    suspects.listForPeers(6_300).map(([, incidents]) => incidents.length);
  t.deepEqual(countIncidents(second), [2, 2]);
  first.recordPeer(second.listForPeers(6_310), 6_312);
  t.deepEqual(countIncidents(first), [2, 2]);
  t.false(first.isSuspect(bad, 6_400, 'e1@1'));
});

test('rare parts of sound streams that two crashes broke do not keep the bad part from being blocked', (t) => {
  const { suspects } = makeSuspects();
  ['a', 'b', 'c', 'd', 'e'].forEach((engine, n) => {
    const now = n * 400;
    suspects.recordArrival(bad);
    suspects.recordCrash(bad, `${engine}@1`, now);
    const rare = n < 2 ? 'rare-1' : 'rare-2';
    if (n < 4) suspects.recordCrash([rare], `${engine}@1`, now + 2);
  });
  t.is(suspects.findBlocked(bad, 'r1', 2_000), 'bad');
  t.is(suspects.findBlocked(['rare-1', 'rare-2'], 'r1', 2_000), undefined);
});
