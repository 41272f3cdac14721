// Bundles the platform program into one file, so that it starts from one file without reading packages.
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
  // '#dist' refers to the build of src/; the bundle is built from src/ directly, without that build.
  alias: { '#dist': './src' },
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  // CommonJS packages in the bundle expect these names.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url); import { fileURLToPath as bundleFileUrl } from 'node:url'; import { dirname as bundleDirname } from 'node:path'; const __filename = bundleFileUrl(import.meta.url); const __dirname = bundleDirname(__filename);",
  },
  logLevel: 'warning',
});
