/**
 * Bundles the program for the users' platform under `target/`: one file, its compiled code, and a launcher.
 */
import { spawnSync } from 'node:child_process';
import { copyFileSync, existsSync, rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const LAUNCHER_FILE = 'target/burdockcove-platform.cjs';
const CACHE_FILE = 'target/burdockcove-platform.cache';
/** The options of `deploy/system.toml`: compiled code is only used with the options that it was compiled with. */
const NODE_OPTIONS = ['--max-old-space-size=180'];

/** Modules that the bundle replaces: what they would load delays the start of a restarted VM. */
const REPLACEMENTS = [
  { imported: /^undici$/, by: 'undiciConnections.cjs' },
  { imported: /^node:assert$/, by: 'assert.cjs' },
  // Targets and the store speak HTTP/1.1.
  { imported: /\/client-h2\.js$/, by: 'unused.cjs' },
  // Of prom-client, only the metrics and the registry are used.
  { imported: /^\.\/lib\/(pushgateway|defaultMetrics|cluster)$/, by: 'unused.cjs' },
];

const replacements = {
  name: 'replacements',
  setup({ onResolve }) {
    REPLACEMENTS.forEach(({ imported, by }) => {
      const path = fileURLToPath(new URL(`bundle/${by}`, import.meta.url));
      onResolve({ filter: imported }, () => ({ path }));
    });
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/burdockcove-platform.bundle.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  conditions: ['source'],
  logLevel: 'warning',
  plugins: [replacements],
});
copyFileSync('scripts/bundle/launcher.cjs', LAUNCHER_FILE);
rmSync(CACHE_FILE, { force: true });
// The program ends at once because it has no settings; what it has loaded by then is compiled.
spawnSync(process.execPath, [...NODE_OPTIONS, LAUNCHER_FILE, '--write-code-cache'], {
  env: { ...process.env, BURDOCKCOVE_SETTINGS: '' },
  stdio: 'ignore',
});
if (!existsSync(CACHE_FILE)) {
  throw new Error(`${LAUNCHER_FILE} wrote no compiled code`);
}
