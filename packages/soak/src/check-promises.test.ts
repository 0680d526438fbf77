import test from 'ava';
import { checkPromises } from './check-promises.js';
import type { CallRecord, RunRecord, SoakRecord } from './records.js';

const makeCall = (overrides: Partial<CallRecord>): CallRecord => ({
  id: 'a',
  vm: 'vm-1',
  kind: 'confirm',
  key: 'k1',
  startedAt: 10_000,
  endedAt: 10_050,
  status: 200,
  body: 'ok a',
  isComplete: true,
  takesUp: undefined,
  disconnectedAt: undefined,
  ...overrides,
});

const makeRun = (overrides: Partial<RunRecord>): RunRecord => ({
  id: 'a',
  server: 's1',
  isPrefill: false,
  workspace: 'forge',
  hasKey: false,
  arrivedAt: 10_010,
  endedAt: 10_040,
  ...overrides,
});

const makeRecord = (overrides: Partial<SoakRecord>): SoakRecord => ({
  calls: [makeCall({})],
  runs: [makeRun({})],
  rejections: [],
  changes: [],
  storeOutages: [],
  vmFaultSpans: new Map(),
  storeLinkSpans: new Map(),
  lateSpans: new Map(),
  unexpectedExits: [],
  memoryPeaks: [],
  readyProbes: [],
  callerLateSpans: [],
  serverFaultSpans: [],
  stops: [],
  crashingParts: [],
  crashingRequests: [],
  crashes: [],
  limitSpans: [],
  endedAt: 60_000,
  faultsEndedAt: 20_000,
  ...overrides,
});

const listViolatedPromises = (overrides: Partial<SoakRecord>): string[] =>
  checkPromises(makeRecord(overrides), 2).map(({ promise }) => promise);

const makeStreamCall = (body: string, overrides: Partial<CallRecord> = {}): CallRecord =>
  makeCall({ kind: 'stream', body, ...overrides });

const completeStream = 'id: 1\ndata: a e1\n\nid: 2\ndata: a e2\n\n';

test('a record without faults violates no guarantee', (t) => {
  t.deepEqual(listViolatedPromises({}), []);
  t.deepEqual(listViolatedPromises({ calls: [makeStreamCall(completeStream)] }), []);
});

test('a second run of a non-idempotent request is reported', (t) => {
  t.deepEqual(listViolatedPromises({ runs: [makeRun({}), makeRun({ server: 's2' })] }), [
    'runs-once',
  ]);
});

test('a refusal of a request that has run is reported', (t) => {
  t.deepEqual(listViolatedPromises({ calls: [makeCall({ status: 503 })] }), ['true-refusal']);
});

test('responses of other requests and streams with duplicate, missing or too few events are reported', (t) => {
  t.deepEqual(listViolatedPromises({ calls: [makeCall({ body: 'ok b' })] }), ['own-answer']);
  const bodies = [
    'id: 1\ndata: b e1\n\nid: 2\ndata: b e2\n\n',
    'id: 1\ndata: a e1\n\nid: 1\ndata: a e1\n\nid: 2\ndata: a e2\n\n',
    'id: 2\ndata: a e2\n\n',
    'id: 1\ndata: a e1\n\n',
  ];
  bodies.forEach((body) =>
    t.true(listViolatedPromises({ calls: [makeStreamCall(body)] }).includes('own-answer'), body),
  );
  const truncated = makeStreamCall('id: 1\ndata: a e1\n\nid: 2\nda', { isComplete: false });
  t.deepEqual(listViolatedPromises({ calls: [truncated] }), ['ends-with-answer']);
});

test('a forwarded key and a run for another workspace are reported', (t) => {
  t.deepEqual(listViolatedPromises({ runs: [makeRun({ hasKey: true })] }), ['workspace-only']);
  t.deepEqual(listViolatedPromises({ runs: [makeRun({ workspace: 'small' })] }), [
    'workspace-only',
  ]);
});

