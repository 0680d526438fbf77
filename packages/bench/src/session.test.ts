import { mkdtempSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { request } from 'undici';
import { deployments } from './deployment.js';
import { startFleet, type Fleet } from './fleet.js';
import { normalizeText, readGolden } from './golden.js';

const { small } = deployments;
let fleet: Fleet;
let key = '';
let otherKey = '';

test.before(async () => {
  fleet = await startFleet(small, mkdtempSync(join(tmpdir(), 'hemlocksill-test-')), {
    documentOptions: { limits: 'max-body-bytes = 200000\n' },
  });
  ({ key } = await fleet.createKey('quotation'));
  ({ key: otherKey } = await fleet.createKey('planning'));
});

test.after.always(() => fleet.stop());

interface Step {
  readonly name: string;
  readonly method?: 'GET' | 'POST';
  readonly path?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly vm?: number;
}

/** Response headers that are compared with the golden file. */
const comparedHeaders = ['content-type', 'retry-after', 'x-outcome', 'idempotency-replayed'];

const runStep = async (step: Step) => {
  const { name, method = 'POST', path = '/v1/completions', headers = {}, vm = 0 } = step;
  const res = await request(`${fleet.urls[vm]}${path}`, {
    method,
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
    body: step.body ?? null,
  });
  const text = normalizeText(await res.body.text());
  const entries = comparedHeaders.flatMap((h) => (res.headers[h] ? [[h, res.headers[h]]] : []));
  const body = text.startsWith('{') ? (JSON.parse(text) as unknown) : text.split('\n');
  return {
    name,
    status: res.statusCode,
    headers: Object.fromEntries(entries) as unknown,
    body,
  };
};

const makeCompletionBody = (overrides: object): string =>
  JSON.stringify({
    model: 'drawing-reader',
    prompt: 'tokens=3 Hello',
    max_tokens: 8,
    ...overrides,
  });

test.serial('the responses to a caller match the golden file', async (t) => {
  const confirmRequest = { path: '/orders/17/confirm', body: '{"quantity":2}' };
  const idempotencyHeaders = { 'idempotency-key': 'order-17' };
  const steps: Step[] = [
    { name: 'completion without streaming', body: makeCompletionBody({}) },
    { name: 'completion truncated by max_tokens', body: makeCompletionBody({ max_tokens: 2 }) },
    { name: 'streamed completion', body: makeCompletionBody({ stream: true, priority: 'urgent' }) },
    {
      name: 'chat',
      path: '/v1/chat/completions',
      body: JSON.stringify({
        model: 'drawing-reader',
        messages: [{ role: 'user', content: 'tokens=2' }],
        max_tokens: 2,
      }),
    },
    { name: 'no key', body: makeCompletionBody({}), headers: { authorization: '' } },
    {
      name: 'key of another environment',
      body: makeCompletionBody({}),
      headers: { authorization: `Bearer ${key.replace('production', 'trial')}` },
    },
    { name: 'not JSON', body: '{"model":' },
    { name: 'max_tokens of the wrong type', body: makeCompletionBody({ max_tokens: 'many' }) },
    { name: 'unknown model', body: makeCompletionBody({ model: 'poet' }) },
    { name: 'prompt too long', body: makeCompletionBody({ prompt: 'x'.repeat(130_000) }) },
    { name: 'body too large', body: makeCompletionBody({ prompt: 'x'.repeat(300_000) }) },
    {
      name: 'max_tokens above the limit',
      body: makeCompletionBody({ prompt: 'x'.repeat(1_000), max_tokens: 2_049 }),
    },
    { name: 'unknown route', method: 'GET', path: '/castle' },
    { name: 'service read', method: 'GET', path: '/stock/billet-40' },
    {
      name: 'open route without a key',
      method: 'GET',
      path: '/price-list',
      headers: { authorization: '' },
    },
    { name: 'key in the query', method: 'GET', path: `/stock/billet-40?k=${key}` },
    { name: 'key in a cookie', method: 'GET', path: '/stock/b', headers: { cookie: `k=${key}` } },
    {
      name: 'key in the body',
      ...confirmRequest,
      headers: idempotencyHeaders,
      body: `{"note":"${key}"}`,
    },
    { name: 'confirmation without idempotency key', ...confirmRequest },
    { name: 'confirmation', ...confirmRequest, headers: idempotencyHeaders },
    { name: 'retry at another VM', ...confirmRequest, headers: idempotencyHeaders, vm: 1 },
    {
      name: 'idempotency key of another request',
      ...confirmRequest,
      headers: idempotencyHeaders,
      body: '{"quantity":3}',
    },
    {
      name: 'same idempotency key of another workspace',
      ...confirmRequest,
      headers: { ...idempotencyHeaders, authorization: `Bearer ${otherKey}` },
      vm: 2,
    },
    { name: 'issued idempotency key', path: '/v1/idempotency-keys' },
    { name: 'forged idempotency key', ...confirmRequest, headers: { 'idempotency-key': 'hik_00' } },
    {
      name: 'forged resume handle',
      method: 'GET',
      path: '/v1/resume',
      headers: { 'x-resume-handle': 'a.b' },
    },
    { name: 'ready', method: 'GET', path: '/hemlocksill/ready' },
  ];
  const session: unknown[] = [];
  for (const step of steps) session.push(await runStep(step));
  t.deepEqual(session, readGolden('callers-session', session));
});

const sendRaw = (text: string): Promise<string> =>
  new Promise((resolve) => {
    const port = fleet.ports.vms[0]?.[0] ?? 0;
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    let response = '';
    socket.on('data', (chunk) => {
      response += chunk.toString();
    });
    socket.on('close', () => resolve(response));
    setTimeout(() => socket.destroy(), 1_500);
  });

test.serial('duplicate Authorization headers and data that is not HTTP are refused', async (t) => {
  const authorizationLine = `authorization: Bearer ${key}\r\n`;
  const requestHead = `GET /stock/a HTTP/1.1\r\nhost: x\r\n`;
  t.regex(
    await sendRaw(`${requestHead}${authorizationLine}${authorizationLine}\r\n`),
    /400[^]*given twice/,
  );
  t.regex(await sendRaw('\u0001\u0002nonsense\r\n\r\n'), /400 Bad Request/);
  t.is(
    (await runStep({ name: 'valid request afterwards', method: 'GET', path: '/stock/a' })).status,
    200,
  );
});

const runCommand = async (...args: string[]) => {
  const { code, stdout } = await fleet.runCli(...args);
  return {
    args: args.map((a) => a.split('/').at(-1)),
    code,
    printed: JSON.parse(normalizeText(stdout)) as unknown,
  };
};

test.serial('the output of the operator commands matches the golden file', async (t) => {
  const invalidFile = join(fleet.dir, 'bad.ini');
  writeFileSync(invalidFile, '[workspace forge]\nrate = x\n[castle]\n');
  const session = [
    await runCommand('check', fleet.documentFile),
    await runCommand('check', invalidFile),
    await runCommand('submit', invalidFile),
    await runCommand('diff', fleet.documentFile),
    await runCommand('submit', fleet.documentFile, '--base', '99'),
    await runCommand('submit', fleet.documentFile, '--base', '1'),
    await runCommand('keys', 'give', 'castle'),
    await runCommand('keys', 'withdraw', 'none'),
    await runCommand('settle', 'none'),
  ];
  t.deepEqual(session, readGolden('operators-session', session));
});

test.serial('commands exit with the code for an unavailable store during an outage', async (t) => {
  await fleet.setFaults(fleet.ports.store, { outage: 'down' });
  const submitted = await fleet.runCli('submit', fleet.documentFile);
  const status = await fleet.runCli('status');
  await fleet.setFaults(fleet.ports.store, { outage: 'none' });
  t.is(submitted.code, 4);
  t.is(status.code, 4);
});

test.serial('a status request with a wrong signature is refused', async (t) => {
  const port = fleet.ports.vms[0]?.[2] ?? 0;
  const res = await request(`http://127.0.0.1:${port}/status`, {
    headers: { 'x-operator-time': String(Date.now()), 'x-operator-signature': '00' },
  });
  t.is(res.statusCode, 401);
});

test.serial('no backend server has received a key of a workspace', async (t) => {
  const ports = [...fleet.ports.prefills, ...fleet.ports.decodes, ...fleet.ports.services];
  const reports = await Promise.all(
    ports.map((port) => fleet.readControl<{ keySightings: number }>(port, 'record')),
  );
  t.true(reports.every((r) => r.keySightings === 0));
});
