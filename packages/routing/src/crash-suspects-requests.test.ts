import test from 'ava';
import { makeCrashSuspects, type BlockChange, type CrashSuspects } from './crash-suspects.js';
import { makeRequestPart } from './request-part.js';

const bad = makeRequestPart('bad');
const sound = makeRequestPart('sound');

const makeSuspects = (random = (): number => 0) => {
  const changes: BlockChange[] = [];
  const suspects = makeCrashSuspects((change) => changes.push(change), random);
  return { suspects, changes };
};

/** Records the crashes of new instances on a request with these parts, at the given times. */
const recordCrashes = (
  suspects: CrashSuspects,
  parts: readonly string[],
  times: readonly number[],
): void =>
  times.forEach((now) => {
    suspects.recordArrival(parts.slice(0, -1));
    suspects.recordCrash(parts, `${parts.join()}-${now}@1`, now);
  });

const isBlocked = (suspects: CrashSuspects, parts: readonly string[], now: number): boolean =>
  suspects.findBlocked(parts, 'r1', now) !== undefined;

test('the third crash of the same request blocks it, and none of the parts that others share', (t) => {
  const { suspects, changes } = makeSuspects();
  recordCrashes(suspects, ['p1', 'p2', bad], [100, 500]);
  t.false(isBlocked(suspects, ['p1', 'p2', bad], 600));
  recordCrashes(suspects, ['p1', 'p2', bad], [900]);
  t.is(suspects.findBlocked(['p1', 'p2', bad], 'r1', 1_000), bad);
  t.false(isBlocked(suspects, ['p1', 'p2', sound], 1_000));
  t.deepEqual(
    changes.map(({ kind, part }) => [kind, part]),
    [['blocked', bad]],
  );
});

test('a request that shared a server with two crashes of another one is served', (t) => {
  const { suspects } = makeSuspects();
  [100, 500, 900].forEach((now, n) => {
    suspects.recordCrash([bad], `e${n}@1`, now);
    if (n < 2) suspects.recordCrash([sound], `e${n}@1`, now + 2);
  });
  t.true(isBlocked(suspects, [bad], 1_000));
  t.false(isBlocked(suspects, [sound], 1_000));
});

test('two requests that crash the same servers are both blocked, whichever is found first', (t) => {
  const { suspects } = makeSuspects();
  [100, 500, 900].forEach((now, n) => {
    suspects.recordCrash([sound], `e${n}@1`, now);
    suspects.recordCrash([bad], `e${n}@1`, now + 2);
  });
  t.true(isBlocked(suspects, [bad], 1_000));
});

test('different requests that crash servers block the part that they share, also if each comes again', (t) => {
  const { suspects } = makeSuspects();
  const first = ['p1', 'bad part', makeRequestPart('b1')];
  const second = ['p1', 'bad part', makeRequestPart('b2')];
  suspects.recordArrival(['p1', 'other']);
  recordCrashes(suspects, first, [100, 500, 900]);
  t.is(suspects.findBlocked(second, 'r1', 950), undefined);
  t.true(suspects.isSuspect(second, 950));
  recordCrashes(suspects, second, [1_300, 1_700]);
  t.is(suspects.findBlocked(['p1', 'bad part', sound], 'r1', 1_800), 'bad part');
  t.false(isBlocked(suspects, ['p1', 'other', sound], 1_800));
});

test('a request that a server survived has to crash three again, and more right after', (t) => {
  const { suspects } = makeSuspects();
  recordCrashes(suspects, [bad], [100, 500]);
  t.true(suspects.recordSurvival([bad], 900));
  recordCrashes(suspects, [bad], [1_300, 1_700, 2_100, 2_500]);
  t.false(isBlocked(suspects, [bad], 2_600));
  t.false(isBlocked(suspects, [bad], 30_800));
  suspects.tick(31_000);
  t.true(isBlocked(suspects, [bad], 31_000));
});

