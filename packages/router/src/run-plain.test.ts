import test from 'ava';
import type { Route } from '@hemlocksill/types/routing.js';
import type {
  CallFault,
  ForwardedCall,
  ResponseObserver,
} from '@hemlocksill/types/routing-ports.js';
import { makeEngineLedger } from '@hemlocksill/routing/engine-ledger.js';
import { makeEngineRates } from '@hemlocksill/routing/engine-rates.js';
import { makeRoute, makeServer } from '@hemlocksill/routing/fixtures.js';
import { makeServerHealth } from '@hemlocksill/routing/server-health.js';
import { makeResponseTimes } from '@hemlocksill/routing/response-times.js';
import type { AbandonRequest } from './call-context.js';
import { makePlainPlacement } from './plain-placement.js';
import { makeRouterMetrics } from './router-metrics.js';
import { runPlain } from './run-plain.js';

const call: ForwardedCall = {
  method: 'GET',
  target: '/stock/',
  rawHeaders: [],
  body: Buffer.alloc(0),
  metadata: {
    id: 'r1',
    key: undefined,
    callerTimeoutMs: undefined,
    promptTokens: 0,
    maxOutputTokens: 0,
    expectedOutputTokens: undefined,
    hasTokenCounts: false,
    lastEventId: undefined,
    resumedRequest: undefined,
    promptParts: [],
  },
  workspace: undefined,
};

const full: CallFault = { kind: 'rejected', reason: 'full' };
const broken: CallFault = { kind: 'unknown', reason: 'reset' };
const notSent: CallFault = { kind: 'not-sent', reason: 'refused' };

/** Target latency, short so that an attempt is slow soon. */
const targetLatencyMs = 1;

/** Several times the time after which an attempt is slow. */
const longMs = 60;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

interface RunOptions {
  readonly route?: Partial<Route>;
  readonly serverCount?: number;
  /** Number of retries left in the budget. */
  readonly retries?: number;
  /** Servers that can't be reached. */
  readonly unreachable?: readonly string[];
  /** Whether another server has crashed on the request, so that the next break ends it. */
  readonly isSuspect?: boolean;
  /** Time until the caller's deadline. */
  readonly timeoutMs?: number;
  readonly policy?: 'slots' | 'expected-time';
  /** Maximum share of second attempts for late answers. */
  readonly share?: number;
  /** Whether responses are held back. */
  readonly isHeldBack?: boolean;
  /** Usual response times of the servers and their route, which 100 requests have shown. */
  readonly usualMs?: readonly number[];
}

