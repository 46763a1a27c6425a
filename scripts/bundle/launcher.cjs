/**
 * Runs the bundled program with code that was compiled at build time, so that a restarted VM serves sooner and compiles
 * less while it serves.
 *
 * With `--write-code-cache` as its argument, it stores the code compiled so far when the process ends, which it does
 * once its parent process disconnects. A missing cache, or one of another Node.js version, only makes it slower.
 */
// Until the program has loaded, this signal would end the process. The settings are read later, so nothing is missed.
process.on('SIGHUP', () => undefined);

const { existsSync, readFileSync, writeFileSync, writeSync } = require('node:fs');
const { join } = require('node:path');
const { setFlagsFromString } = require('node:v8');
const { Script } = require('node:vm');

// V8 rejects code that was compiled with other options. The modules of Node.js were compiled with the default ones. The
// heap of this process keeps the sizes of its command line, which V8 reads only when it creates the heap.
setFlagsFromString('--max-old-space-size=0');
setFlagsFromString('--min-semi-space-size=0');

const WRITE_CACHE_ARGUMENT = '--write-code-cache';
const PROGRAM_FILE = join(__dirname, 'burdockcove-platform.bundle.cjs');
const CACHE_FILE = join(__dirname, 'burdockcove-platform.cache');
const STDOUT_FD = 1;
/** Options of V8 for a process that serves some hundred requests in its life; the note on processor time has figures. */
const SERVING_OPTIONS = [
  // The optimizing compiler takes 0.25 s of processor time and 45 MB for the HTTP parser of undici, within a second of
  // the start, and 300 requests a second cost no more without it.
  '--no-wasm-tier-up',
  '--no-wasm-dynamic-tiering',
  // Machine code without optimization for every function at its first call, and optimization of fewer functions (the
  // default is 67,584 bytes of bytecode).
  '--always-sparkplug',
  '--interrupt-budget=300000',
];

function logRejection() {
  const line = {
    time: new Date(),
    level: 'WARN',
    message: 'compiled code rejected; compiling anew',
    step: 'start',
    peer: CACHE_FILE,
  };
  try {
    writeSync(STDOUT_FD, `${JSON.stringify(line)}\n`);
  } catch {
    // A log that cannot be written must not prevent the start.
  }
}

const source = readFileSync(PROGRAM_FILE, 'latin1');
const script = new Script(`(function (require, module, exports) {${source}\n})`, {
  filename: PROGRAM_FILE,
  ...(existsSync(CACHE_FILE) ? { cachedData: readFileSync(CACHE_FILE) } : {}),
});
if (script.cachedDataRejected) {
  logRejection();
}
script.runInThisContext()(require, module, module.exports);

if (process.argv.includes(WRITE_CACHE_ARGUMENT)) {
  process.on('exit', () => writeFileSync(CACHE_FILE, script.createCachedData()));
  // eslint-disable-next-line n/no-process-exit -- the build has got what it started this process for.
  process.on('disconnect', () => process.exit());
} else {
  // Set once the program has loaded its modules, since these options would invalidate compiled code too.
  SERVING_OPTIONS.forEach((option) => setFlagsFromString(option));
}
