import test from 'ava';
import type { BackendClient, InstanceResult } from '@hemlocksill/types/routing-ports.js';
import { makeServer } from '@hemlocksill/routing/fixtures.js';
import { makeChargedBackends } from './charged-backends.js';
import { makeResponseEnds } from './response-ends.js';

const server = makeServer({ id: 'e1', startedAt: 1_000 });

/** Makes checks whose server answers with these results, one after the other. */
const makeChecks = (results: readonly InstanceResult[], askMs = 0) => {
  const remaining = [...results];
  const logged: number[] = [];
  let now = 0;
  const ends = makeResponseEnds({
    checkInstance: (_, onDone) => {
      now += askMs;
      const result = remaining.shift();
      if (result) onDone(result);
    },
    log: (event) => logged.push(event),
    now: () => now,
  });
  return {
    ends,
    logged,
    remaining,
    setNow: (time: number) => {
      now = time;
    },
    check: (sentAt: number) =>
      new Promise<boolean>((resolve) => {
        ends.check(server, sentAt, resolve);
      }),
  };
};

const running = (startedAt: number): InstanceResult => ({ kind: 'running', startedAt });

// Guards against a response that ends with its server and counts as whole.
test('a response is whole if the listed instance runs, not if it has ended or another one runs', async (t) => {
  const checks = makeChecks([running(1_000), { kind: 'ended' }, running(2_000)]);
  t.deepEqual(
    [await checks.check(0), await checks.check(0), await checks.check(0)],
    [true, false, false],
  );
  t.deepEqual(checks.logged, [2324, 2324]);
});

test('a response is not whole if another VM can’t reach its server', async (t) => {
  t.false(await makeChecks([{ kind: 'unreachable' }]).check(0));
});

test('a server that can’t be asked is asked once more, then the response is whole', async (t) => {
  const checks = makeChecks([{ kind: 'unknown' }, { kind: 'ended' }]);
  t.false(await checks.check(0));
  const twice = makeChecks([{ kind: 'unknown' }, { kind: 'unknown' }, { kind: 'ended' }]);
  t.true(await twice.check(0));
  t.is(twice.remaining.length, 1);
});

test('a server that did not answer in time is not asked again', async (t) => {
  const checks = makeChecks([{ kind: 'unknown' }, { kind: 'ended' }], 500);
  t.true(await checks.check(0));
  t.is(checks.remaining.length, 1);
});

// Guards against a part that looks complete since its server went dark when it crashed.
test('a silent server is asked again for a second, and its silence is told if it lasts', async (t) => {
  const silent: InstanceResult = { kind: 'silent' };
  const check = (checks: ReturnType<typeof makeChecks>, answerBy?: number) =>
    new Promise((resolve) => {
      checks.ends.check(server, 0, (...end) => resolve(end), answerBy);
    });
  t.deepEqual(await check(makeChecks([silent, running(1_000)], 500)), [true, undefined]);
  t.deepEqual(await check(makeChecks([silent, { kind: 'ended' }], 500)), [false, undefined]);
  const lasting = makeChecks([silent, { kind: 'unknown' }, running(1_000)], 500);
  t.deepEqual(await check(lasting), [true, 'silent']);
  t.is(lasting.remaining.length, 1);
  const late = makeChecks([silent, running(1_000)], 500);
  t.deepEqual(await check(late, 1_000), [true, 'silent']);
  t.is(late.remaining.length, 1);
});

// Guards against whole responses that fail for as long as the entry of their server is late.
test('an instance behind a late entry that was found before a request was sent counts as its server', async (t) => {
  const checks = makeChecks([running(2_000), running(2_000), running(2_000), running(3_000)]);
  checks.setNow(10);
  t.false(await checks.check(0));
  checks.setNow(20);
  t.deepEqual(
    [await checks.check(5), await checks.check(15), await checks.check(15)],
    [false, true, false],
  );
});

const ignore = (): (() => void) => () => {};

/** A client whose servers have ended. */
const endedBackends: BackendClient = {
  send: ignore,
  prefill: ignore,
  releasePrefill: ignore,
  reserve: ignore,
  releaseReservation: ignore,
  report: ignore,
  checkInstance: (_, onDone) => onDone({ kind: 'ended' }),
  order: ignore,
  closeConnections: ignore,
  probe: ignore,
};

// Guards against a part that looks complete.
test('a response whose server has ended is not whole since the server has no room for the question', async (t) => {
  const roomAt = performance.now() + 300;
  const { checkInstance } = makeChargedBackends(endedBackends, {
    recordSend: () => {},
    hasRoom: () => performance.now() >= roomAt,
    isCold: () => false,
    isEvacuated: () => false,
  });
  const now = (): number => performance.now();
  const ends = makeResponseEnds({ checkInstance, log: () => {}, now });
  const isWhole = await new Promise((resolve) => {
    ends.check(server, now(), resolve);
  });
  t.false(isWhole);
});

// Guards against a server that gets more questions than its limit allows.
test('one question is asked for all responses of a server without room, and none if its address refuses connections', async (t) => {
  const roomAt = performance.now() + 150;
  let asked = 0;
  let isRefused = false;
  const { checkInstance } = makeChargedBackends(
    {
      ...endedBackends,
      checkInstance: (_, onDone) => {
        asked += 1;
        onDone(running(1_000));
      },
      probe: (_, onDone) => setTimeout(() => onDone?.(isRefused), 10),
    },
    {
      recordSend: () => {},
      hasRoom: () => asked === 0 && performance.now() >= roomAt,
      isCold: () => false,
      isEvacuated: () => false,
    },
  );
  const now = (): number => performance.now();
  const ends = makeResponseEnds({ checkInstance, log: () => {}, now });
  const check = (): Promise<boolean> =>
    new Promise((resolve) => {
      ends.check(server, now(), resolve);
    });
  t.deepEqual(await Promise.all([check(), check(), check()]), [true, true, true]);
  t.is(asked, 1);
  const first = check();
  isRefused = true;
  t.deepEqual(await Promise.all([first, check()]), [false, false]);
  t.is(asked, 1);
});
