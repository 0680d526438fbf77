import test from 'ava';
import { makeEngineClient } from './engine-client.js';
import { callRawService, describeResult, startRawService } from './fixtures/raw-service.js';

const unframedHead = 'HTTP/1.1 200 OK\r\n\r\n';

[0, 10, 4_000_000].forEach((bodyBytes) => {
  // Guards against the part of a response that arrived before a reset being passed on as the whole.
  [0, 5, 50].forEach((delayMs) => {
    test(`a response of a service that is reset after ${delayMs} ms is a failure, beside an upload of ${bodyBytes} bytes`, async (t) => {
      const url = await startRawService(t, (socket) => {
        socket.write(`${unframedHead}part`);
        if (delayMs === 0) socket.resetAndDestroy();
        else setTimeout(() => socket.resetAndDestroy(), delayMs);
      });
      for (let n = 0; n < 3; n += 1)
        t.is(describeResult(await callRawService(t, url, bodyBytes)), 'outcome-unknown');
    });
  });

  test(`a response of a service without a length that ends in the regular way is complete, beside an upload of ${bodyBytes} bytes`, async (t) => {
    const url = await startRawService(t, (socket) => socket.end(`${unframedHead}all`));
    t.is(describeResult(await callRawService(t, url, bodyBytes)), '200 all');
  });

  test(`an early 413 of a service is delivered, beside an upload of ${bodyBytes} bytes`, async (t) => {
    const url = await startRawService(t, (socket) => {
      socket.write('HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\nno', () =>
        socket.resetAndDestroy(),
      );
    });
    t.is(describeResult(await callRawService(t, url, bodyBytes)), '413 no');
  });
});

test('an answer of an engine without a length that is reset is a fault', async (t) => {
  const load = '{"version":"v1","state":"serving","running":0,"queuedTokens":0}';
  const url = await startRawService(t, (socket) => {
    socket.write(unframedHead + load, () => socket.resetAndDestroy());
  });
  const engines = makeEngineClient();
  t.teardown(engines.close);
  const result = await engines.readLoad(url);
  t.is(result.isErr() && result.error, 'lost');
});
