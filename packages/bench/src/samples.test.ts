import { readFileSync } from 'node:fs';
import test from 'ava';
import { readDocument } from '@hemlocksill/config/document.js';
import { readEntrySettings, readOperatorSettings } from '@hemlocksill/config/settings.js';
import { assembleSamples } from './samples.js';

test('the sample files equal the generated ones, and all are valid', (t) => {
  assembleSamples().forEach((text, name) => {
    const file = new URL(`../../../samples/${name}`, import.meta.url);
    t.is(readFileSync(file, 'utf8'), text);
    if (name.endsWith('production.ini')) t.true(readDocument(text).isOk(), name);
    else if (name.includes('operator')) t.true(readOperatorSettings(text).isOk(), name);
    else t.true(readEntrySettings(text).isOk(), name);
  });
});
