import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { routerEvents } from './events.js';

const docs = readFileSync(
  fileURLToPath(new URL('../../../docs/EVENTS.md', import.meta.url)),
  'utf8',
);

test('the events match the table in docs/EVENTS.md', (t) => {
  const rows = [...docs.matchAll(/^\| (2\d{3}) +\| (\w+) +\| (.+?) +\|/gm)].map(
    ([, id, level, text]) => [id, level, text],
  );
  const events = Object.entries(routerEvents).map(([id, { level, text }]) => [id, level, text]);
  t.deepEqual(rows, events);
});
