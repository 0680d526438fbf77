import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const here = (path) => fileURLToPath(new URL(path, import.meta.url));

const leanAssert = here('lean/assert.cjs');

/** Replaces modules that are large, or slow in a bundle, with what the router uses of them. */
const lean = {
  name: 'lean',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: here('lean/undici.mjs') }));
    onResolve({ filter: /^(node:)?https?2?$/ }, ({ path }) =>
      /http$/.test(path) ? undefined : { path: here('lean/absent.mjs') },
    );
    onResolve({ filter: /^(node:)?assert$/ }, ({ importer }) =>
      importer === leanAssert ? undefined : { path: leanAssert },
    );
    onResolve({ filter: /locales\/index\.js$/ }, () => ({ path: here('lean/zod-locales.mjs') }));
  },
};

/** Bundles the program into one file, so that a restarted VM has little to read and compile. */
await build({
  entryPoints: { 'router.bundle': 'platform/dist/router-main.js' },
  outdir: 'target',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  external: ['dtrace-provider', 'mv', 'source-map-support', 'safe-json-stringify'],
  plugins: [lean],
});

/** Node.js options of the router, as in system.toml; a code cache is valid only with the same. */
const options = ['--expose-gc', '--max-old-space-size=110', '--max-semi-space-size=2'];

mkdirSync('target', { recursive: true });
copyFileSync(here('start.cjs'), 'target/router.cjs');
execFileSync(process.execPath, [...options, 'target/router.cjs'], {
  env: { HEMLOCKSILL_WRITE_CACHE: 'yes' },
  stdio: 'ignore',
});
