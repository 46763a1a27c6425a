/**
 * The `demo` command.
 */
import meow from 'meow';
import type DeploymentOptions from '../deployment/DeploymentOptions.js';
import DemoRun from './DemoRun.js';
import formatReport from './formatReport.js';

const USAGE_EXIT_CODE = 2;
const OCTETS: Readonly<Record<string, number>> = { java: 31, estonia: 32 };

const cli = meow(
  `
  Usage
    $ npm run demo -- [--deployment java|estonia] [--json]

  Runs a whole deployment on loopback addresses and ends by itself within a minute.
`,
  {
    importMeta: import.meta,
    flags: {
      deployment: { type: 'string', default: 'java' },
      json: { type: 'boolean', default: false },
      seed: { type: 'number', default: 20261204 },
      log: { type: 'string', default: 'silent' },
    },
  },
);

const name = cli.flags.deployment;
const octet = OCTETS[name];
if (octet === undefined) {
  process.stderr.write(`unknown deployment '${name}'; known: java, estonia\n`);
  process.exit(USAGE_EXIT_CODE);
}
const options: DeploymentOptions = {
  name: name as DeploymentOptions['name'],
  octet,
  entryVmsPerDomain: 2,
  serviceMs: 40,
  listLagMs: 500,
  shiftWindowSeconds: 1,
  stopLimitMs: 15_000,
  seed: cli.flags.seed,
  logLevel: cli.flags.log as DeploymentOptions['logLevel'],
};
const report = await DemoRun.run(options, (line) => {
  process.stderr.write(`${line}\n`);
});
process.stdout.write(cli.flags.json ? `${JSON.stringify(report)}\n` : formatReport(report));
process.exit(0);
