import test from 'ava';
import { makeEngineClient } from './engine-client.js';
import { callRawService, describeResult, startRawService } from './fixtures/raw-service.js';

const load = '{"version":"v1","state":"serving","running":0,"queuedTokens":0}';
const length = `Content-Length: ${load.length}`;

const invalidHeads: readonly [name: string, lines: readonly string[]][] = [
  ['the status 000', ['HTTP/1.1 000 OK', length]],
  ['the status 099', ['HTTP/1.1 099 OK', length]],
  ['a blank in a name', ['HTTP/1.1 200 OK', length, 'X Bad: v']],
  ['a blank behind a name', ['HTTP/1.1 200 OK', 'Content-Length : 2']],
  ['a blank before a name', ['HTTP/1.1 200 OK', length, ' X-Bad: v']],
  ['a control byte in a name', ['HTTP/1.1 200 OK', 'X\x01Bad: v', length]],
  ['a null byte in a name', ['HTTP/1.1 200 OK', 'X\0: v', length]],
];

// Guards against a response that is none being taken for an answer.
invalidHeads.forEach(([name, lines]) => {
  test(`a response of a service or an engine with ${name} is no answer`, async (t) => {
    const url = await startRawService(t, (socket) =>
      socket.end([...lines, '', load].join('\r\n'), 'latin1'),
    );
    t.is(describeResult(await callRawService(t, url, 10)), 'outcome-unknown');
    const engines = makeEngineClient();
    t.teardown(engines.close);
    const result = await engines.readLoad(url);
    t.is(result.isErr() && result.error, 'lost');
  });
});
