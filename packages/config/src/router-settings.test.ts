import test from 'ava';
import { readRouterSettings } from './router-settings.js';

const routerSection = `[router]
vm = vm-1
data-centre = a
callers = 127.0.0.1:8080
ready = 127.0.0.1:8081
peers = 127.0.0.1:8082
metrics = 127.0.0.1:8083
store = 127.0.0.1:8084
`;

test('the bounds of cold servers and evacuations have defaults and can be set', (t) => {
  const { coldOverage, coldSlack, evacuateMs } = readRouterSettings(routerSection)._unsafeUnwrap();
  t.deepEqual([coldOverage, coldSlack, evacuateMs], [1.5, 5, 5_000]);
  const text = `${routerSection}cold-overage = 1.25\ncold-slack = 0\nevacuate-ms = 3000\n`;
  const set = readRouterSettings(text)._unsafeUnwrap();
  t.deepEqual([set.coldOverage, set.coldSlack, set.evacuateMs], [1.25, 0, 3_000]);
});

test('the number of descriptors can be set', (t) => {
  t.is(readRouterSettings(routerSection)._unsafeUnwrap().descriptors, undefined);
  t.is(
    readRouterSettings(`${routerSection}descriptors = 4100\n`)._unsafeUnwrap().descriptors,
    4_100,
  );
});

test('an invalid bound is an error that names its field', (t) => {
  [
    'descriptors = 63',
    'descriptors = many',
    'cold-overage = 0.5',
    'cold-overage = much',
    'cold-slack = -1',
    'evacuate-ms = 0',
  ].forEach((line) => {
    const { message } = readRouterSettings(routerSection + line)._unsafeUnwrapErr();
    t.true(message.includes(line.split(' ')[0] ?? ''), message);
  });
});

const listProblems = (text: string): string[] => {
  const result = readRouterSettings(text);
  return result.isErr()
    ? result.error.problems.map((p) => `${p.line} ${p.field}: ${p.reason}`)
    : [];
};

test('without their sections, placement and second attempts are as before', (t) => {
  const settings = readRouterSettings(routerSection)._unsafeUnwrap();
  t.is(settings.plainPlacement, 'slots');
  t.is(settings.secondAttemptShare, 0);
});

test('placement and second attempts are read', (t) => {
  const text = `${routerSection}[placement]\nplain = expected-time\n[second-attempts]\nshare = 0.05\n`;
  const settings = readRouterSettings(text)._unsafeUnwrap();
  t.is(settings.plainPlacement, 'expected-time');
  t.is(settings.secondAttemptShare, 0.05);
});

test('an invalid value of a section is an error that names its key', (t) => {
  t.deepEqual(listProblems(`${routerSection}[placement]\nplain = fast\n`), [
    '10 placement.plain: must be slots or expected-time',
  ]);
  t.deepEqual(listProblems(`${routerSection}[second-attempts]\nshare = 0.21\n`), [
    '10 second-attempts.share: must be a number from 0 to 0.2',
  ]);
  t.deepEqual(listProblems(`${routerSection}[second-attempts]\nshare = -1\nshares = 1\n`), [
    '10 second-attempts.share: must be a number',
    '11 second-attempts.shares: unknown field',
  ]);
  t.deepEqual(listProblems(`${routerSection}[place]\n`), ['9 place: unknown section']);
});

test('problems of all sections are reported together', (t) => {
  const text = `${routerSection.replace('vm = vm-1\n', '')}[placement]\nplain = fast\n`;
  t.deepEqual(listProblems(text), [
    '1 router.vm: missing',
    '9 placement.plain: must be slots or expected-time',
  ]);
});