test('late use of a withdrawn key or of a draining server is reported', (t) => {
  const withdrawal = {
    kind: 'key-withdrawn' as const,
    key: 'k1',
    successor: 'k2',
    at: 6_000,
  };
  t.deepEqual(listViolatedPromises({ changes: [withdrawal] }), ['change-in-force']);
  t.deepEqual(listViolatedPromises({ changes: [{ ...withdrawal, at: 9_000 }] }), []);
  t.deepEqual(
    listViolatedPromises({ changes: [withdrawal], storeOutages: [{ from: 7_000, to: 8_000 }] }),
    [],
  );
  const drain = { kind: 'server-draining' as const, server: 's1', at: 6_000 };
  t.deepEqual(listViolatedPromises({ changes: [drain] }), ['change-in-force']);
  t.deepEqual(listViolatedPromises({ changes: [{ ...drain, server: 's2' }] }), []);
});

test('work for a disconnected caller is reported', (t) => {
  const calls = [
    makeStreamCall('', { disconnectedAt: 10_100, status: undefined, isComplete: false }),
  ];
  t.deepEqual(listViolatedPromises({ calls, runs: [makeRun({ endedAt: 12_000 })] }), [
    'ends-with-caller',
  ]);
  t.deepEqual(listViolatedPromises({ calls, runs: [makeRun({ endedAt: 10_300 })] }), []);
});

test('a request without a final response is reported, unless its VM had a fault', (t) => {
  const calls = [makeCall({ endedAt: undefined, status: undefined })];
  t.deepEqual(listViolatedPromises({ calls }), ['final-answer']);
  t.deepEqual(
    listViolatedPromises({
      calls,
      vmFaultSpans: new Map([['vm-1', [{ from: 9_000, to: 11_000 }]]]),
    }),
    [],
  );
});

test('a request that is cut by a graceful stop is reported', (t) => {
  const calls = [makeCall({ status: undefined, isComplete: false })];
  const stops = [{ vm: 'vm-1', from: 10_020, to: 12_000, exitCode: 0 }];
  const vmFaultSpans = new Map([['vm-1', [{ from: 10_020, to: 14_000 }]]]);
  t.deepEqual(listViolatedPromises({ calls, stops, vmFaultSpans }), ['graceful-stop']);
  t.deepEqual(
    listViolatedPromises({ calls, stops: [{ vm: 'vm-2', from: 0, to: 1, exitCode: 0 }] }),
    ['ends-with-answer'],
  );
});

// Guards against requests that a VM lost when it closed its listener and its idle connections.
test('a request that comes late in a stop is lost if it was passed on, or waited before its connection ended', (t) => {
  const stops = [{ vm: 'vm-1', from: 8_000, to: 12_000, exitCode: 0 }];
  const vmFaultSpans = new Map([['vm-1', [{ from: 8_000, to: 14_000 }]]]);
  const lateSpans = new Map([['vm-1', [{ from: 9_900, to: 10_500 }]]]);
  const listForCall = (overrides: Partial<CallRecord>, runs: readonly RunRecord[]): string[] => {
    const cut = { status: undefined, body: '', isComplete: false, ...overrides };
    return listViolatedPromises({ calls: [makeCall(cut)], runs, stops, vmFaultSpans, lateSpans });
  };
  t.deepEqual(listForCall({ endedAt: 10_500 }, []), ['graceful-stop']);
  t.deepEqual(listForCall({ endedAt: 10_050 }, [makeRun({})]), ['graceful-stop']);
  t.deepEqual(listForCall({ endedAt: 10_150 }, []), []);
  t.deepEqual(listForCall({ endedAt: 10_500, sentAt: 10_400 }, []), []);
  t.deepEqual(listForCall({ endedAt: 11_900 }, [makeRun({ endedAt: 11_900 })]), []);
  t.deepEqual(listForCall({ status: 503, isComplete: true, endedAt: 10_500 }, []), []);
  t.deepEqual(listForCall({ endedAt: 10_500, failure: 'ECONNRESET' }, []), ['graceful-stop']);
  t.deepEqual(listForCall({ endedAt: 10_500, failure: 'ECONNREFUSED' }, []), []);
});

