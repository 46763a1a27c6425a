/**
 * The `bench` command: runs one measurement and prints its figures.
 */
import meow from 'meow';
import buildFigure from './buildFigure.js';
import formatFigure from './formatFigure.js';
import listBenches from './listBenches.js';

const DEFAULT_SEED = 20261204;
const USAGE_EXIT_CODE = 2;

const cli = meow(
  `
  Usage
    $ npm run bench -- NAME [--json] [--seed N]
    $ npm run bench -- list
`,
  {
    importMeta: import.meta,
    flags: {
      json: { type: 'boolean', default: false },
      seed: { type: 'number', default: DEFAULT_SEED },
    },
  },
);

const [name] = cli.input;
const benches = listBenches();

if (name === 'list') {
  for (const [key, load] of Object.entries(benches)) {
    const { default: bench } = await load();
    process.stdout.write(`${key.padEnd(14)} ${bench.summary}\n`);
  }
  process.exit(0);
}

const load = name === undefined ? undefined : benches[name];
if (load === undefined) {
  process.stderr.write(`unknown bench ${String(name)}; 'list' names them\n`);
  process.exit(USAGE_EXIT_CODE);
}
const { default: bench } = await load();
const drafts = await bench.run(cli.flags.seed);
for (const draft of drafts) {
  const figure = buildFigure(bench.name, cli.flags.seed, draft);
  process.stdout.write(`${cli.flags.json ? JSON.stringify(figure) : formatFigure(figure)}\n`);
}
process.exit(0);
