import test from 'ava';
import type { BackendServer } from '@hemlocksill/types/routing.js';
import type { BackendClient } from '@hemlocksill/types/routing-ports.js';
import { makeCrashWatch, type RunWatch } from './crash-watch.js';
import { makeRouterMetrics } from './router-metrics.js';
import { sleep } from './sleep.js';

/** Longer than the time after which an engine has survived a prompt. */
const waitForSurvivalMs = 1_100;

/** Longer than the silence after which a server is checked. */
const waitForSilenceMs = 1_700;

/** Interval of the events of a stream. */
const eventGapMs = 100;

/** Longer than the time within which engines that end count once. */
const betweenCrashesMs = 60;

const parts = ['shared', 'bad'];

const makeServer = (id: string): BackendServer => ({
  id,
  startedAt: 17,
  softwareVersion: 'v1',
  service: 'llm',
  host: '10.0.0.9',
  port: 80,
  dataCentre: 'north-a',
  state: 'ready',
  slots: 48,
  stage: 'decode',
});

const answerUnknown: BackendClient['checkInstance'] = (_, onDone) => onDone({ kind: 'unknown' });

/** Records the events of a stream that goes on for longer than a second. */
const recordEvents = async (run: RunWatch): Promise<void> => {
  for (let elapsedMs = 0; elapsedMs < waitForSurvivalMs; elapsedMs += eventGapMs) {
    run.recordEvent();
    await sleep(eventGapMs);
  }
};

const makeWatch = (checkInstance: BackendClient['checkInstance'] = answerUnknown) => {
  const events: [number, unknown][] = [];
  let notified = 0;
  const watch = makeCrashWatch({
    log: (id, fields) => events.push([id, fields]),
    metrics: makeRouterMetrics(),
    notifyPeers: () => {
      notified += 1;
    },
    now: () => performance.now(),
    random: () => 0,
    checkInstance,
  });
  return { watch, events, getNotified: () => notified };
};

test('only the first stream that breaks on a part is sent on, and the third crash blocks it', async (t) => {
  const { watch, events, getNotified } = makeWatch();
  const mustNotResend: boolean[] = [];
  for (const id of ['e1', 'e2', 'e3']) {
    watch.recordArrival(parts);
    mustNotResend.push(watch.watchRun(parts, makeServer(id)).recordBreak());
    await sleep(betweenCrashesMs);
  }
  t.deepEqual(mustNotResend, [false, true, true]);
  t.is(getNotified(), 3);
  t.is(watch.findBlocked(parts, 'r1'), 'bad');
  t.deepEqual(events, [
    [2310, { part: 'bad', incidents: 3, instances: ['e1@17', 'e2@17', 'e3@17'] }],
  ]);
});

test('a stream that breaks a second after its first event says nothing about its prompt', async (t) => {
  const { watch, getNotified } = makeWatch();
  const run = watch.watchRun(parts, makeServer('e1'));
  await recordEvents(run);
  t.false(run.recordBreak());
  t.deepEqual(watch.listForPeers(), []);
  t.is(getNotified(), 0);
});

test('a stream that is silent from its first event until it breaks does not clear its prompt', async (t) => {
  const { watch, getNotified } = makeWatch();
  watch.watchRun(parts, makeServer('e1')).recordBreak();
  const run = watch.watchRun(parts, makeServer('e2'));
  run.recordEvent();
  await sleep(waitForSurvivalMs);
  t.true(run.recordBreak());
  t.deepEqual(
    watch.listForPeers().map(([part, incidents, , state]) => [part, incidents.length, state]),
    [
      ['shared', 2, 'suspect'],
      ['bad', 2, 'suspect'],
    ],
  );
  t.is(getNotified(), 2);
});

test('events that a late VM reads together with the break do not clear the prompt', async (t) => {
  const { watch } = makeWatch();
  const run = watch.watchRun(parts, makeServer('e1'));
  run.recordEvent();
  await sleep(waitForSurvivalMs);
  run.recordEvent();
  t.false(run.recordBreak());
  await sleep(betweenCrashesMs);
  t.deepEqual(
    watch.listForPeers().map(([, , , state]) => state),
    ['suspect', 'suspect'],
  );
});

test('a whole answer clears its prompt, one without an event or a cancelled one does not', async (t) => {
  const { watch } = makeWatch();
  watch.watchRun(parts, makeServer('e1')).recordBreak();
  watch.watchRun(parts, makeServer('e2')).recordEnd();
  const cancelled = watch.watchRun(parts, makeServer('e2'));
  cancelled.recordEvent();
  cancelled.stop();
  await sleep(waitForSurvivalMs);
  t.is(watch.listForPeers().filter(([, , , state]) => state === 'suspect').length, 2);
  const whole = watch.watchRun(parts, makeServer('e2'));
  whole.recordEvent();
  whole.stop();
  whole.recordEnd();
  t.deepEqual(
    watch.listForPeers().map(([part, , , state]) => [part, state]),
    [
      ['shared', 'survived'],
      ['bad', 'survived'],
    ],
  );
});

test('a stream without shared parts is never held for a crash', (t) => {
  const { watch, getNotified } = makeWatch();
  t.false(watch.watchRun([], makeServer('e1')).recordBreak());
  t.false(watch.watchRun([], makeServer('e2')).recordBreak());
  t.is(watch.findBlocked([], 'r1'), undefined);
  t.is(getNotified(), 0);
});

/** Breaks streams with the same parts at one listed instance, longer apart than it takes to check it. */
const breakThrice = async (checkInstance: BackendClient['checkInstance']) => {
  const made = makeWatch(checkInstance);
  for (let n = 0; n < 3; n += 1) {
    const [first, second] = [1, 2].map(() => made.watch.watchRun(parts, makeServer('e1')));
    first?.recordBreak();
    await sleep(betweenCrashesMs);
    // A stream that was broken by the same crash is heard of later.
    second?.recordBreak();
    await sleep(waitForSurvivalMs);
  }
  return made;
};

test('a server that crashes again before its entry changes is counted each time', async (t) => {
  const { watch, events } = await breakThrice((_, onDone) => onDone({ kind: 'ended' }));
  t.deepEqual(
    watch.listForPeers().map(([part, incidents]) => [part, incidents.length]),
    [
      ['shared', 3],
      ['bad', 3],
    ],
  );
  t.is(events.filter(([id]) => id === 2324).length, 3);
});

test('a server that breaks streams and is still the listed instance is counted once', async (t) => {
  const { watch } = await breakThrice((_, onDone) => onDone({ kind: 'running', startedAt: 17 }));
  t.deepEqual(
    watch.listForPeers().map(([, incidents]) => incidents.length),
    [1, 1],
  );
});

test('a server that has ended is counted although the connection stays open in silence', async (t) => {
  const { watch } = makeWatch((_, onDone) => onDone({ kind: 'ended' }));
  const run = watch.watchRun(parts, makeServer('e1'));
  run.recordEvent();
  await sleep(waitForSilenceMs);
  run.stop();
  t.deepEqual(
    watch.listForPeers().map(([part, incidents]) => [part, incidents.length]),
    [
      ['shared', 1],
      ['bad', 1],
    ],
  );
});
