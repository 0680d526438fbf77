import { createServer } from 'node:net';
import test from 'ava';
import { reservePorts } from './reserve-ports.js';

test('ports are reserved once, also by searches at the same time', async (t) => {
  const found = await Promise.all(Array.from({ length: 40 }, () => reservePorts(10)));
  t.is(new Set(found.flat()).size, 400);
});

test('a reserved port can be listened on, again and again', async (t) => {
  const [port = 0] = await reservePorts(1);
  for (let round = 0; round < 3; round += 1) {
    const server = createServer();
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    await new Promise((resolve) => {
      server.close(resolve);
    });
  }
  t.pass();
});
