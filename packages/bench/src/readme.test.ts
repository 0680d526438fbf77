import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import test from 'ava';

const packagesWithExample = ['config', 'rate', 'claims', 'placement', 'routing'];

const resolvePackagePath = (path: string): string =>
  fileURLToPath(new URL(`../../${path}`, import.meta.url));

packagesWithExample.forEach((packageName) => {
  test(`the README example of ${packageName} runs`, async (t) => {
    const readme = readFileSync(resolvePackagePath(`${packageName}/README.md`), 'utf8');
    const code = /```js\n([^]*?)```/.exec(readme)?.[1];
    t.truthy(code);
    const file = resolvePackagePath(`${packageName}/dist/readme-example.mjs`);
    writeFileSync(file, code ?? '');
    await t.notThrowsAsync(import(file));
  });
});
