import test from 'ava';
import { makeServer } from '@hemlocksill/routing/fixtures.js';
import { makeHandOver, type HandOverSteps } from './hand-over.js';
import type { PreparedEngine } from './prepare-engine.js';
import { sleep } from './sleep.js';

const idleTimeoutMs = 10;
const afterSilenceMs = 100;

const prepared: PreparedEngine = {
  server: makeServer({ id: 'd2', stage: 'decode' }),
  prefilled: undefined,
  reservation: undefined,
  allocation: { grow: () => {}, release: () => {} },
};

/** Starts the hand-over of a silent run, and records what it does. */
const startHandOver = (prepare: HandOverSteps['prepare']) => {
  const steps: string[] = [];
  const handOver = makeHandOver({
    canMove: () => true,
    getIdleTimeoutMs: () => idleTimeoutMs,
    onSilent: () => steps.push('silent'),
    prepare,
    run: ({ server }, { leave }) => {
      steps.push(`run at ${server.id}`);
      return { cancel: () => steps.push('cancel run'), takeOver: leave };
    },
    leave: ({ id }, reason) => steps.push(`leave for ${id}: ${reason}`),
    stay: () => steps.push('stay'),
  });
  handOver.restart();
  return { handOver, steps };
};

const preparations: Readonly<Record<string, HandOverSteps['prepare']>> = {
  'at once': (onDone) => {
    onDone(prepared);
    return () => {};
  },
  later: (onDone) => {
    setImmediate(onDone, prepared);
    return () => {};
  },
};

Object.entries(preparations).forEach(([when, prepare]) => {
  test(`an event cancels the run at an engine that was prepared ${when}`, async (t) => {
    const { handOver, steps } = startHandOver(prepare);
    await sleep(afterSilenceMs);
    handOver.restart();
    handOver.stop();
    t.deepEqual(steps, ['silent', 'run at d2', 'cancel run']);
    t.false(handOver.tryComplete('reset'));
  });

  test(`the run at an engine that was prepared ${when} takes the stream over once`, async (t) => {
    const { handOver, steps } = startHandOver(prepare);
    await sleep(afterSilenceMs);
    t.true(handOver.tryComplete('reset'));
    t.false(handOver.tryComplete('reset'));
    handOver.stop();
    t.deepEqual(steps, ['silent', 'run at d2', 'leave for d2: reset']);
  });
});
