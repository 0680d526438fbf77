import { readFileSync } from 'node:fs';
import { Readable } from 'node:stream';
import test from 'ava';
import fc from 'fast-check';
import type { Pool, ServiceRoute } from '@hemlocksill/types/config-document.js';
import { digestPieces, estimateTokens, parseCompletionRequest } from './completion-request.js';
import { makeShardVotes } from './controllers/shard-votes.js';
import { getLeaseMs } from './controllers/membership.js';
import { eventCatalogue } from './events.js';
import { findRoute } from './match-route.js';
import { metricCatalogue } from './metrics.js';
import { makeRequestTable } from './request-table.js';
import { verifyResumeHandle, signResumeHandle } from './resume-handle.js';
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
const parse = (kind: 'text' | 'chat', body: unknown) =>
  parseCompletionRequest(kind, JSON.stringify(body), 'forge', pools, estimateTokens);

const describeParseResult = (body: unknown): string => {
  const parsed = parse('text', body);
  return parsed.isErr() ? `${parsed.error.code} ${parsed.error.outcome}` : 'ok';
};

test('valid completion requests are parsed, and invalid ones refused with outcome not-run', (t) => {
  const validBody = { model: 'reader', prompt: 'Hello', max_tokens: 5 };
  t.is(describeParseResult(validBody), 'ok');
  t.is(describeParseResult({ ...validBody, model: 'writer' }), 'not-found not-run');
  t.is(describeParseResult({ ...validBody, prompt: 'x'.repeat(400) }), 'too-large not-run');
  t.is(describeParseResult({ ...validBody, max_tokens: 21 }), 'too-large not-run');
  t.is(describeParseResult({ ...validBody, max_tokens: -1 }), 'bad-request not-run');
  t.is(describeParseResult({ ...validBody, prompt: 7 }), 'bad-request not-run');
  t.is(describeParseResult({ ...validBody, n: 2 }), 'bad-request not-run');
  const chat = { model: 'reader', messages: [{ role: 'user', content: 'Hi' }], max_tokens: 5 };
  t.is(parse('chat', chat)._unsafeUnwrap().prompt, 'user: Hi');
});

test('parsing a completion request never throws', (t) => {
  fc.assert(
    fc.property(
      fc.oneof(
        fc.json(),
        fc.string(),
        fc.jsonValue().map((v) => JSON.stringify(v)),
      ),
      (body) => {
        const parsed = parseCompletionRequest('text', body, 'forge', pools, estimateTokens);
        t.true(parsed.isOk() || parsed.error.outcome === 'not-run');
      },
    ),
    { numRuns: 1_000, seed: 52 },
  );
});

test('piece digests cover all preceding pieces and differ between workspaces', (t) => {
  const text = 'a'.repeat(40) + 'b'.repeat(40);
  const otherText = 'a'.repeat(40) + 'c'.repeat(45);
  const [firstDigest, secondDigest] = digestPieces('forge', text, 10);
  t.is(digestPieces('forge', otherText, 10)[0], firstDigest);
  t.not(digestPieces('forge', otherText, 10)[1], secondDigest);
  t.not(digestPieces('works', text, 10)[0], firstDigest);
});

