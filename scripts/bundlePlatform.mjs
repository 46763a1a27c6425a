/**
 * Bundles the program for the users' platform under `target/`: one file, its compiled code, and a launcher.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { copyFileSync, existsSync, rmSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import warmUpProgram from '@burdockcove/platform/warmup/warmUpProgram.mjs';

const LAUNCHER_FILE = 'target/burdockcove-platform.cjs';
const CACHE_FILE = 'target/burdockcove-platform.cache';
/** Settings for the warm-up. */
const SETTINGS_FILE = 'target/warm-up.yaml';
/** The options of `deploy/system.toml`. */
const NODE_OPTIONS = ['--max-old-space-size=180', '--min-semi-space-size=4'];
/** Time for the program to store its compiled code. */
const END_LIMIT_MS = 3000;

/** Modules that the bundle replaces: what they would load delays the start of a restarted VM. */
const REPLACEMENTS = [
  { imported: /^undici$/, by: 'undiciConnections.cjs' },
  { imported: /^node:assert$/, by: 'assert.cjs' },
  // Targets and the store speak HTTP/1.1.
  { imported: /\/client-h2\.js$/, by: 'unused.cjs' },
  // Texts of errors in 50 languages; the program sets none.
  { imported: /\/locales\/index\.js$/, by: 'unused.cjs' },
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
    // Without accessors between the modules, which cost time at each call until it is optimized.
    onResolve({ filter: /^fp-ts\/lib\// }, ({ path }) => ({
      path: fileURLToPath(import.meta.resolve(path.replace('/lib/', '/es6/'))),
    }));
  },
};

/**
 * Starts the program, which stores its compiled code when it ends: once this process disconnects or ends, or at once if
 * the settings are empty.
 */
function startProgram(settingsFile) {
  return spawn(process.execPath, [...NODE_OPTIONS, LAUNCHER_FILE, '--write-code-cache'], {
    env: { ...process.env, BURDOCKCOVE_SETTINGS: settingsFile },
    stdio: ['ignore', 'ignore', 'ignore', 'ipc'],
  });
}

/** Resolves once the program has ended; kills it if it does not end by itself. */
async function endProgram(program) {
  const ended = program.exitCode === null ? once(program, 'exit') : Promise.resolve();
  const timer = setTimeout(() => program.kill('SIGKILL'), END_LIMIT_MS);
  if (program.connected) {
    program.disconnect();
  }
  await ended;
  clearTimeout(timer);
}

/** Without the warm-up, the cache holds only the code that loading the program compiles. */
async function writeCodeCache() {
  const programs = [];
  try {
    await warmUpProgram((settings) => {
      writeFileSync(SETTINGS_FILE, settings);
      programs.push(startProgram(SETTINGS_FILE));
    });
  } catch (error) {
    process.stderr.write(`warm-up failed, so less code is compiled beforehand: ${error.message}\n`);
  }
  await Promise.all(programs.map(endProgram));
  if (!existsSync(CACHE_FILE)) {
    await once(startProgram(''), 'exit');
  }
  rmSync(SETTINGS_FILE, { force: true });
}

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/burdockcove-platform.bundle.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  conditions: ['source'],
  logLevel: 'warning',
  plugins: [replacements],
});
copyFileSync('scripts/bundle/launcher.cjs', LAUNCHER_FILE);
rmSync(CACHE_FILE, { force: true });
await writeCodeCache();
if (!existsSync(CACHE_FILE)) {
  throw new Error(`${LAUNCHER_FILE} wrote no compiled code`);
}
