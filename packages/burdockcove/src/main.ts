/**
 * The `burdockcove` command: runs one entry VM's process.
 */
import { readFile } from 'node:fs/promises';
import { isLeft } from 'fp-ts/lib/Either.js';
import meow from 'meow';
import formatFaults from '@burdockcove/configuration/formatFaults';
import parseSettings from '@burdockcove/configuration/parseSettings';
import runEntryVm from './process/runEntryVm.js';

const FAULT_EXIT_CODE = 1;
const USAGE_EXIT_CODE = 2;
const SECOND_SIGNAL_EXIT_CODE = 3;

const cli = meow(
  `
  Usage
    $ burdockcove --settings FILE

  Options
    --settings FILE  settings of this process, JSON with comments
    --check          check the settings and end
    --help           show this text
    --version        show the version

  The first SIGTERM or SIGINT stops the process with no request cut off;
  the second ends it at once.

  Exit codes
    0  stopped as asked, or the settings are in order
    1  the settings cannot be used; each fault is named
    2  wrong usage
    3  ended at once by a second signal
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: { settings: { type: 'string' }, check: { type: 'boolean', default: false } },
  },
);

const file = cli.flags.settings;
if (file === undefined || cli.input.length > 0) {
  process.stderr.write(cli.help);
  process.exit(USAGE_EXIT_CODE);
}

const text = await readFile(file, 'utf8').catch((error: NodeJS.ErrnoException) => {
  process.stderr.write(`${file}: cannot be read: ${error.code ?? error.message}\n`);
  process.exit(FAULT_EXIT_CODE);
});
const settings = parseSettings(file, text);
if (isLeft(settings)) {
  process.stderr.write(`${formatFaults(settings.left)}\n`);
  process.exit(FAULT_EXIT_CODE);
}
if (!cli.flags.check) {
  await runEntryVm(settings.right, () => process.exit(SECOND_SIGNAL_EXIT_CODE));
}
process.exit(0);
