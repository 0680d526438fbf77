import test from 'ava';
import type { CallFault, PrefillOutcome } from '@hemlocksill/types/routing-ports.js';
import { makeServer } from '@hemlocksill/routing/fixtures.js';
import { prepareEngine, type PreparedEngine } from './prepare-engine.js';
import { makeRouterMetrics } from './router-metrics.js';
import type { ReservationOutcome, StreamEngines } from './stream-engines.js';

const decode = makeServer({ id: 'd1', stage: 'decode' });
const prefill = makeServer({ id: 'p1', stage: 'prefill' });
const fault: CallFault = { kind: 'unknown', reason: 'reset' };

/** Starts a preparation whose calls to engines are answered by the test. */
const startPreparation = ({ hasPlacement = true, hasRetry = true } = {}) => {
  const excluded = new Set<string>();
  const leaving = new Set<string>();
  const steps: string[] = [];
  const results: (PreparedEngine | undefined)[] = [];
  let onReserved: (outcome: ReservationOutcome) => void = () => {};
  let onRead: (outcome: PrefillOutcome) => void = () => {};
  const engines: StreamEngines = {
    requirement: { promptTokens: 3_000, maxTokens: 3_100 },
    listFitting: () => [decode, prefill],
    getBegunVersion: () => undefined,
    fits: () => true,
    recordBegin: () => {},
    confirmsInstance: true,
    choosePrefill: () => ({ server: prefill, expectedMs: 90 }),
    choosePlacement: () => (hasPlacement ? { decode, prefill, prefillMs: 90 } : undefined),
    allocateMemory: () => ({
      grow: () => {},
      release: () => steps.push('free memory'),
    }),
    reserve: (_, onDone) => {
      steps.push('reserve');
      onReserved = onDone;
    },
    readPrompt: (_, onDone) => {
      steps.push('read');
      onRead = onDone;
      return () => steps.push('cancel read');
    },
    getFaultyUntil: () => 0,
    isStillReady: ({ id }) => !leaving.has(id),
    recordFault: (server) => steps.push(`fault of ${server.id}`),
  };
  const cancel = prepareEngine(
    {
      metrics: makeRouterMetrics(),
      tryTakeRetry: () => hasRetry,
      returnRetry: () => steps.push('return retry'),
      recordFailingPrefill: (server) => steps.push(`${server.id} fails`),
      backends: {
        releaseReservation: (_, reservation) => steps.push(`release ${reservation}`),
        releasePrefill: ({ handle }) => steps.push(`release ${handle}`),
      },
    },
    engines,
    'llm',
    excluded,
    (prepared) => results.push(prepared),
  );
  return {
    steps,
    results,
    excluded,
    cancel,
    leave: (server: string) => leaving.add(server),
    reserved: (outcome: ReservationOutcome) => onReserved(outcome),
    read: (outcome: PrefillOutcome) => onRead(outcome),
  };
};

const reservedOutcome: ReservationOutcome = { kind: 'reserved', reservation: 'hold-1' };
const readOutcome: PrefillOutcome = { kind: 'done', result: { server: prefill, handle: 'h-1' } };

test('an engine is prepared once its memory is reserved and the prompt is read', (t) => {
  const preparation = startPreparation();
  preparation.reserved(reservedOutcome);
  t.deepEqual(preparation.results, []);
  preparation.read(readOutcome);
  t.is(preparation.results[0]?.server.id, 'd1');
  t.is(preparation.results[0]?.reservation, 'hold-1');
  t.is(preparation.results[0]?.prefilled?.handle, 'h-1');
  preparation.cancel();
  t.deepEqual(preparation.steps, ['reserve', 'read']);
});

test('nothing is asked of an engine without a placement or without a retry', (t) => {
  [{ hasPlacement: false }, { hasRetry: false }].forEach((options) => {
    const preparation = startPreparation(options);
    t.deepEqual(preparation.results, [undefined]);
    t.deepEqual(preparation.steps, []);
  });
});

test('what a failed preparation holds is released', (t) => {
  const full = startPreparation();
  full.reserved({ kind: 'full' });
  t.deepEqual(full.steps, ['reserve', 'free memory', 'return retry']);
  const unread = startPreparation();
  unread.reserved(reservedOutcome);
  unread.read({ kind: 'fault', fault });
  t.deepEqual(unread.steps, ['reserve', 'read', 'fault of p1', 'free memory', 'release hold-1']);
  const leaving = startPreparation();
  leaving.reserved(reservedOutcome);
  leaving.leave('d1');
  leaving.read(readOutcome);
  t.deepEqual(leaving.steps, ['reserve', 'read', 'release h-1', 'free memory', 'release hold-1']);
  t.deepEqual(
    [full, unread, leaving].map(({ results }) => results),
    [[undefined], [undefined], [undefined]],
  );
});

test('a cancelled preparation releases a reservation that arrives later, and reports nothing', (t) => {
  const reserving = startPreparation();
  reserving.cancel();
  reserving.reserved(reservedOutcome);
  t.deepEqual(reserving.steps, [
    'reserve',
    'free memory',
    'return retry',
    'free memory',
    'release hold-1',
  ]);
  const reading = startPreparation();
  reading.reserved(reservedOutcome);
  reading.cancel();
  t.deepEqual(reading.steps, ['reserve', 'read', 'cancel read', 'free memory', 'release hold-1']);
  t.deepEqual([...reserving.results, ...reading.results], []);
});

test('nothing is sent to an engine that began to drain during the reservation', (t) => {
  ['d1', 'p1'].forEach((server) => {
    const preparation = startPreparation();
    preparation.leave(server);
    preparation.reserved(reservedOutcome);
    t.deepEqual(preparation.steps, ['reserve', 'free memory', 'release hold-1', 'return retry']);
    t.deepEqual(preparation.results, [undefined]);
  });
});

test('a prefill engine that rejects the prompt is not tried again for the stream', (t) => {
  const preparation = startPreparation();
  preparation.reserved(reservedOutcome);
  preparation.read({ kind: 'fault', fault: { kind: 'rejected', reason: 'full' } });
  t.true(preparation.steps.includes('p1 fails'));
  t.true(preparation.excluded.has('p1'));
  t.false(preparation.steps.includes('return retry'));
});
