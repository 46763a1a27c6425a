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

/** Replaces imports of undici, but for those of the replacement itself. */
const undiciConnections = {
  name: 'undici-connections',
  setup({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({
      path: fileURLToPath(new URL('undiciConnections.cjs', import.meta.url)),
    }));
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
  plugins: [undiciConnections],
});
copyFileSync('scripts/platformLauncher.cjs', LAUNCHER_FILE);
rmSync(CACHE_FILE, { force: true });
// The program ends at once because it has no settings; what it has loaded by then is compiled.
spawnSync(process.execPath, [...NODE_OPTIONS, LAUNCHER_FILE, '--write-code-cache'], {
  env: { ...process.env, BURDOCKCOVE_SETTINGS: '' },
  stdio: 'ignore',
});
if (!existsSync(CACHE_FILE)) {
  throw new Error(`${LAUNCHER_FILE} wrote no compiled code`);
}