test('a VM that a stop does not end in the regular way, or that ends without a signal, is reported', (t) => {
  const stop = { vm: 'vm-1', from: 20_000, to: 24_000, exitCode: null };
  t.deepEqual(listViolatedPromises({ stops: [stop] }), ['graceful-stop']);
  t.deepEqual(listViolatedPromises({ stops: [{ ...stop, exitCode: 1 }] }), ['graceful-stop']);
  t.deepEqual(listViolatedPromises({ stops: [{ ...stop, exitCode: 0 }] }), []);
  const lateSpans = new Map([['vm-1', [{ from: 23_800, to: 24_300 }]]]);
  t.deepEqual(listViolatedPromises({ stops: [stop], lateSpans }), []);
  t.deepEqual(
    listViolatedPromises({ unexpectedExits: [{ vm: 'vm-1', at: 20_000, how: 'SIGABRT' }] }),
    ['keeps-running'],
  );
});

test('a VM that is late or cut off from the store loses no request', (t) => {
  const spans = new Map([['vm-1', [{ from: 9_900, to: 10_500 }]]]);
  const calls = [makeCall({ status: undefined, body: '', isComplete: false, endedAt: 10_300 })];
  t.deepEqual(listViolatedPromises({ calls, lateSpans: spans }), ['ends-with-answer']);
  t.deepEqual(listViolatedPromises({ calls, storeLinkSpans: spans }), ['ends-with-answer']);
});

const closedCall = makeCall({ status: undefined, body: '', isComplete: false, endedAt: 10_300 });

test('a call without an answer is reported, beside planned changes and store outages, too', (t) => {
  const truncatedStream = makeStreamCall('id: 1\ndata: a e1\n\n', {
    isComplete: false,
    endedAt: 14_000,
  });
  const calls = [
    closedCall,
    truncatedStream,
    makeCall({ status: 502, body: '', endedAt: 10_300 }),
    makeCall({ status: 504, body: '', endedAt: 10_300 }),
    makeCall({ status: 404, body: '' }),
    makeCall({ status: 503, body: '', isComplete: false }),
  ];
  const changes = [
    { kind: 'key-withdrawn' as const, key: 'k1', successor: 'k2', at: 9_900 },
    { kind: 'server-draining' as const, server: 's1', at: 9_900 },
  ];
  const storeOutages = [{ from: 9_000, to: 11_000 }];
  calls.forEach((call) => {
    const detail = JSON.stringify(call);
    t.deepEqual(listViolatedPromises({ calls: [call], runs: [] }), ['ends-with-answer'], detail);
    t.deepEqual(
      listViolatedPromises({ calls: [call], runs: [], changes, storeOutages }),
      ['ends-with-answer'],
      detail,
    );
  });
});

test('a call that ends with a response, a refusal or its timeout, or whose caller left, has its answer', (t) => {
  const calls = [
    makeCall({}),
    makeCall({ status: 429, body: '' }),
    makeCall({ status: 503, body: '' }),
    makeCall({ status: 504, body: '', endedAt: 11_000 }),
    makeCall({ ...closedCall, endedAt: 10_950 }),
    makeCall({ ...closedCall, disconnectedAt: 10_200 }),
  ];
  t.deepEqual(listViolatedPromises({ calls, runs: [] }), []);
});

test('a rejected key is an answer if it was withdrawn or has just been added', (t) => {
  const listForKey = (key: string, at: number): string[] =>
    listViolatedPromises({
      calls: [makeCall({ key, status: 401, body: '' })],
      runs: [],
      changes: [{ kind: 'key-withdrawn', key: 'k1', successor: 'k2', at }],
    });
  t.deepEqual(listForKey('k1', 6_000), []);
  t.deepEqual(listForKey('k2', 9_500), []);
  t.deepEqual(listForKey('k2', 6_000), ['ends-with-answer']);
  t.deepEqual(listForKey('k3', 9_500), ['ends-with-answer']);
});