test('a sound request that comes often is not blocked at any VM for the crashes of another one', (t) => {
  const [first, second] = [makeSuspects().suspects, makeSuspects().suspects];
  first.recordSurvival([sound], 50);
  [100, 500, 900, 1_300].forEach((now, n) => {
    first.recordCrash([bad], `e${n}@1`, now);
    first.recordCrash([sound], `e${n}@1`, now + 2);
    second.recordPeer(first.listForPeers(now + 10), now + 12);
  });
  [first, second].forEach((suspects) => {
    t.true(isBlocked(suspects, [bad], 1_500));
    t.false(isBlocked(suspects, [sound], 1_500));
  });
});

test('a request that comes once in some minutes is blocked, too', (t) => {
  const { suspects } = makeSuspects();
  recordCrashes(suspects, [bad], [0, 240_000, 480_000]);
  t.true(isBlocked(suspects, [bad], 480_100));
});

test('a request that breaks again at the same server is no suspect', (t) => {
  const { suspects } = makeSuspects();
  suspects.recordCrash([bad], 'e1@1', 100);
  t.false(suspects.isSuspect([bad], 500, 'e1@1'));
  t.true(suspects.isSuspect([bad], 500, 'e2@1'));
});

test('servers that end at the same moment block no request that ran at all of them', (t) => {
  const { suspects, changes } = makeSuspects();
  Array.from({ length: 12 }, (_, n) => suspects.recordCrash([sound], `e${n}@1`, 1_000 + n));
  t.deepEqual(changes, []);
});

test('requests that come once push no part of a prompt out of memory', (t) => {
  const { suspects, changes } = makeSuspects();
  recordCrashes(suspects, ['bad part', makeRequestPart('b1')], [100]);
  recordCrashes(suspects, ['bad part', makeRequestPart('b2')], [500]);
  suspects.recordSurvival(['survived'], 600);
  for (let n = 0; n < 5_000; n += 1) {
    const request = makeRequestPart(`s${n}`);
    if (n % 2 === 0) suspects.recordSurvival([request], 1_000 + n);
    else suspects.recordCrash([request], `e${n}@1`, 1_000 + n);
  }
  recordCrashes(suspects, ['bad part', makeRequestPart('b3')], [7_000]);
  t.is(suspects.findBlocked(['bad part', sound], 'r1', 7_100), 'bad part');
  recordCrashes(suspects, ['survived', sound], [8_000, 8_400, 8_800]);
  t.is(suspects.findBlocked(['survived'], 'r1', 9_000), undefined);
  t.deepEqual(
    changes.map(({ part }) => part),
    ['bad part', sound],
  );
});

test('a VM that starts later hears of each of many blocked requests, and the newest crash at once', (t) => {
  let step = 0;
  const { suspects } = makeSuspects(() => {
    step += 0.37;
    return step % 1;
  });
  const requests = Array.from({ length: 40 }, (_, n) => makeRequestPart(`b${n}`));
  requests.forEach((request, n) =>
    recordCrashes(suspects, [request], [n * 1_000, n * 1_000 + 300, n * 1_000 + 600]),
  );
  recordCrashes(suspects, [bad], [60_000]);
  const later = makeSuspects();
  for (let now = 60_010; now < 90_000; now += 500) {
    const rows = suspects.listForPeers(now);
    t.true(rows.length <= 16);
    if (now < 64_000) t.true(rows.some(([part]) => part === bad));
    later.suspects.recordPeer(rows, now);
  }
  t.true(requests.every((request) => isBlocked(later.suspects, [request], 90_000)));
  t.false(isBlocked(later.suspects, [sound], 90_000));
});

test('prompt parts come first in a message, for VMs that read no more of it', (t) => {
  const { suspects } = makeSuspects();
  recordCrashes(suspects, ['p1', bad, sound], [100, 500]);
  suspects.recordSurvival(['p1', sound], 600);
  recordCrashes(suspects, ['p1', bad], [900]);
  t.deepEqual(
    suspects.listForPeers(1_000).map(([part, , , state]) => [part, state]),
    [
      ['p1', 'suspect'],
      ['p1', 'survived'],
      [bad, 'blocked'],
      [sound, 'survived'],
    ],
  );
});
