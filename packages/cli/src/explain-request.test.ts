import test from 'ava';
import { explainRequest } from './explain-request.js';

const makeLogLine = (
  second: number,
  vm: string,
  event: number,
  fields: Record<string, unknown>,
): string =>
  JSON.stringify({
    name: 'hemlocksill-router',
    vm,
    event,
    msg: `event ${event}`,
    time: `2026-12-04T00:00:0${second}.000Z`,
    ...fields,
  });

const logLines = [
  'a line of another program {',
  makeLogLine(4, 'vm-1', 2302, { id: 'r1', reason: 'no memory in time' }),
  makeLogLine(1, 'vm-1', 2103, { version: 3 }),
  makeLogLine(2, 'vm-1', 2103, { version: 4 }),
  makeLogLine(2, 'vm-2', 2103, { version: 9 }),
  makeLogLine(2, 'vm-1', 2105, { server: 'i-1', state: 'draining' }),
  makeLogLine(2, 'vm-1', 2105, { server: 'i-2', state: 'ready' }),
  makeLogLine(3, 'vm-1', 2306, { id: 'r1', server: 'i-1', reason: 'connect refused' }),
  makeLogLine(5, 'vm-1', 2103, { version: 5 }),
  makeLogLine(4, 'vm-1', 2301, { id: 'r2' }),
];

test('a trail is ordered by time and shows the state that its VM knew at that time', (t) => {
  const { code, text, json } = explainRequest(logLines, 'r1');
  t.is(code, 0);
  const { trail, beliefs, conclusion } = json as {
    trail: { event: number }[];
    beliefs: { event: number; fields: Record<string, unknown> }[];
    conclusion: string;
  };
  t.deepEqual(
    trail.map((line) => line.event),
    [2306, 2302],
  );
  t.deepEqual(
    beliefs.map(({ fields }) => fields),
    [{ version: 4 }, { server: 'i-1', state: 'draining' }],
  );
  t.is(conclusion, 'event 2302: no memory in time; sends that failed before: i-1: connect refused');
  t.true(text.includes('reason="connect refused"'));
});

test('a request without log lines is reported with an exit code', (t) => {
  t.is(explainRequest(logLines, 'r9').code, 1);
  t.true(explainRequest([], 'r9').text.includes('0 lines'));
});
