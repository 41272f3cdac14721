// Bundles the platform's program into one file, so that a start reads one file and no packages.
import { build } from 'esbuild';

const root = new URL('..', import.meta.url).pathname;
await build({
  absWorkingDir: root,
  entryPoints: ['platform/main.ts'],
  outfile: 'target/bronzelanding-platform.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  // Only the kind of source differs: the program is built without a separate build of src/.
  alias: { '#dist': './src' },
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  // Packages of the older module system expect these names.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url); import { fileURLToPath as bundleFileUrl } from 'node:url'; import { dirname as bundleDirname } from 'node:path'; const __filename = bundleFileUrl(import.meta.url); const __dirname = bundleDirname(__filename);",
  },
  logLevel: 'warning',
});