test('faults of its VM and of the servers of its service excuse a call without an answer, others do not', (t) => {
  const listWith = (overrides: Partial<SoakRecord>): string[] =>
    listViolatedPromises({ calls: [closedCall], runs: [], ...overrides });
  const during = { from: 10_100, to: 10_200 };
  const before = { from: 9_000, to: 9_900 };
  t.deepEqual(listWith({ vmFaultSpans: new Map([['vm-1', [during]]]) }), []);
  t.deepEqual(listWith({ serverFaultSpans: [{ ...during, service: 'desk' }] }), []);
  const reported = ['ends-with-answer'];
  t.deepEqual(listWith({ vmFaultSpans: new Map([['vm-2', [during]]]) }), reported);
  t.deepEqual(listWith({ vmFaultSpans: new Map([['vm-1', [before]]]) }), reported);
  t.deepEqual(listWith({ serverFaultSpans: [{ ...during, service: 'llm' }] }), reported);
  t.deepEqual(listWith({ serverFaultSpans: [{ ...before, service: 'desk' }] }), reported);
});

test('a part of prompts that crashes more than five engines is reported', (t) => {
  const makeRuns = (count: number): RunRecord[] =>
    Array.from({ length: count }, (_, n) => makeRun({ id: `1bad-${n}`, server: `d${n}` }));
  const crashingParts = ['1bad', '2bad'];
  const prefills = makeRuns(20).map((run) => ({ ...run, isPrefill: true }));
  const others = makeRuns(5).map((run) => ({ ...run, id: run.id.replace('1bad', '2bad') }));
  const runs = [...prefills, ...others, ...makeRuns(5)];
  t.deepEqual(listViolatedPromises({ runs, crashingParts }), []);
  // Two requests that crash the same instance crash it once.
  t.deepEqual(listViolatedPromises({ runs: [...runs, ...makeRuns(1)], crashingParts }), []);
  t.deepEqual(listViolatedPromises({ runs: makeRuns(6), crashingParts }), ['bounded-crashes']);
});

const crashingCalls = Array.from({ length: 12 }, (_, n) =>
  makeCall({ id: `crash1-${n}`, kind: 'read', status: 502, body: '', vm: `vm-${(n % 2) + 1}` }),
);

/** Three crashes, the third at 12 s, then one arrival every 100 ms after `from`, as often as stated. */
const makeCrashingRecord = (count: number, from: number): Partial<SoakRecord> => {
  const times = [
    11_000,
    11_500,
    11_950,
    ...Array.from({ length: count }, (_, n) => from + n * 100),
  ];
  const runs = times.map((arrivedAt, n) =>
    makeRun({ id: `crash1-${n}`, server: `s${n}`, arrivedAt, endedAt: arrivedAt + 50 }),
  );
  return {
    calls: crashingCalls,
    runs,
    crashingRequests: ['crash1'],
    crashes: runs.map(({ server, arrivedAt }) => ({ server, at: arrivedAt + 50 })),
    // Servers that crash excuse answers, not arrivals.
    serverFaultSpans: [{ from: 0, to: 60_000, service: 'desk' }],
  };
};

test('a request that crashes servers and reaches more than three later than 3 s after its third crash is reported', (t) => {
  const reported = ['bounded-crashes'];
  t.deepEqual(listViolatedPromises(makeCrashingRecord(4, 15_010)), reported);
  t.deepEqual(listViolatedPromises(makeCrashingRecord(3, 15_010)), []);
  // One of the four arrives within the 3 s.
  t.deepEqual(listViolatedPromises(makeCrashingRecord(4, 14_990)), []);
  t.deepEqual(listViolatedPromises(makeCrashingRecord(9, 14_000)), []);

  const { runs = [], crashes = [], ...others } = makeCrashingRecord(4, 15_010);
  // The second crash has another cause.
  const crashesOfOthers = crashes.map((crash, n) => (n === 0 ? { ...crash, server: 'd1' } : crash));
  t.deepEqual(listViolatedPromises({ runs, crashes: crashesOfOthers, ...others }), []);
  // A server that survives has not crashed, but was reached.
  t.deepEqual(listViolatedPromises({ runs, crashes: crashes.slice(0, 3), ...others }), reported);
});

