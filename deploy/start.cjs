const { readFileSync } = require('node:fs');
const { Script } = require('node:vm');

// Without a listener these signals end the process. Nothing is delivered before the program, which is
// loaded synchronously, listens itself.
['SIGHUP', 'SIGTERM'].forEach((signal) => process.on(signal, () => {}));

/** Runs the bundled program with its code cache; V8 ignores a cache that does not match. */
const run = (file, cachedData) => {
  const source = `(function (require, module, process) {${readFileSync(file, 'utf8')}\n})`;
  const script = new Script(source, { filename: file, cachedData });
  script.runInThisContext()(require, module, process);
  return script;
};

const readCache = (file) => {
  try {
    return readFileSync(file);
  } catch {
    return undefined;
  }
};

const bundle = `${__dirname}/router.bundle.js`;
const cache = `${__dirname}/router.cache`;
if (process.env.HEMLOCKSILL_WRITE_CACHE) {
  const script = run(bundle, undefined);
  require('node:fs').writeFileSync(cache, script.createCachedData());
} else run(bundle, readCache(cache));
