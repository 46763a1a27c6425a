/**
 * Bundles the program for the users' platform into one file under `target/`, so that a restarted VM loads one file.
 */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/burdockcove-platform.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  logLevel: 'warning',
  banner: {
    // Bundled CommonJS packages load Node.js modules through `require`.
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
});
