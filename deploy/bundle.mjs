import { build } from 'esbuild';

/** One file for each program: a restarted VM reads and compiles little. */
await build({
  entryPoints: { router: 'platform/dist/router-main.js' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  external: ['dtrace-provider', 'mv', 'source-map-support', 'safe-json-stringify', 'bufferutil'],
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