/** Starts the run of a request whose attempts are answered by the test. */
const startRun = ({
  route,
  serverCount = 2,
  retries = 9,
  unreachable = [],
  isSuspect = false,
  timeoutMs = 60_000,
  policy = 'slots',
  share = 0,
  usualMs = [],
  isHeldBack = false,
}: RunOptions = {}) => {
  const attempts: { server: string; observer: ResponseObserver }[] = [];
  const cancelled: string[] = [];
  const outcomes: string[] = [];
  const healthRecords: string[] = [];
  const budget = { retries };
  /** Servers at which a run of the request is watched. */
  const watched = new Set<string>();
  const watchRecords: string[] = [];
  let isBlocked = false;
  const plainLedger = makeEngineLedger(makeEngineRates());
  const health = makeServerHealth();
  const servers = Array.from({ length: serverCount }, (_, n) => makeServer({ id: `i-${n + 1}` }));
  const times = makeResponseTimes();
  const metrics = makeRouterMetrics();
  const placement = makePlainPlacement(
    {
      policy,
      times,
      listReady: () => servers,
      getPlacementView: () => ({
        ledger: plainLedger,
        health,
        hasRoom: () => true,
        rates: makeEngineRates(),
        dataCentre: 'north-a',
        now: performance.now(),
      }),
      notifyPeers: () => {},
      metrics,
      random: () => 0,
      now: () => performance.now(),
    },
    share,
  );
  const fullRoute = makeRoute({ targetLatencyMs, ...route });
  usualMs.forEach((ms, index) => {
    const server = servers[index];
    if (!server) return;
    for (let n = 0; n < 100; n += 1) {
      placement.recordRequest();
      placement.recordResponse(server, ms);
      placement.recordRouteLatency(fullRoute.name, ms);
    }
  });
  let disconnect = (): void => {};
  let abandon: AbandonRequest = () => {};
  runPlain(
    {
      backends: {
        send: ({ id }, _, __, observer) => {
          attempts.push({ server: id, observer });
          if (unreachable.includes(id)) observer.fault(notSent);
          return () => cancelled.push(id);
        },
      },
      plainLedger,
      openGathered: () => ({
        isFull: () => isHeldBack,
        onRoom: () => {},
        recordHeld: () => {},
        close: () => {},
      }),
      crashWatch: {
        isSuspect: () => isSuspect,
        findBlocked: () => (isBlocked ? 'request:f1' : undefined),
        watchRun: (_, { id }) => {
          watched.add(id);
          return {
            recordEvent: () => watchRecords.push(`${id} event`),
            recordEnd: () => watchRecords.push(`${id} end`),
            recordBreak: () => {
              watchRecords.push(`${id} break`);
              return isSuspect;
            },
            stop: () => watched.delete(id),
          };
        },
      },
      responseEnds: {
        check: (_, __, onDone) => queueMicrotask(() => onDone(true)),
      },
      health: {
        ...health,
        record: (id, outcome) => healthRecords.push(`${id} ${outcome}`),
      },
      recordFaultyAnswer: ({ id }) => healthRecords.push(`${id} faulty-answer`),
      limits: {
        isLimited: () => false,
        getRoom: () => ({ waitMs: 0, requestsPerS: Number.POSITIVE_INFINITY }),
        tryQueue: () => undefined,
        hasWaiting: () => false,
        removeWaiting: () => {},
      },
      listReady: () => servers,
      placement,
      tryTakeRetry: () => {
        if (budget.retries === 0) return false;
        budget.retries -= 1;
        return true;
      },
      returnRetry: () => {
        budget.retries += 1;
      },
      log: () => {},
      metrics,
      now: () => performance.now(),
    },
    {
      call,
      route: fullRoute,
      service: { name: 'desk', maxConnections: 10, engine: undefined },
      workspace: undefined,
      fingerprint: 'f1',
      crashParts: ['request:f1'],
      arrivedAt: performance.now(),
      timeoutAt: performance.now() + timeoutMs,
    },
    {
      sendComplete: ({ status }, body) => outcomes.push(`${status} ${body.toString()}`),
      refuse: (status, _, reason) => outcomes.push(`refuse ${status} ${reason}`),
      fail: (status, reason) => outcomes.push(`fail ${status} ${reason}`),
      onDisconnect: (callback) => {
        disconnect = callback;
      },
      onAbandon: (callback) => {
        abandon = callback;
      },
    },
  );
  const getObserver = (n: number): ResponseObserver => {
    const attempt = attempts[n - 1];
    if (!attempt) throw new Error(`there are ${attempts.length} attempts`);
    return attempt.observer;
  };
  return {
    cancelled,
    outcomes,
    healthRecords,
    budget,
    watched,
    watchRecords,
    block: () => {
      isBlocked = true;
    },
    disconnect: () => disconnect(),
    abandon: () => abandon(504, 'before the timeout'),
    placement,
    /** Returns the counts of second attempts, by outcome and reason. */
    countHedges: async (): Promise<Record<string, number>> => {
      const { values } = await metrics.secondAttempts.get();
      return Object.fromEntries(
        values.map(({ labels, value }) => [
          [labels.outcome, labels.reason].filter(Boolean).join(' '),
          value,
        ]),
      );
    },
    listServers: () => attempts.map(({ server }) => server),
    countAllocations: () =>
      servers.reduce((sum, { id }) => sum + plainLedger.getTotal(id, 0).requests, 0),
    /** Waits until this many attempts were made. */
    waitForAttempts: async (count: number): Promise<void> => {
      while (attempts.length < count) await sleep(1);
    },
    getObserver,
    fail: (n: number, fault: CallFault) => getObserver(n).fault(fault),
    respond: (n: number, status = 200) => {
      const observer = getObserver(n);
      observer.start({ status, headers: [], hasBody: true, isFramed: true });
      observer.data(Buffer.from(`from ${n}`));
      observer.end();
    },
  };
};