const makeRoute = (name: string, method: string, path: string): ServiceRoute => ({
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

test('routes match by method and path, and fewer parameters take precedence', (t) => {
  const routes = [makeRoute('any', 'GET', '/stock/:id'), makeRoute('all', 'GET', '/stock/all')];
  t.is(findRoute(routes, 'GET', '/stock/all')?.name, 'all');
  t.is(findRoute(routes, 'GET', '/stock/7')?.name, 'any');
  t.is(findRoute(routes, 'POST', '/stock/7'), undefined);
  t.is(findRoute(routes, 'GET', '/stock/'), undefined);
  t.is(findRoute(routes, 'GET', '/stock/7/x'), undefined);
});

const readTokenLines = async (lines: readonly unknown[], from = 0) => {
  const texts: string[] = [];
  const body = Readable.from(
    lines.map((l) => `${typeof l === 'string' ? l : JSON.stringify(l)}\n`),
  );
  const controller = new AbortController();
  const end = await readTokens(body, from, 1_000, controller.signal, (_i, text) =>
    texts.push(text),
  );
  return { texts, end: end.isOk() ? 'complete' : end.error };
};
const tokenLine = (i: number) => ({ i, text: `t${i}` });
const endLine = (tokens: number) => ({ done: true, tokens, reason: 'stop' });

test('a token stream is complete only if no token is missing, duplicated or out of order', async (t) => {
  t.deepEqual(await readTokenLines([tokenLine(0), tokenLine(1), endLine(2)]), {
    texts: ['t0', 't1'],
    end: 'complete',
  });
  t.is((await readTokenLines([tokenLine(0), tokenLine(0), endLine(2)])).end, 'out-of-order');
  t.is((await readTokenLines([tokenLine(0), tokenLine(2), endLine(3)])).end, 'out-of-order');
  t.is((await readTokenLines([tokenLine(0), endLine(2)])).end, 'out-of-order');
  t.is((await readTokenLines([tokenLine(0), tokenLine(1)])).end, 'cut');
  t.is((await readTokenLines([tokenLine(0), '{"i":'])).end, 'bad-line');
  t.is((await readTokenLines([tokenLine(0), { i: '1', text: 3 }])).end, 'bad-line');
  t.is((await readTokenLines([tokenLine(3), endLine(4)], 3)).end, 'complete');
});

test('a stream that stops sending data is reported as stalled', async (t) => {
  const controller = new AbortController();
  const stalledStream = new Readable({ read: () => {} });
  t.is(
    (await readTokens(stalledStream, 0, 40, controller.signal, () => {}))._unsafeUnwrapErr(),
    'stalled',
  );
});

test('a resume handle is verified with its secret, and a forged one is rejected', (t) => {
  const handle = { server: 'd1', streamId: 'a.1', workspace: 'forge', model: 'reader' };
  const text = signResumeHandle(handle, 'secret-one');
  t.deepEqual(verifyResumeHandle(text, ['secret-two', 'secret-one']), handle);
  t.is(verifyResumeHandle(text, ['secret-two']), undefined);
  const forged = `${Buffer.from('["d1","a.1","works","reader"]').toString('base64url')}.${text.split('.')[1]}`;
  t.is(verifyResumeHandle(forged, ['secret-one']), undefined);
  fc.assert(
    fc.property(fc.string(), (s) => t.is(verifyResumeHandle(s, ['secret-one']), undefined)),
    { seed: 53 },
  );
});

test('retries are limited to a tenth of the requests', (t) => {
  const budget = makeRetryBudget();
  let retries = 0;
  for (let i = 0; i < 1_000; i += 1) {
    budget.recordRequest();
    if (budget.tryTakeRetry()) retries += 1;
  }
  t.true(retries <= 110, `${retries} retries`);
});

test('a voter gives no consent while its promise lasts, and no promise to an older epoch after its consent', (t) => {
  const votes = makeShardVotes();
  t.true(votes.promise(0, 1, 0));
  t.false(votes.consent(0, 2, 3_999));
  t.true(votes.consent(0, 2, 4_000));
  t.false(votes.promise(0, 1, 4_001));
  t.true(votes.promise(0, 2, 4_001));
  t.true(votes.consent(1, 2, 0));
});

test('leases of a large fleet are renewed at a bounded rate', (t) => {
  t.is(getLeaseMs(8), 4_000);
  t.true((390 * 3_000) / getLeaseMs(390) <= 40);
});

test('an attempt id is live from openAttempt to closeAttempt', (t) => {
  const table = makeRequestTable('inc');
  const id = table.openAttempt();
  t.true(table.isLive(id));
  table.closeAttempt(id);
  t.false(table.isLive(id) || table.isLive('inc.99'));
});

const readPage = (name: string): string =>
  readFileSync(new URL(`../../../docs/${name}`, import.meta.url), 'utf8');

test('docs/EVENTS.md matches the event catalogue', (t) => {
  const rows = [...readPage('EVENTS.md').matchAll(/^\| (1\d{3}) +\| (\w+) +\| ([^|]+?) +\|/gm)];
  const listed = rows.map(([, id, level, text]) => [Number(id), level, text]);
  const catalogue = Object.entries(eventCatalogue).map(([id, e]) => [Number(id), e.level, e.text]);
  t.deepEqual(listed, catalogue);
});

test('docs/OPERATIONS.md lists the metrics with their types', (t) => {
  const rows = [...readPage('OPERATIONS.md').matchAll(/^\| `([a-z_.]+)` +\| (\w+) +\|/gm)];
  t.deepEqual(
    rows.map(([, name, kind]) => [name, kind]),
    Object.entries(metricCatalogue),
  );
});