test('a prefill of a request that crashes servers counts as an arrival, not as a run under which one crashes', (t) => {
  const { runs = [], ...others } = makeCrashingRecord(4, 15_010);
  const withPrefills = (from: number, to: number): RunRecord[] =>
    runs.map((run, n) => ({ ...run, isPrefill: n >= from && n < to }));
  t.deepEqual(listViolatedPromises({ ...others, runs: withPrefills(3, 7) }), ['bounded-crashes']);
  t.deepEqual(listViolatedPromises({ ...others, runs: withPrefills(0, 2) }), []);
});

test('a full server that rejects a request that crashes servers was reached', (t) => {
  const { runs = [], ...others } = makeCrashingRecord(4, 15_010);
  const rejections = runs.slice(3).map(({ id, server, arrivedAt }) => ({ id, server, arrivedAt }));
  const listWith = (count: number): string[] =>
    listViolatedPromises({
      ...others,
      runs: runs.slice(0, 3),
      rejections: rejections.slice(0, count),
    });
  t.deepEqual(listWith(4), ['bounded-crashes']);
  t.deepEqual(listWith(3), []);
});

test('arrivals of a request that crashes servers through a VM with a recent fault are not counted', (t) => {
  const listWith = (overrides: Partial<SoakRecord>): string[] =>
    listViolatedPromises({ ...makeCrashingRecord(6, 15_010), ...overrides });
  const addFault = (from: number, to: number): Partial<SoakRecord> => ({
    vmFaultSpans: new Map([['vm-1', [{ from, to }]]]),
  });
  // Three of the six arrive through vm-1.
  t.deepEqual(listWith(addFault(12_500, 12_700)), []);
  t.deepEqual(listWith(addFault(15_000, Number.POSITIVE_INFINITY)), []);
  t.deepEqual(listWith(addFault(11_000, 12_000)), ['bounded-crashes']);
  t.deepEqual(listWith({ storeOutages: [{ from: 10_000, to: 16_000 }] }), ['bounded-crashes']);
});

test('a fleet that does not recover is reported', (t) => {
  const calls = Array.from({ length: 20 }, (_, n) =>
    makeCall({ id: `c${n}`, status: 503, startedAt: 40_000, endedAt: 40_010 }),
  );
  t.deepEqual(listViolatedPromises({ calls, runs: [] }), ['recovers']);
});

test('more requests than the limit of a server allows in a window are reported', (t) => {
  const calls = Array.from({ length: 20 }, (_, n) => makeCall({ id: `c${n}`, body: `ok c${n}` }));
  const runs = calls.map(({ id }, n) => makeRun({ id, arrivedAt: 10_010 + n * 100 }));
  const limitSpan = {
    service: 'desk' as const,
    server: 's1',
    requestsPerS: 2,
    from: 5_000,
    to: 15_000,
  };
  const check = (overrides: Partial<SoakRecord>): string[] =>
    listViolatedPromises({ calls, runs, limitSpans: [limitSpan], ...overrides });
  t.deepEqual(check({}), ['keeps-limit']);
  t.deepEqual(check({ runs: runs.slice(0, 17) }), []);
  t.deepEqual(check({ limitSpans: [{ ...limitSpan, server: 's2' }] }), []);
  t.deepEqual(check({ limitSpans: [{ ...limitSpan, from: 9_000 }] }), []);
  t.deepEqual(check({ vmFaultSpans: new Map([['vm-1', [{ from: 9_000, to: 9_500 }]]]) }), []);
});