test('at most two attempts of a slow request run at a time, and no more than the route allows', async (t) => {
  const run = startRun({ route: { maxAttempts: 4 }, serverCount: 6 });
  await run.waitForAttempts(2);
  await sleep(longMs);
  t.deepEqual(run.listServers(), ['i-1', 'i-2']);
  t.is(run.countAllocations(), 2);
  run.fail(2, full);
  await run.waitForAttempts(3);
  run.fail(3, broken);
  await run.waitForAttempts(4);
  run.respond(4, 500);
  await sleep(longMs);
  t.deepEqual(run.listServers(), ['i-1', 'i-2', 'i-3', 'i-4']);
  t.deepEqual(run.outcomes, []);
  t.deepEqual(run.cancelled, []);
  run.respond(1);
  t.deepEqual(run.outcomes, ['200 from 1']);
  t.is(run.budget.retries, 9 - 3);
  t.is(run.countAllocations(), 0);
});

test('the first complete response counts and the other attempt is cancelled at once', async (t) => {
  for (const [winner, loser] of [
    [1, 'i-2'],
    [2, 'i-1'],
  ] as const) {
    const run = startRun();
    await run.waitForAttempts(2);
    run.respond(winner);
    t.deepEqual(run.outcomes, [`200 from ${winner}`]);
    t.deepEqual(run.cancelled, [loser]);
    t.is(run.countAllocations(), 0);
    t.deepEqual(run.healthRecords, ['i-1 broken', `i-${winner} answered`]);
  }
});

test('a retry for a slow request is given back if it was not sent', async (t) => {
  const run = startRun({ serverCount: 6, unreachable: ['i-2', 'i-3'] });
  await run.waitForAttempts(4);
  t.deepEqual(run.listServers(), ['i-1', 'i-2', 'i-3', 'i-4']);
  t.is(run.budget.retries, 9 - 1);
  run.respond(4);
  t.deepEqual(run.outcomes, ['200 from 4']);
});

test('a slow request stays at its server if too many others cannot be reached', async (t) => {
  const run = startRun({ serverCount: 9, unreachable: ['i-2', 'i-3', 'i-4', 'i-5', 'i-6'] });
  await run.waitForAttempts(5);
  await sleep(longMs);
  t.is(run.listServers().length, 5);
  t.is(run.budget.retries, 9);
  run.respond(1);
  t.deepEqual(run.outcomes, ['200 from 1']);
});

// Guards against a second attempt, and a bad mark for the server, while the VM itself does not read.
test('a request whose response is held back stays at its server', async (t) => {
  const run = startRun({ isHeldBack: true });
  await sleep(longMs);
  t.deepEqual(run.listServers(), ['i-1']);
  t.deepEqual(run.healthRecords, []);
  run.respond(1);
  t.deepEqual(run.outcomes, ['200 from 1']);
});

test('a retry is given back if no server is left to send it to', (t) => {
  const run = startRun({ serverCount: 1 });
  run.fail(1, broken);
  t.deepEqual(run.outcomes, ['fail 502 no backend server is ready']);
  t.is(run.budget.retries, 9);
});

