/**
 * The `burdockcovectl` command: the operators' tool.
 */
import meow from 'meow';

const HELP = `
  Usage
    $ burdockcovectl COMMAND

  Options
    --help           show this text
    --version        show the version
`;

const cli = meow(HELP, {
  importMeta: import.meta,
  flags: { json: { type: 'boolean', default: false } },
});

process.stdout.write(`json: ${String(cli.flags.json)}\n`);
