// Starts the bundled platform program from its code cache. Node.js compiles the bundle itself if the cache is missing or
// was made by another version. The build copies this file beside the bundle.
import { existsSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Script } from 'node:vm';

/** Evaluates a bundle; returns its script and what it exports. */
export function loadBundle(path, cachePath) {
  const cachedData =
    cachePath !== undefined && existsSync(cachePath) ? readFileSync(cachePath) : undefined;
  const script = new Script(readFileSync(path, 'utf8'), { filename: path, cachedData });
  const module = { exports: {} };
  script.runInThisContext()(module.exports, createRequire(import.meta.url), module);
  return { script, exports: module.exports };
}

if (process.argv[1]?.endsWith('bronzelanding-platform.mjs')) {
  // The bundle sets its own handlers, but evaluating it takes a tenth of a second or more.
  let isReloadPending = false;
  const deferReload = () => {
    isReloadPending = true;
  };
  const exit = () => process.exit(0);
  process.on('SIGHUP', deferReload).on('SIGTERM', exit).on('SIGINT', exit);
  const path = process.argv[1].replace(/\.mjs$/, '');
  const run = loadBundle(`${path}.cjs`, `${path}.cache`).exports.runPlatformHost();
  process.off('SIGHUP', deferReload).off('SIGTERM', exit).off('SIGINT', exit);
  if (isReloadPending) process.emit('SIGHUP');
  await run;
}