test('a slow request is sent to another server once the budget has a retry', async (t) => {
  const run = startRun({ retries: 0 });
  await sleep(longMs);
  t.deepEqual(run.listServers(), ['i-1']);
  t.deepEqual(run.healthRecords, []);
  run.budget.retries = 1;
  await run.waitForAttempts(2);
  t.deepEqual(run.cancelled, []);
});

test('a request that runs at most once is not sent to a second server when it is slow', async (t) => {
  const run = startRun({ route: { kind: 'non-idempotent' } });
  await sleep(longMs);
  t.deepEqual(run.listServers(), ['i-1']);
  run.fail(1, broken);
  t.deepEqual(run.outcomes, ['fail 502 reset']);
});

test('a slow attempt that breaks counts as one failure of its server', async (t) => {
  const run = startRun();
  await run.waitForAttempts(2);
  run.fail(1, broken);
  t.deepEqual(run.outcomes, []);
  run.respond(2);
  t.deepEqual(run.outcomes, ['200 from 2']);
  t.deepEqual(run.healthRecords, ['i-1 broken', 'i-2 answered']);
});

test('a slow request of which all attempts end is refused only if none can have run', async (t) => {
  for (const [first, second, expected] of [
    [full, full, 'refuse 503 full'],
    [full, broken, 'fail 502 reset'],
    [broken, full, 'fail 502 full'],
    [broken, notSent, 'fail 502 no backend server is ready'],
  ] as const) {
    const run = startRun();
    await run.waitForAttempts(2);
    run.fail(1, first);
    t.deepEqual(run.outcomes, []);
    run.fail(2, second);
    t.deepEqual(run.outcomes, [expected]);
    t.is(run.countAllocations(), 0);
  }
});

test('an error response is forwarded if no other attempt gets a better one', async (t) => {
  const endings: ((run: ReturnType<typeof startRun>) => void)[] = [
    (run) => run.fail(1, broken),
    (run) => run.fail(1, full),
    (run) => run.abandon(),
  ];
  for (const end of endings) {
    const run = startRun();
    await run.waitForAttempts(2);
    run.respond(2, 500);
    t.deepEqual(run.outcomes, []);
    end(run);
    t.deepEqual(run.outcomes, ['500 from 2']);
  }
});

test('both attempts are cancelled when the caller leaves and at the timeout', async (t) => {
  const left = startRun({ serverCount: 3, route: { maxAttempts: 3 } });
  await left.waitForAttempts(2);
  left.disconnect();
  const late = startRun({ serverCount: 3, route: { maxAttempts: 3 } });
  await late.waitForAttempts(2);
  late.abandon();
  await sleep(longMs);
  [left, late].forEach((run) => {
    t.deepEqual(run.cancelled, ['i-1', 'i-2']);
    t.is(run.listServers().length, 2);
    t.is(run.countAllocations(), 0);
  });
  t.deepEqual(left.outcomes, []);
  t.deepEqual(late.outcomes, ['fail 504 no answer before the timeout']);
});

// Guards against a server whose answers have no end that is chosen again by each attempt.
test('an oversized answer counts as faulty, one that breaks off or that is only large as broken', async (t) => {
  const oversized = startRun();
  oversized.fail(1, { ...broken, isMalformed: true });
  oversized.fail(2, broken);
  t.deepEqual(oversized.healthRecords, ['i-1 faulty-answer', 'i-2 broken']);
  const large = startRun();
  large.getObserver(1).data(Buffer.alloc(4 * 1_024 * 1_024));
  t.deepEqual(large.healthRecords, []);
  large.getObserver(1).data(Buffer.alloc(1));
  t.deepEqual(large.healthRecords, ['i-1 broken']);
});

