import test from 'ava';
import { makeEngineLedger } from './engine-ledger.js';
import { makeEngineRates } from './engine-rates.js';
import { engineLimits, makeServer } from './fixtures.js';
import {
  chooseDecode,
  choosePrefill,
  getHeadroomTokens,
  type PlacementView,
} from './place-work.js';
import { choosePlainServer } from './place-plain.js';
import { makeServerHealth } from './server-health.js';
import { makeStreamTiming } from './stream-timing.js';
import { makeStreamQueue, type WaitingStream } from './stream-queue.js';

const rates = makeEngineRates();

const makeView = (): PlacementView => ({
  ledger: makeEngineLedger(rates),
  health: makeServerHealth(),
  hasRoom: () => true,
  rates,
  dataCentre: 'north-a',
  now: 0,
});

const makeEngine = (id: string, stage: 'prefill' | 'decode', dataCentre = 'north-a') =>
  makeServer({ id, service: 'llm', stage, dataCentre });

const makeRequirement = (promptTokens: number) => ({
  promptTokens,
  maxTokens: promptTokens + 3_060,
});
const noExclusions = new Set<string>();

test('the decode engine is chosen by free memory, not by free slots', (t) => {
  const view = makeView();
  view.ledger.addDecode('few-large', 8_000);
  view.ledger.addDecode('many-small', 500);
  view.ledger.addDecode('many-small', 500);
  const engines = [makeEngine('few-large', 'decode'), makeEngine('many-small', 'decode')];
  t.is(
    chooseDecode(engines, makeRequirement(3_000), engineLimits, view, noExclusions)?.id,
    'many-small',
  );
});

test('no engine is chosen without memory for the prompt and the growth of its streams', (t) => {
  const view = makeView();
  const engines = [makeEngine('a', 'decode')];
  const availableTokens = engineLimits.memoryTokens - getHeadroomTokens(2, rates);
  view.ledger.addDecode('a', 4_000);
  t.is(
    chooseDecode(
      engines,
      makeRequirement(availableTokens - 4_000),
      engineLimits,
      view,
      noExclusions,
    )?.id,
    'a',
  );
  t.is(
    chooseDecode(
      engines,
      makeRequirement(availableTokens - 3_999),
      engineLimits,
      view,
      noExclusions,
    ),
    undefined,
  );
});

// Guards against an engine whose answers have no end that gets all streams that find no memory elsewhere.
test('an engine on trial gets one stream at a time, unless all engines are on trial', (t) => {
  const view = { ...makeView(), now: 1_000 };
  const engines = [makeEngine('a', 'decode'), makeEngine('b', 'decode')];
  const choose = () =>
    chooseDecode(engines, makeRequirement(3_000), engineLimits, view, noExclusions)?.id;
  const putOnTrial = (id: string): void =>
    [0, 0].forEach((now) => view.health.record(id, 'faulty-answer', now));
  putOnTrial('a');
  view.ledger.addDecode('b', 1_000);
  view.ledger.recordPeerLoad('p', { a: [0, 1, 0] }, 1_000);
  const full = view.ledger.addDecode('b', engineLimits.memoryTokens);
  t.is(choose(), 'a');
  view.ledger.addDecode('a', 0);
  t.is(choose(), undefined);
  putOnTrial('b');
  t.is(choose(), 'a');
  full.release();
  view.health.record('b', 'answered', 0);
  t.is(choose(), 'b');
});

test('the load of a peer counts, is extrapolated, and expires when the peer is unresponsive', (t) => {
  const { ledger } = makeView();
  ledger.recordPeerLoad('p', { a: [1_000, 1, 500] }, 0);
  ledger.addDecode('a', 100);
  t.deepEqual(ledger.getTotal('a', 0), { tokens: 1_100, requests: 2, prefillTokens: 500 });
  t.is(ledger.getTotal('a', 1_000).tokens, 1_100 + rates.getOutputTokensPerS());
  t.is(ledger.getTotal('a', 10).prefillTokens, 500 - 10 * rates.getPrefillTokensPerMs());
  t.is(ledger.getTotal('a', 1_000).prefillTokens, 0);
  t.is(ledger.getTotal('a', 60_000).tokens, 100);
  ledger.recordPeerLoad('p', {}, 60_000);
  t.is(ledger.getTotal('a', 60_000).tokens, 100);
});

