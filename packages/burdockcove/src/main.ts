/**
 * The `burdockcove` command: runs one entry VM's process.
 */
import meow from 'meow';

const HELP = `
  Usage
    $ burdockcove --settings FILE

  Options
    --settings FILE  settings of this process, JSON with comments
    --help           show this text
    --version        show the version
`;

const cli = meow(HELP, {
  importMeta: import.meta,
  flags: { settings: { type: 'string', isRequired: true } },
});

process.stdout.write(`settings: ${cli.flags.settings}\n`);
