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

const shownHeaders = ['content-type', 'retry-after', 'x-outcome', 'idempotency-replayed'];

const runStep = async (step: Step) => {
  const { name, method = 'POST', path = '/v1/completions', headers = {}, vm = 0 } = step;
  const res = await request(`${fleet.urls[vm]}${path}`, {
    method,
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
    body: step.body ?? null,
  });
  const text = normalizeText(await res.body.text());
  const shown = shownHeaders.flatMap((h) => (res.headers[h] ? [[h, res.headers[h]]] : []));
  const body = text.startsWith('{') ? (JSON.parse(text) as unknown) : text.split('\n');
  return { name, status: res.statusCode, headers: Object.fromEntries(shown) as unknown, body };
};

const completion = (changes: object): string =>
  JSON.stringify({ model: 'drawing-reader', prompt: 'tokens=3 Hello', max_tokens: 8, ...changes });

test.serial('a session of a caller', async (t) => {
  const confirm = { path: '/orders/17/confirm', body: '{"quantity":2}' };
  const once = { 'idempotency-key': 'order-17' };
  const steps: Step[] = [
    { name: 'whole completion', body: completion({}) },
    { name: 'cut by max_tokens', body: completion({ max_tokens: 2 }) },
    { name: 'streamed completion', body: completion({ stream: true, priority: 'urgent' }) },
    {
      name: 'chat',
      path: '/v1/chat/completions',
      body: JSON.stringify({
        model: 'drawing-reader',
        messages: [{ role: 'user', content: 'tokens=2' }],
        max_tokens: 2,
      }),
    },
    { name: 'no key', body: completion({}), headers: { authorization: '' } },
    {
      name: 'key of another environment',
      body: completion({}),
      headers: { authorization: `Bearer ${key.replace('production', 'trial')}` },
    },
    { name: 'not JSON', body: '{"model":' },
    { name: 'wrong type', body: completion({ max_tokens: 'many' }) },
    { name: 'unknown model', body: completion({ model: 'poet' }) },
    { name: 'prompt too long', body: completion({ prompt: 'x'.repeat(130_000) }) },
    { name: 'body too large', body: completion({ prompt: 'x'.repeat(300_000) }) },
    {
      name: 'more than the burst',
      body: completion({ prompt: 'x'.repeat(1_000), max_tokens: 2_049 }),
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
    { name: 'key in the body', ...confirm, headers: once, body: `{"note":"${key}"}` },
    { name: 'confirmation without idempotency key', ...confirm },
    { name: 'confirmation', ...confirm, headers: once },
    { name: 'repeated at another VM', ...confirm, headers: once, vm: 1 },
    { name: 'repeated for another request', ...confirm, headers: once, body: '{"quantity":3}' },
    {
      name: 'same idempotency key of another workspace',
      ...confirm,
      headers: { ...once, authorization: `Bearer ${otherKey}` },
      vm: 2,
    },
    { name: 'issued idempotency key', path: '/v1/idempotency-keys' },
    { name: 'forged idempotency key', ...confirm, headers: { 'idempotency-key': 'hik_00' } },
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
    let answer = '';
    socket.on('data', (chunk) => {
      answer += chunk.toString();
    });
    socket.on('close', () => resolve(answer));
    setTimeout(() => socket.destroy(), 1_500);
  });

test.serial('headers given twice and bytes that are not HTTP are refused', async (t) => {
  const auth = `authorization: Bearer ${key}\r\n`;
  const head = `GET /stock/a HTTP/1.1\r\nhost: x\r\n`;
  t.regex(await sendRaw(`${head}${auth}${auth}\r\n`), /400[^]*given twice/);
  t.regex(await sendRaw('\u0001\u0002nonsense\r\n\r\n'), /400 Bad Request/);
  t.is((await runStep({ name: 'still there', method: 'GET', path: '/stock/a' })).status, 200);
});

const operate = async (...args: string[]) => {
  const { code, stdout } = await fleet.runCli(...args);
  return {
    args: args.map((a) => a.split('/').at(-1)),
    code,
    printed: JSON.parse(normalizeText(stdout)) as unknown,
  };
};

test.serial('a session of an operator', async (t) => {
  const bad = join(fleet.dir, 'bad.ini');
  writeFileSync(bad, '[workspace forge]\nrate = x\n[castle]\n');
  const session = [
    await operate('check', fleet.documentFile),
    await operate('check', bad),
    await operate('submit', bad),
    await operate('diff', fleet.documentFile),
    await operate('submit', fleet.documentFile, '--base', '99'),
    await operate('submit', fleet.documentFile, '--base', '1'),
    await operate('keys', 'give', 'castle'),
    await operate('keys', 'withdraw', 'none'),
    await operate('settle', 'none'),
  ];
  t.deepEqual(session, readGolden('operators-session', session));
});

test.serial(
  'an operator hears plainly that the store is down, and that nothing changed',
  async (t) => {
    await fleet.setFaults(fleet.ports.store, { outage: 'down' });
    const submitted = await fleet.runCli('submit', fleet.documentFile);
    const status = await fleet.runCli('status');
    await fleet.setFaults(fleet.ports.store, { outage: 'none' });
    t.is(submitted.code, 4);
    t.is(status.code, 4);
  },
);

test.serial('a request with a wrong signature learns nothing from a VM', async (t) => {
  const port = fleet.ports.vms[0]?.[2] ?? 0;
  const res = await request(`http://127.0.0.1:${port}/status`, {
    headers: { 'x-operator-time': String(Date.now()), 'x-operator-signature': '00' },
  });
  t.is(res.statusCode, 401);
});

test.serial('no backend server has seen a key', async (t) => {
  const ports = [...fleet.ports.prefills, ...fleet.ports.decodes, ...fleet.ports.services];
  const records = await Promise.all(
    ports.map((port) => fleet.readControl<{ keySightings: number }>(port, 'record')),
  );
  t.true(records.every((r) => r.keySightings === 0));
});
