import { mkdirSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { assembleSamples } from './samples.js';

const root = fileURLToPath(new URL('../../../samples/', import.meta.url));

assembleSamples().forEach((text, name) => {
  const file = `${root}${name}`;
  mkdirSync(file.slice(0, file.lastIndexOf('/')), { recursive: true });
  writeFileSync(file, text);
});
