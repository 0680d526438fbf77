import { readFileSync } from 'node:fs';
import { Readable } from 'node:stream';
import test from 'ava';
import fc from 'fast-check';
import type { Pool, ServiceRoute } from '@hemlocksill/types/config-document.js';
import { digestPieces, estimateTokens, readCompletionRequest } from './completion-request.js';
import { makeShardVotes } from './controllers/shard-votes.js';
import { getLeaseMs } from './controllers/membership.js';
import { eventCatalogue } from './events.js';
import { findRoute } from './match-route.js';
import { metricCatalogue } from './metrics.js';
import { makeRequestTable } from './request-table.js';
import { readResumeHandle, writeResumeHandle } from './resume-handle.js';
import { makeRetryBudget } from './retry-budget.js';
import { readTokens } from './token-stream.js';

const targets = { firstTokenMs: 1, betweenTokensMs: 1 };
const pool: Pool = {
  model: 'reader',
  version: 'v1',
  pieceTokens: 10,
  slots: 1,
  prefillRate: 1,
  patientShare: 0.5,
  maxPromptTokens: 50,
  maxOutputTokens: 20,
  urgent: targets,
  patient: targets,
};
const pools = new Map([['reader', pool]]);
const decode = (kind: 'text' | 'chat', body: unknown) =>
  readCompletionRequest(kind, JSON.stringify(body), 'forge', pools, estimateTokens);

const codeOf = (body: unknown): string => {
  const read = decode('text', body);
  return read.isErr() ? `${read.error.code} ${read.error.outcome}` : 'ok';
};

test('completions are decoded, and bad ones refused as not run', (t) => {
  const good = { model: 'reader', prompt: 'Hello', max_tokens: 5 };
  t.is(codeOf(good), 'ok');
  t.is(codeOf({ ...good, model: 'writer' }), 'not-found not-run');
  t.is(codeOf({ ...good, prompt: 'x'.repeat(400) }), 'too-large not-run');
  t.is(codeOf({ ...good, max_tokens: 21 }), 'too-large not-run');
  t.is(codeOf({ ...good, max_tokens: -1 }), 'bad-request not-run');
  t.is(codeOf({ ...good, prompt: 7 }), 'bad-request not-run');
  t.is(codeOf({ ...good, n: 2 }), 'bad-request not-run');
  const chat = { model: 'reader', messages: [{ role: 'user', content: 'Hi' }], max_tokens: 5 };
  t.is(decode('chat', chat)._unsafeUnwrap().prompt, 'user: Hi');
});

test('no body makes the decoder throw', (t) => {
  fc.assert(
    fc.property(
      fc.oneof(
        fc.json(),
        fc.string(),
        fc.jsonValue().map((v) => JSON.stringify(v)),
      ),
      (body) => {
        const read = readCompletionRequest('text', body, 'forge', pools, estimateTokens);
        t.true(read.isOk() || read.error.outcome === 'not-run');
      },
    ),
    { numRuns: 1_000, seed: 52 },
  );
});

test('pieces cover all before them and are not shared between workspaces', (t) => {
  const text = 'a'.repeat(40) + 'b'.repeat(40);
  const other = 'a'.repeat(40) + 'c'.repeat(45);
  const [first, second] = digestPieces('forge', text, 10);
  t.is(digestPieces('forge', other, 10)[0], first);
  t.not(digestPieces('forge', other, 10)[1], second);
  t.not(digestPieces('works', text, 10)[0], first);
});

const route = (name: string, method: string, path: string): ServiceRoute => ({
  name,
  method,
  path,
  service: 's',
  class: 'urgent',
  idempotent: true,
  open: false,
  cost: 1,
  timeoutMs: 1,
});

test('routes match by method and path, the most fixed first', (t) => {
  const routes = [route('any', 'GET', '/stock/:id'), route('all', 'GET', '/stock/all')];
  t.is(findRoute(routes, 'GET', '/stock/all')?.name, 'all');
  t.is(findRoute(routes, 'GET', '/stock/7')?.name, 'any');
  t.is(findRoute(routes, 'POST', '/stock/7'), undefined);
  t.is(findRoute(routes, 'GET', '/stock/'), undefined);
  t.is(findRoute(routes, 'GET', '/stock/7/x'), undefined);
});