test('allocated memory is released once, including its growth', (t) => {
  const { ledger } = makeView();
  const allocation = ledger.addDecode('a', 1_000);
  allocation.grow(18);
  t.is(ledger.getTotal('a', 0).tokens, 1_018);
  allocation.release();
  allocation.release();
  allocation.grow(18);
  t.deepEqual(ledger.getLocalRows(), {});
});

test('a prefill goes to the engine with the earliest result, preferably near the decode engine', (t) => {
  const view = makeView();
  view.ledger.addPrefill('near', 300);
  const engines = [makeEngine('near', 'prefill'), makeEngine('far', 'prefill', 'north-b')];
  t.is(
    choosePrefill(engines, 3_000, makeServer({ dataCentre: 'north-a' }), view, noExclusions)?.server
      .id,
    'near',
  );
  view.ledger.addPrefill('near', 6_000);
  t.is(
    choosePrefill(engines, 3_000, makeServer({ dataCentre: 'north-a' }), view, noExclusions)?.server
      .id,
    'far',
  );
  t.is(
    choosePrefill(
      engines,
      3_000,
      makeServer({ dataCentre: 'north-a' }),
      view,
      new Set(['near', 'far']),
    ),
    undefined,
  );
});

test('a server of a plain service is chosen even if all of them are cooling down', (t) => {
  const view = makeView();
  view.health.record('a', 'unreachable', 0);
  t.is(choosePlainServer([makeServer({ id: 'a' })], view, noExclusions)?.id, 'a');
  t.is(choosePlainServer([makeServer({ id: 'a' })], view, new Set(['a'])), undefined);
});

interface StreamLog {
  readonly placed: string[];
  readonly refused: string[];
}

const makeWaitingStream = (
  log: StreamLog,
  id: string,
  overrides: Partial<WaitingStream> = {},
): WaitingStream => ({
  id,
  service: 'llm',
  workspace: 'forge',
  priority: 1,
  neededTokens: 1_000,
  arrivedAt: 0,
  waitUntil: 700,
  softwareVersion: undefined,
  tryPlace: () => {
    log.placed.push(id);
    return true;
  },
  refuse: () => {
    log.refused.push(id);
  },
  ...overrides,
});

test('streams are placed by priority, then by arrival', (t) => {
  const log: StreamLog = { placed: [], refused: [] };
  const queue = makeStreamQueue(() => 500);
  queue.push(makeWaitingStream(log, 'late', { arrivedAt: 5 }));
  queue.push(makeWaitingStream(log, 'early', { arrivedAt: 1 }));
  queue.push(makeWaitingStream(log, 'urgent', { arrivedAt: 9, priority: 0 }));
  queue.process(10);
  t.deepEqual(log.placed, ['urgent', 'early', 'late']);
});

test('a stream is refused when its wait time expires', (t) => {
  const log: StreamLog = { placed: [], refused: [] };
  const queue = makeStreamQueue(() => 500);
  queue.push(makeWaitingStream(log, 'a', { tryPlace: () => false }));
  queue.process(699);
  t.deepEqual(log.refused, []);
  queue.process(700);
  t.deepEqual(log.refused, ['a']);
  t.is(queue.size(), 0);
});

test('after four streams that do not fit, no later stream is placed', (t) => {
  const log: StreamLog = { placed: [], refused: [] };
  const queue = makeStreamQueue(() => 500);
  const blocked = { tryPlace: () => false };
  ['a', 'b', 'c', 'd'].forEach((id) => queue.push(makeWaitingStream(log, id, blocked)));
  queue.push(makeWaitingStream(log, 'e', { arrivedAt: 1 }));
  queue.process(1);
  t.deepEqual(log.placed, []);
  queue.remove('a');
  queue.process(2);
  t.deepEqual(log.placed, ['e']);
});