test('after a crash the other attempt goes on, but no further server gets the request', async (t) => {
  for (const end of [broken, full, notSent]) {
    const run = startRun({ serverCount: 4, route: { maxAttempts: 4 }, isSuspect: true });
    await run.waitForAttempts(2);
    run.fail(1, broken);
    t.deepEqual(run.outcomes, []);
    await sleep(longMs);
    t.is(run.listServers().length, 2);
    run.fail(2, end);
    t.is(run.listServers().length, 2);
    t.true(run.outcomes[0]?.startsWith('fail 502'));
    t.is(run.outcomes.length, 1);
    t.is(run.budget.retries, end === notSent ? 9 : 9 - 1);
  }
  const answered = startRun({ serverCount: 4, route: { maxAttempts: 4 }, isSuspect: true });
  await answered.waitForAttempts(2);
  answered.fail(2, broken);
  answered.respond(1);
  t.deepEqual(answered.outcomes, ['200 from 1']);
  t.deepEqual(answered.watchRecords, ['i-2 break', 'i-1 event', 'i-1 end']);
});

test('a slow request that is blocked meanwhile stays at its server', async (t) => {
  const run = startRun({ retries: 0 });
  run.block();
  run.budget.retries = 1;
  await sleep(longMs);
  t.is(run.listServers().length, 1);
  t.is(run.budget.retries, 1);
  run.fail(1, full);
  t.deepEqual(run.outcomes, ['refuse 503 backend servers crash on this request']);
  t.is(run.budget.retries, 1);
});

test('no attempt is watched for crashes after it was cancelled', async (t) => {
  const answered = startRun();
  await answered.waitForAttempts(2);
  t.deepEqual([...answered.watched], ['i-1', 'i-2']);
  answered.respond(2);
  const left = startRun();
  await left.waitForAttempts(2);
  left.disconnect();
  [answered, left].forEach(({ watched }) => t.is(watched.size, 0));
  t.deepEqual(answered.watchRecords, ['i-2 event', 'i-2 end']);
  t.deepEqual(left.watchRecords, []);
});

/** A route whose answers usually come within 10 ms, long before three times its objective. */
const hedgedRun: RunOptions = {
  route: { targetLatencyMs: 10_000 },
  share: 0.2,
  usualMs: [10, 10],
};

test('an answer later than usual gets a second attempt; the first good one wins', async (t) => {
  for (const [winner, loser] of [
    [1, 'i-2'],
    [2, 'i-1'],
  ] as const) {
    const run = startRun(hedgedRun);
    await run.waitForAttempts(2);
    run.respond(winner);
    t.deepEqual(run.outcomes, [`200 from ${winner}`]);
    t.deepEqual(run.cancelled, [loser]);
    t.is(run.countAllocations(), 0);
    t.is(run.budget.retries, 9 - 1);
    // The first attempt was late, not broken.
    t.deepEqual(run.healthRecords, [`i-${winner} answered`]);
    const won = winner === 2 ? { won: 1 } : {};
    t.deepEqual(await run.countHedges(), { sent: 1, ...won, cancelled: 1 });
  }
});

test('an error of either attempt does not win over the one that is still running', async (t) => {
  const endings: ((run: ReturnType<typeof startRun>, n: number) => void)[] = [
    (run, n) => run.fail(n, broken),
    (run, n) => run.fail(n, full),
    (run, n) => run.respond(n, 500),
  ];
  for (const end of endings) {
    for (const [failing, other] of [
      [1, 2],
      [2, 1],
    ] as const) {
      const run = startRun(hedgedRun);
      await run.waitForAttempts(2);
      end(run, failing);
      t.deepEqual(run.outcomes, []);
      t.deepEqual(run.cancelled, []);
      run.respond(other);
      t.deepEqual(run.outcomes, [`200 from ${other}`]);
    }
  }
});

