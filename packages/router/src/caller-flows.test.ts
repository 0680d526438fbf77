import test from 'ava';
import { makeCallerFlows } from './caller-flows.js';
import { makeRouterMetrics } from './router-metrics.js';

const makeFlows = (allCallersBytes: number) =>
  makeCallerFlows(
    { callerBytes: 1_000, allCallersBytes, stallMs: 15_000 },
    { log: () => {}, metrics: makeRouterMetrics(), now: () => performance.now() },
  );

// Guards against an answer without an end that makes a sound one wait until its deadline.
test('a response that waits for room is read on once the largest has given way', async (t) => {
  const flows = makeFlows(300);
  const gone: string[] = [];
  const endless = flows.openGathered(() => gone.push('endless'));
  const sound = flows.openGathered(() => gone.push('sound'));
  endless.recordHeld(160);
  sound.recordHeld(150);
  t.deepEqual([endless.isFull(), sound.isFull()], [false, true]);
  // The timers of the flows don't keep the process.
  const keepAlive = setInterval(() => {}, 1_000);
  await new Promise<void>((resolve) => {
    sound.onRoom(resolve);
  });
  clearInterval(keepAlive);
  t.deepEqual(gone, ['endless']);
  t.false(sound.isFull());
});

// Guards against answers that are never read again after the process was short of memory.
test('responses that are held are read on after the release', async (t) => {
  const flows = makeFlows(300);
  const [large, small] = [flows.openGathered(() => {}), flows.openGathered(() => {})];
  large.recordHeld(150);
  small.recordHeld(149);
  flows.holdGathered();
  t.deepEqual([large.isFull(), small.isFull()], [true, false]);
  const resumed = new Promise<void>((resolve) => {
    large.onRoom(resolve);
  });
  flows.releaseGathered();
  await resumed;
  t.false(large.isFull());
});

// Guards against a response that is never read on, since the HTTP client can't resume it while it handles another.
test('a response that waits is read on after the turn in which another one has ended', async (t) => {
  const flows = makeFlows(300);
  const [ending, waiting] = [flows.openGathered(() => {}), flows.openGathered(() => {})];
  ending.recordHeld(160);
  waiting.recordHeld(150);
  let isClosing = false;
  const wasClosing = new Promise<boolean>((resolve) => {
    waiting.onRoom(() => resolve(isClosing));
  });
  isClosing = true;
  ending.close();
  isClosing = false;
  t.false(await wasClosing);
});
