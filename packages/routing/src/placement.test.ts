import test from 'ava';
import { assumedGrowthPerS, assumedPrefillTokensPerMs, makeEngineLedger } from './engine-ledger.js';
import { engineLimits, makeServer } from './fixtures.js';
import {
  chooseDecode,
  choosePlainServer,
  choosePrefill,
  headroomFor,
  type PlacementView,
} from './place-work.js';
import { makeServerHealth } from './server-health.js';
import { makeStreamTiming } from './stream-timing.js';
import { makeStreamQueue, type WaitingStream } from './stream-queue.js';

const makeView = (): PlacementView => ({
  ledger: makeEngineLedger(),
  health: makeServerHealth(),
  dataCentre: 'north-a',
  now: 0,
});

const engine = (id: string, stage: 'prefill' | 'decode', dataCentre = 'north-a') =>
  makeServer({ id, service: 'llm', stage, dataCentre });

const need = (promptTokens: number) => ({ promptTokens, maxTokens: promptTokens + 3_060 });
const none = new Set<string>();

test('a decode engine is chosen by its free memory, not by its free slots', (t) => {
  const view = makeView();
  view.ledger.addDecode('few-large', 8_000);
  view.ledger.addDecode('many-small', 500);
  view.ledger.addDecode('many-small', 500);
  const engines = [engine('few-large', 'decode'), engine('many-small', 'decode')];
  t.is(chooseDecode(engines, need(3_000), engineLimits, view, none)?.id, 'many-small');
});

test('no engine is chosen without memory for the prompt and for growth', (t) => {
  const view = makeView();
  const engines = [engine('a', 'decode')];
  const fits = engineLimits.memoryTokens - headroomFor(2);
  view.ledger.addDecode('a', 4_000);
  t.is(chooseDecode(engines, need(fits - 4_000), engineLimits, view, none)?.id, 'a');
  t.is(chooseDecode(engines, need(fits - 3_999), engineLimits, view, none), undefined);
});

test('work of peers counts, grows, and lapses with a silent peer', (t) => {
  const { ledger } = makeView();
  ledger.recordPeerLoad('p', { a: [1_000, 1, 500] }, 0);
  ledger.addDecode('a', 100);
  t.deepEqual(ledger.getTotal('a', 0), { tokens: 1_100, requests: 2, prefillTokens: 500 });
  t.is(ledger.getTotal('a', 1_000).tokens, 1_100 + assumedGrowthPerS);
  t.is(ledger.getTotal('a', 10).prefillTokens, 500 - 10 * assumedPrefillTokensPerMs);
  t.is(ledger.getTotal('a', 1_000).prefillTokens, 0);
  t.is(ledger.getTotal('a', 60_000).tokens, 100);
  ledger.recordPeerLoad('p', {}, 60_000);
  t.is(ledger.getTotal('a', 60_000).tokens, 100);
});

test('held memory is given back once, with what it has grown by', (t) => {
  const { ledger } = makeView();
  const held = ledger.addDecode('a', 1_000);
  held.grow(18);
  t.is(ledger.getTotal('a', 0).tokens, 1_018);
  held.release();
  held.release();
  held.grow(18);
  t.deepEqual(ledger.getLocalRows(), {});
});

test('a prefill goes to the engine that is done first, near the decode engine', (t) => {
  const view = makeView();
  view.ledger.addPrefill('near', 300);
  const engines = [engine('near', 'prefill'), engine('far', 'prefill', 'north-b')];
  t.is(choosePrefill(engines, 3_000, 'north-a', view, none)?.server.id, 'near');
  view.ledger.addPrefill('near', 6_000);
  t.is(choosePrefill(engines, 3_000, 'north-a', view, none)?.server.id, 'far');
  t.is(choosePrefill(engines, 3_000, 'north-a', view, new Set(['near', 'far'])), undefined);
});

test('a plain service is tried even while all its servers rest', (t) => {
  const view = makeView();
  view.health.record('a', 'unreachable', 0);
  t.is(choosePlainServer([makeServer({ id: 'a' })], view, none)?.id, 'a');
  t.is(choosePlainServer([makeServer({ id: 'a' })], view, new Set(['a'])), undefined);
});

interface Log {
  readonly placed: string[];
  readonly refused: string[];
}

const waiting = (log: Log, id: string, part: Partial<WaitingStream> = {}): WaitingStream => ({
  id,
  service: 'llm',
  workspace: 'forge',
  priority: 1,
  neededTokens: 1_000,
  arrivedAt: 0,
  waitUntil: 700,
  tryPlace: () => {
    log.placed.push(id);
    return true;
  },
  refuse: () => {
    log.refused.push(id);
  },
  ...part,
});

test('urgent streams go first, then the ones that came first', (t) => {
  const log: Log = { placed: [], refused: [] };
  const queue = makeStreamQueue(() => 500);
  queue.push(waiting(log, 'late', { arrivedAt: 5 }));
  queue.push(waiting(log, 'early', { arrivedAt: 1 }));
  queue.push(waiting(log, 'urgent', { arrivedAt: 9, priority: 0 }));
  queue.process(10);
  t.deepEqual(log.placed, ['urgent', 'early', 'late']);
});

test('what can no longer be on time is refused at its time, not at its deadline', (t) => {
  const log: Log = { placed: [], refused: [] };
  const queue = makeStreamQueue(() => 500);
  queue.push(waiting(log, 'a', { tryPlace: () => false }));
  queue.process(699);
  t.deepEqual(log.refused, []);
  queue.process(700);
  t.deepEqual(log.refused, ['a']);
  t.is(queue.size(), 0);
});

test('smaller streams pass a large one, but not without end', (t) => {
  const log: Log = { placed: [], refused: [] };
  const queue = makeStreamQueue(() => 500);
  const blocked = { tryPlace: () => false };
  ['a', 'b', 'c', 'd'].forEach((id) => queue.push(waiting(log, id, blocked)));
  queue.push(waiting(log, 'e', { arrivedAt: 1 }));
  queue.process(1);
  t.deepEqual(log.placed, []);
  queue.remove('a');
  queue.process(2);
  t.deepEqual(log.placed, ['e']);
});

test('memory is predicted free at the pace at which streams end', (t) => {
  const pace = makeStreamTiming();
  const { ledger } = makeView();
  const engines = [engine('a', 'decode'), engine('p', 'prefill')];
  t.is(pace.predictFreeMs(engines, engineLimits, ledger, 3_000, 0), 0);
  ledger.addDecode('a', 10_000);
  for (let n = 0; n < 200; n += 1) pace.recordStreamDuration(3_000);
  const ms = pace.predictFreeMs(engines, engineLimits, ledger, 2_000, 0);
  t.true(Math.abs(ms - 600) < 5);
});
