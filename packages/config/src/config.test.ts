import test from 'ava';
import fc from 'fast-check';
import { readDocument } from './document.js';
import { readRouterSettings } from './router-settings.js';
import { readEntrySettings, readOperatorSettings } from './settings.js';

const validDocument = `; order book
[limits]
max-body-bytes = 2048
[workspace forge]
rate = 100
burst = 1000
[pool reader]
version = v1
prefill-rate = 20000
urgent-first-token-ms = 2000
urgent-between-tokens-ms = 36
patient-first-token-ms = 10000
patient-between-tokens-ms = 36
[backend-server p1]
role = prefill
model = reader
url = http://127.0.0.1:7001
data-centre = a
[backend-server desk]
role = service
service = desk
url = http://[::1]:7002
data-centre = a
[route read]
method = GET
path = /stock/:id
service = desk
class = urgent
idempotent = yes
`;

const listProblems = (text: string): string[] => {
  const result = readDocument(text);
  return result.isErr()
    ? result.error.problems.map((p) => `${p.line} ${p.field}: ${p.reason}`)
    : [];
};

test('a valid document is read, and absent fields get their default values', (t) => {
  const document = readDocument(validDocument)._unsafeUnwrap();
  t.is(document.limits.maxBodyBytes, 2_048);
  t.is(document.limits.claimRetentionMs, 900_000);
  t.is(document.pools.get('reader')?.slots, 20);
  t.is(document.routes[0]?.open, false);
});

test('all problems are reported together, each with its line', (t) => {
  const invalidDocument = validDocument
    .replace('rate = 100', 'rate = many')
    .replace('burst = 1000', 'bursts = 1000')
    .replace('model = reader', 'model = writer')
    .replace('GET', 'FETCH')
    .replace('[workspace forge]', 'stray\n[workspace forge]');
  t.deepEqual(
    listProblems(invalidDocument),
    [
      '4 limits: expected "field = value"',
      '6 workspace forge.rate: must be a whole number',
      '5 workspace forge.burst: missing',
      '7 workspace forge.bursts: unknown field',
      '15 backend-server p1: no pool for model "writer"',
      '26 route read.method: must be an HTTP method',
    ].sort((a, b) => Number(a.split(' ')[0]) - Number(b.split(' ')[0])),
  );
});

test('duplicate or conflicting sections and fields are rejected', (t) => {
  t.regex(
    listProblems(`${validDocument}[workspace forge]\nrate = 1\nburst = 1`)[0] ?? '',
    /given twice/,
  );
  t.regex(listProblems(`${validDocument}idempotent = no`)[0] ?? '', /given twice, first on line/);
  t.regex(
    listProblems(validDocument.replace('7002', '7001').replace('[::1]', '127.0.0.1'))[0] ?? '',
    /same url/,
  );
  t.regex(listProblems(`${validDocument}[castle x]`)[0] ?? '', /unknown section/);
  t.regex(listProblems(validDocument.replace('/stock/:id', '/v1/stock'))[0] ?? '', /are taken/);
  t.regex(listProblems(validDocument.replace('2048', '2048\ndrain-ms = 5'))[0] ?? '', /drain-ms/);
  t.regex(
    listProblems(validDocument.replace('http://127.0.0.1:7001', 'http://host:1'))[0] ?? '',
    /IP:port/,
  );
});

test('no text makes the parser throw', (t) => {
  const line = fc.oneof(
    fc.constantFrom(
      '[limits]',
      '[workspace a]',
      '[pool m]',
      'rate = 1',
      'x',
      '__proto__ = 1',
      '=',
      '[]',
    ),
    fc.string(),
  );
  fc.assert(
    fc.property(fc.array(line, { size: 'max', maxLength: 40 }), (lines) => {
      const result = readDocument(lines.join('\n'));
      t.true(result.isOk() || result.error.problems.every((p) => p.reason !== ''));
    }),
    { numRuns: 500, seed: 49 },
  );
});

const entrySettings = `[entry]
environment = trial
stores = http://127.0.0.1:1, http://127.0.0.1:2
vm = vm-1
region = north
data-centre = a
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
operators = 127.0.0.1:8082
peer-secrets = 0123456789abcdef
operator-secrets = 0123456789abcdef, fedcba9876543210
`;