test('no second attempt without a share, a retry, an attempt left, or for a suspect or other kind', async (t) => {
  const cases: (readonly [RunOptions, Record<string, number>])[] = [
    [{ share: 0 }, {}],
    [{ share: 0.001 }, { 'withheld share': 1 }],
    [{ retries: 0 }, { 'withheld retry-budget': 1 }],
    [{ isSuspect: true }, { 'withheld suspect': 1 }],
    [{ serverCount: 1 }, { 'withheld no-server': 1 }],
    [{ usualMs: [10] }, { 'withheld not-sooner': 1 }],
    [{ route: { targetLatencyMs: 10_000, maxAttempts: 1 } }, { 'withheld no-attempt-left': 1 }],
    [{ route: { targetLatencyMs: 10_000, kind: 'non-idempotent' } }, {}],
  ];
  for (const [options, counts] of cases) {
    const run = startRun({ ...hedgedRun, ...options });
    await sleep(longMs);
    t.is(run.listServers().length, 1, JSON.stringify(options));
    t.deepEqual(await run.countHedges(), counts, JSON.stringify(options));
    run.respond(1);
    t.deepEqual(run.outcomes, ['200 from 1']);
  }
});

test('a second attempt that was not sent is given back to both budgets', async (t) => {
  const run = startRun({ ...hedgedRun, share: 0.005, unreachable: ['i-2'] });
  await run.waitForAttempts(2);
  t.is(run.budget.retries, 9);
  run.respond(1);
  t.deepEqual(run.outcomes, ['200 from 1']);
  const decision = run.placement.decideHedge('desk', new Set(['i-1']), {
    server: makeServer({ id: 'i-1' }),
    elapsedMs: 60,
    isSuspect: false,
  });
  t.is(decision.kind, 'send', 'the share has its only second attempt again');
});

test('a caller that leaves ends both attempts, and none is made afterwards', async (t) => {
  const hedged = startRun(hedgedRun);
  await hedged.waitForAttempts(2);
  hedged.disconnect();
  t.deepEqual(hedged.cancelled, ['i-1', 'i-2']);
  t.is(hedged.countAllocations(), 0);
  const early = startRun(hedgedRun);
  early.disconnect();
  await sleep(longMs);
  t.deepEqual(early.listServers(), ['i-1']);
  t.deepEqual([...hedged.outcomes, ...early.outcomes], []);
});

test('a share that is changed at run time applies to the next request', (t) => {
  const run = startRun(hedgedRun);
  run.placement.setShare(0);
  t.is(run.placement.getHedgeDelayMs('r'), undefined);
  run.placement.setShare(0.2);
  t.is(run.placement.getHedgeDelayMs('r'), 10);
  run.respond(1);
});

test('the attempt after three objectives is made with and without a share', async (t) => {
  for (const share of [0, 0.2]) {
    const run = startRun({ share });
    await run.waitForAttempts(2);
    t.deepEqual(run.healthRecords, ['i-1 broken']);
    t.deepEqual(await run.countHedges(), {});
    run.respond(2);
    t.deepEqual(run.outcomes, ['200 from 2']);
  }
});

test('by expected time, a request that all servers would answer too late is refused as not run', (t) => {
  const timed: RunOptions = { policy: 'expected-time', usualMs: [900, 900] };
  const late = startRun({ ...timed, timeoutMs: 500 });
  t.deepEqual(late.outcomes, ['refuse 503 no answer is expected in time']);
  t.deepEqual(late.listServers(), []);
  const sent = startRun({ ...timed, timeoutMs: 2_000 });
  t.is(sent.listServers().length, 1);
  const bySlots = startRun({ ...timed, policy: 'slots', timeoutMs: 500 });
  t.is(bySlots.listServers().length, 1);
});

test('by expected time, a server that rejected a request as full is skipped', (t) => {
  const run = startRun({ policy: 'expected-time', usualMs: [100, 100], serverCount: 3 });
  run.fail(1, full);
  t.deepEqual(run.listServers(), ['i-1', 'i-2']);
  const choice = run.placement.choose('desk', new Set(), 60_000);
  t.true(choice.kind === 'server' && choice.server.id !== 'i-1');
});
