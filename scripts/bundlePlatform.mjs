// Bundles the platform program into one file with a code cache, so that it starts without reading packages and without
// compiling them: the start of a process is charged, after a restart on a fraction of a core, while callers wait.
import { cpSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import { loadBundle } from './startPlatform.mjs';

const root = new URL('..', import.meta.url).pathname;
const BUNDLE = 'target/bronzelanding-platform.cjs';
const CODE_CACHE = 'target/bronzelanding-platform.cache';
process.chdir(root);

// All that is loaded costs time at the start and memory, so that both packages are reduced to the parts in use.
const UNDICI_PARTS = `
  const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
  Object.assign(Dispatcher.prototype, require('undici/lib/api/index.js'));
  module.exports = {
    Agent: require('undici/lib/dispatcher/agent.js'),
    Client: require('undici/lib/dispatcher/client.js'),
    DecoratorHandler: require('undici/lib/handler/decorator-handler.js'),
    Pool: require('undici/lib/dispatcher/pool.js'),
    buildConnector: require('undici/lib/core/connect.js'),
  };
`;
const ZOD_LOCALES = `export { default as en } from './en.js';`;

/** Replaces undici by the parts that the program imports, and the locales of zod by English. */
const reducePackages = {
  name: 'reduce-packages',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'reduced' }));
    onLoad({ filter: /^undici$/, namespace: 'reduced' }, () => ({
      contents: UNDICI_PARTS,
      resolveDir: root,
    }));
    onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({ contents: ZOD_LOCALES }));
  },
};

await build({
  absWorkingDir: root,
  entryPoints: ['platform/runPlatformHost.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  plugins: [reducePackages],
  // '#dist' refers to the build of src/; the bundle is built from src/ directly, without that build.
  alias: { '#dist': './src' },
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  // Packages that are ES modules ask for their own location, which a bundle in CommonJS lacks.
  define: { 'import.meta.url': 'bundleUrl', 'import.meta.resolve': 'undefined' },
  banner: {
    js: "(function (exports, require, module) { const bundleUrl = require('node:url').pathToFileURL('target/bundle.cjs').href;",
  },
  footer: { js: '})' },
  logLevel: 'warning',
});

cpSync('scripts/startPlatform.mjs', 'target/bronzelanding-platform.mjs');
const { script } = loadBundle(BUNDLE);
// After the modules have been evaluated the cache also holds the functions that this took.
writeFileSync(CODE_CACHE, script.createCachedData());