test('settings are read and validated', (t) => {
  const settings = readEntrySettings(entrySettings)._unsafeUnwrap();
  t.is(settings.storeUrls.length, 2);
  t.deepEqual(settings.callers, { host: '127.0.0.1', port: 8_080 });
  t.is(settings.operatorSecrets.length, 2);
  t.true(readEntrySettings(entrySettings.replace('0123456789abcdef', 'short')).isErr());
  t.true(readEntrySettings(entrySettings.replace('127.0.0.1:8080', '127.0.0.1')).isErr());
  t.true(readEntrySettings(`${entrySettings}tls-cert = a.pem`).isErr());
  t.true(readEntrySettings(`${entrySettings}colour = red`).isErr());
  t.true(readOperatorSettings('[operator]\nenvironment = trial').isErr());
});

test('listening on all addresses requires an explicit setting', (t) => {
  const onAllAddresses = entrySettings.replace('127.0.0.1:8080', '0.0.0.0:8080');
  t.true(readEntrySettings(onAllAddresses).isErr());
  t.true(readEntrySettings(`${onAllAddresses}listen-on-all = yes`).isOk());
});

const routerText = `[router]
vm = front-1
data-centre = north-a
callers = 10.0.0.1:80
ready = 10.0.0.1:81
peers = 10.0.0.1:82
metrics = 10.0.0.1:83
store = 10.0.0.2:80
`;

test('streams are placed by memory unless the settings name the rates of engines', (t) => {
  t.is(readRouterSettings(routerText)._unsafeUnwrap().streamPlacement, 'memory');
  const byRates = readRouterSettings(`${routerText}[placement]\nstreams = engine-rates\n`);
  t.is(byRates._unsafeUnwrap().streamPlacement, 'engine-rates');
});

test('an invalid value of an optional section is named with its key', (t) => {
  const result = readRouterSettings(`${routerText}[placement]\nstreams = fastest\n`);
  t.regex(result._unsafeUnwrapErr().message, /placement\.streams/);
  t.regex(
    readRouterSettings(`${routerText}[placment]\n`)._unsafeUnwrapErr().message,
    /unknown section/,
  );
});

test('streams have classes only if the settings say so', (t) => {
  t.false(readRouterSettings(routerText)._unsafeUnwrap().hasStreamClasses);
  const withClasses = readRouterSettings(`${routerText}[admission]\nclasses = true\n`);
  t.true(withClasses._unsafeUnwrap().hasStreamClasses);
  const invalid = readRouterSettings(`${routerText}[admission]\nclasses = maybe\n`);
  t.regex(invalid._unsafeUnwrapErr().message, /admission\.classes/);
});

test('the number of transfers of a configuration has a default and must be a whole number', (t) => {
  t.is(readRouterSettings(routerText)._unsafeUnwrap().configTransfers, 3);
  t.is(readRouterSettings(`${routerText}config-transfers = 0`)._unsafeUnwrap().configTransfers, 0);
  t.regex(
    readRouterSettings(`${routerText}config-transfers = few`)._unsafeUnwrapErr().message,
    /config-transfers/,
  );
});

test('bounds on what callers hold are read from their section, and an error names the key', (t) => {
  const readMemory = (text: string) => readRouterSettings(`${routerText}[memory]\n${text}`);
  t.deepEqual(readRouterSettings(routerText)._unsafeUnwrap().memory, {
    callerBytes: undefined,
    allCallersBytes: undefined,
    callerStallMs: 15_000,
    allRequestsBytes: undefined,
  });
  const set =
    'caller-bytes = 1000\nall-callers-bytes = 0\ncaller-stall-ms = 5\nall-requests-bytes = 9';
  t.deepEqual(readMemory(set)._unsafeUnwrap().memory, {
    callerBytes: 1_000,
    allCallersBytes: 0,
    callerStallMs: 5,
    allRequestsBytes: 9,
  });
  t.regex(readMemory('all-requests-bytes = -1')._unsafeUnwrapErr().message, /all-requests-bytes/);
  t.regex(readMemory('caller-bytes = much')._unsafeUnwrapErr().message, /memory\.caller-bytes/);
  t.regex(readMemory('callers = 1')._unsafeUnwrapErr().message, /memory\.callers/);
});