test('a stream with events of two versions is reported, also over the calls that take it up', (t) => {
  const first = 'id: 1\ndata: a v1 e1\n\n';
  const rest = (version: string) => `id: 2\ndata: b ${version} e2\n\n`;
  const check = (version: string): string[] =>
    listViolatedPromises({
      calls: [
        makeStreamCall(first, { isComplete: false }),
        makeStreamCall(rest(version), { id: 'b', takesUp: { call: 'a', after: 1 } }),
      ],
      serverFaultSpans: [{ from: 0, to: 60_000, service: 'llm' }],
    });
  t.deepEqual(check('v1'), []);
  t.deepEqual(check('v2'), ['one-version']);
  const moved = 'id: 1\ndata: a v1 e1\n\nid: 2\ndata: a v2 e2\n\n';
  t.deepEqual(listViolatedPromises({ calls: [makeStreamCall(moved)] }), ['one-version']);
});

// Guards against a soak that passes although answers without an end take the memory of a VM.
test('keeps-memory: a VM holds more than its machine has', (t) => {
  const listWith = (bytes: number): string[] =>
    listViolatedPromises({ memoryPeaks: [{ vm: 'vm-1', at: 20_000, bytes }] });
  t.deepEqual(listWith(178_000_001), ['keeps-memory']);
  t.deepEqual(listWith(178_000_000), []);
});

// Guards against a soak that passes although a VM stands still.
test('stays-ready: a VM that runs answers the load balancer too late, or never', (t) => {
  const listWith = (ms: number | undefined, overrides: Partial<SoakRecord> = {}): string[] =>
    listViolatedPromises({ readyProbes: [{ vm: 'vm-1', at: 20_000, ms }], ...overrides });
  t.deepEqual(listWith(1_001), ['stays-ready']);
  t.deepEqual(listWith(undefined), ['stays-ready']);
  t.deepEqual(listWith(1_000), []);
  const span = { from: 20_500, to: 20_600 };
  t.deepEqual(listWith(1_001, { vmFaultSpans: new Map([['vm-1', [span]]]) }), []);
  t.deepEqual(listWith(1_001, { lateSpans: new Map([['vm-1', [span]]]) }), []);
  t.deepEqual(listWith(1_001, { lateSpans: new Map([['vm-2', [span]]]) }), ['stays-ready']);
  t.deepEqual(listWith(1_001, { callerLateSpans: [span] }), []);
  t.deepEqual(listWith(1_201, { callerLateSpans: [span] }), ['stays-ready']);
});

// Guards against a soak that takes an answer without an end for any excuse.
test('only a call that ran at a server without an end may be broken off, and never looks complete', (t) => {
  const listWith = (
    call: Partial<CallRecord>,
    run: Partial<RunRecord>,
    overrides: Partial<SoakRecord> = {},
  ): string[] =>
    listViolatedPromises({
      calls: [makeCall(call)],
      runs: [makeRun({ endlessForm: 'one chunk', ...run })],
      ...overrides,
    });
  t.deepEqual(listWith({ isComplete: false }, {}), []);
  t.deepEqual(listWith({ status: 502 }, {}), []);
  t.deepEqual(listWith({ isComplete: false }, { isPrefill: true }), ['ends-with-answer']);
  t.deepEqual(listWith({ status: undefined, isComplete: false }, {}), ['ends-with-answer']);
  t.deepEqual(listWith({ status: 503 }, {}), ['true-refusal']);
  const stops = [{ vm: 'vm-1', from: 9_900, to: 12_000, exitCode: 0 }];
  t.deepEqual(listWith({ isComplete: false }, {}, { stops }), []);
  t.true(listWith({ isComplete: false }, { isPrefill: true }, { stops }).includes('graceful-stop'));
  t.deepEqual(listWith({ body: 'xxxx' }, {}), ['own-answer']);
  const stream = { kind: 'stream', body: 'id: 7\ndata: e\n\n' } as const;
  t.deepEqual(listWith({ ...stream, isComplete: false }, {}), []);
  t.deepEqual(listWith({ ...stream, isComplete: true }, {}), ['own-answer']);
});