test('the time until memory is free is predicted from the rate at which streams end', (t) => {
  const timing = makeStreamTiming();
  const { ledger } = makeView();
  const engines = [makeEngine('a', 'decode'), makeEngine('p', 'prefill')];
  t.is(timing.predictMemoryWaitMs(engines, engineLimits, ledger, 3_000, 0), 0);
  ledger.addDecode('a', 10_000);
  for (let count = 0; count < 200; count += 1) timing.recordStreamDuration(3_000);
  const predictedMs = timing.predictMemoryWaitMs(engines, engineLimits, ledger, 2_000, 0);
  t.true(Math.abs(predictedMs - 600) < 5);
});

test('prefill engines that cool down are used only if no other is left', (t) => {
  const view = { ...makeView(), now: 1_000 };
  const engines = [makeEngine('a', 'prefill'), makeEngine('b', 'prefill')];
  view.health.recordPeerFailure('a', 1_000);
  t.is(
    choosePrefill(engines, 3_000, makeServer({ dataCentre: 'north-a' }), view, noExclusions)?.server
      .id,
    'b',
  );
  view.health.record('b', 'result-lost', 1_000);
  t.truthy(
    choosePrefill(engines, 3_000, makeServer({ dataCentre: 'north-a' }), view, noExclusions),
  );
  t.is(
    choosePrefill(
      engines,
      3_000,
      makeServer({ dataCentre: 'north-a' }),
      { ...view, now: 1_500 },
      noExclusions,
    )?.server.id,
    'b',
  );
});

test('a server that asked for a pause is not chosen, though all others are cooling down', (t) => {
  const view = { ...makeView(), now: 1_000 };
  const servers = [makeServer({ id: 'a' }), makeServer({ id: 'b' })];
  view.health.record('b', 'unreachable', 1_000);
  view.health.recordPause('a', 2_000, 1_000);
  t.is(choosePlainServer(servers, view, noExclusions)?.id, 'b');
  t.is(choosePlainServer(servers, view, new Set(['b'])), undefined);
  t.is(choosePlainServer(servers, { ...view, now: 3_001 }, new Set(['b']))?.id, 'a');
});

const makeVersion = (id: string, stage: 'prefill' | 'decode', softwareVersion: string) =>
  makeServer({ id, service: 'llm', stage, softwareVersion });

test('a prompt is read only by an engine of the version that runs the stream', (t) => {
  const view = makeView();
  const engines = [makeVersion('p1', 'prefill', 'v1'), makeVersion('p2', 'prefill', 'v2')];
  view.ledger.addPrefill('p2', 9_000);
  const choose = (softwareVersion: string) =>
    choosePrefill(engines, 3_000, makeServer({ softwareVersion }), view, noExclusions)?.server.id;
  t.deepEqual(['v1', 'v2', 'v3'].map(choose), ['p1', 'p2', undefined]);
});

test('a stream begins where it can go on elsewhere, unless the other version is full', (t) => {
  const view = makeView();
  const engines = [
    makeVersion('old', 'decode', 'v1'),
    makeVersion('new-1', 'decode', 'v2'),
    makeVersion('new-2', 'decode', 'v2'),
    makeVersion('p1', 'prefill', 'v1'),
    makeVersion('p2', 'prefill', 'v2'),
  ];
  const choose = () =>
    chooseDecode(engines, makeRequirement(1_000), engineLimits, view, noExclusions)?.id;
  view.ledger.addDecode('new-1', 1_500);
  view.ledger.addDecode('new-2', 2_000);
  t.is(choose(), 'new-1');
  view.ledger.addDecode('new-1', 5_000);
  view.ledger.addDecode('new-2', 5_000);
  t.is(choose(), 'old');
});

test('streams that wait for the engines of one version do not hold up the others', (t) => {
  const log: StreamLog = { placed: [], refused: [] };
  const queue = makeStreamQueue(() => 500);
  const bound = { softwareVersion: 'v1', tryPlace: () => false };
  ['a', 'b', 'c', 'd', 'e'].forEach((id) => queue.push(makeWaitingStream(log, id, bound)));
  queue.push(makeWaitingStream(log, 'new', { arrivedAt: 9 }));
  queue.process(10);
  t.deepEqual(log.placed, ['new']);
  queue.push(makeWaitingStream(log, 'later', { arrivedAt: 10 }));
  queue.push(makeWaitingStream(log, 'begun', { arrivedAt: 20, softwareVersion: 'v2' }));
  queue.process(30);
  t.deepEqual(log.placed, ['new', 'begun', 'later']);
});