const readAll = async (lines: readonly unknown[], from = 0) => {
  const texts: string[] = [];
  const body = Readable.from(
    lines.map((l) => `${typeof l === 'string' ? l : JSON.stringify(l)}\n`),
  );
  const stop = new AbortController();
  const end = await readTokens(body, from, 1_000, stop.signal, (_i, text) => texts.push(text));
  return { texts, end: end.isOk() ? 'whole' : end.error };
};
const token = (i: number) => ({ i, text: `t${i}` });
const done = (tokens: number) => ({ done: true, tokens, reason: 'stop' });

test('a token stream is whole only when no token is missing, doubled or crossed', async (t) => {
  t.deepEqual(await readAll([token(0), token(1), done(2)]), { texts: ['t0', 't1'], end: 'whole' });
  t.is((await readAll([token(0), token(0), done(2)])).end, 'out-of-order');
  t.is((await readAll([token(0), token(2), done(3)])).end, 'out-of-order');
  t.is((await readAll([token(0), done(2)])).end, 'out-of-order');
  t.is((await readAll([token(0), token(1)])).end, 'cut');
  t.is((await readAll([token(0), '{"i":'])).end, 'bad-line');
  t.is((await readAll([token(0), { i: '1', text: 3 }])).end, 'bad-line');
  t.is((await readAll([token(3), done(4)], 3)).end, 'whole');
});

test('a stream that falls silent is given up', async (t) => {
  const stop = new AbortController();
  const silent = new Readable({ read: () => {} });
  t.is((await readTokens(silent, 0, 40, stop.signal, () => {}))._unsafeUnwrapErr(), 'stalled');
});

test('a resume handle is read back, and a forged one is not', (t) => {
  const handle = { server: 'd1', streamId: 'a.1', workspace: 'forge', model: 'reader' };
  const text = writeResumeHandle(handle, 'secret-one');
  t.deepEqual(readResumeHandle(text, ['secret-two', 'secret-one']), handle);
  t.is(readResumeHandle(text, ['secret-two']), undefined);
  const forged = `${Buffer.from('["d1","a.1","works","reader"]').toString('base64url')}.${text.split('.')[1]}`;
  t.is(readResumeHandle(forged, ['secret-one']), undefined);
  fc.assert(
    fc.property(fc.string(), (s) => t.is(readResumeHandle(s, ['secret-one']), undefined)),
    { seed: 53 },
  );
});

test('retries are limited to a tenth of the requests', (t) => {
  const budget = makeRetryBudget();
  let retries = 0;
  for (let i = 0; i < 1_000; i += 1) {
    budget.noteRequest();
    if (budget.tryRetry()) retries += 1;
  }
  t.true(retries <= 110, `${retries} retries`);
});

test('a voter promises or consents, and never promises after it has consented', (t) => {
  const book = makeShardVotes();
  t.true(book.promise(0, 1, 0));
  t.false(book.consent(0, 2, 3_999));
  t.true(book.consent(0, 2, 4_000));
  t.false(book.promise(0, 1, 4_001));
  t.true(book.promise(0, 2, 4_001));
  t.true(book.consent(1, 2, 0));
});

test('leases of a large fleet are renewed at a bounded rate', (t) => {
  t.is(getLeaseMs(8), 4_000);
  t.true((390 * 3_000) / getLeaseMs(390) <= 40);
});

test('attempt ids are live from their opening to their closing', (t) => {
  const table = makeRequestTable('inc');
  const id = table.openAttempt();
  t.true(table.isLive(id));
  table.closeAttempt(id);
  t.false(table.isLive(id) || table.isLive('inc.99'));
});

const readDoc = (name: string): string =>
  readFileSync(new URL(`../../../docs/${name}`, import.meta.url), 'utf8');

test('docs/EVENTS.md and the catalogue of events are equal', (t) => {
  const rows = [...readDoc('EVENTS.md').matchAll(/^\| (1\d{3}) +\| (\w+) +\| ([^|]+?) +\|/gm)];
  const listed = rows.map(([, id, level, text]) => [Number(id), level, text]);
  const known = Object.entries(eventCatalogue).map(([id, e]) => [Number(id), e.level, e.text]);
  t.deepEqual(listed, known);
});

test('docs/OPERATIONS.md lists the metrics with their types', (t) => {
  const rows = [...readDoc('OPERATIONS.md').matchAll(/^\| `([a-z_.]+)` +\| (\w+) +\|/gm)];
  t.deepEqual(
    rows.map(([, name, kind]) => [name, kind]),
    Object.entries(metricCatalogue),
  );
});
