/**
 * The `burdockcovectl` command: the operators' tool.
 */
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { userInfo } from 'node:os';
import meow from 'meow';
import { isLeft } from 'fp-ts/lib/Either.js';
import formatFaults from '@burdockcove/configuration/formatFaults';
import parseSettings from '@burdockcove/configuration/parseSettings';
import EtcdStore from '@burdockcove/store/EtcdStore';
import SystemClock from '@burdockcove/runtime/SystemClock';
import runExplainRequest from './commands/runExplainRequest.js';
import runTrace from './commands/runTrace.js';
import fetchAdmin from './fetchAdmin.js';
import EXIT_CODES from './output/EXIT_CODES.js';
import printResult from './output/printResult.js';
import runCommand from './runCommand.js';

const HELP = `
  Usage
    $ burdockcovectl COMMAND [OPTIONS]

  Commands that change
    apply FILE                        put a configuration file in force
    label KIND NAME LABEL=VALUE …     set labels (LABEL- removes one) on a
                                      target, failure-domain or region
    rollout SELECTOR run|hold|back    give an order on a shift

  Commands that read
    get                               the configuration in force, as a file for apply
    diff FILE                         a file against the configuration in force
    diff --from N [--to M]            what changed between two revisions, and by whom
    history                           operators' changes and the system's own decisions
    rollout [SELECTOR]                where shifts stand
    status                            revision and readiness of entry VMs
    explain SERVICE CLIENT_IP         why this caller goes where it goes
    explain-request HOST PATH         where a request would go now, and why; sends nothing
                                      (--admin is the address of a VM's metrics)
    trace REQUEST_ID [FILE …]         what log files (or standard input) say of a request

  Options
    --settings FILE     settings of an entry VM: its store and admin address are used
    --store URL         store endpoint (may be repeated); BURDOCKCOVE_STORE
    --prefix PREFIX     key prefix in the store [burdockcove/]
    --admin IP:PORT     admin address of an entry VM (may be repeated); BURDOCKCOVE_ADMIN
    --operator NAME     who makes the change; BURDOCKCOVE_OPERATOR [the login name]
    --reason TEXT       why; needed by every change
    --base N            revision the change was made against
    --change-id ID      finish or find an earlier attempt
    --dry-run           show what would move, how far the cap slows it, what would stop it
    --demand SERVICE@REGION=IN_FLIGHT[:PER_SECOND]
                        demand to judge limits by, instead of what the entry VMs observe
    --at TIME           history around 21:40 (UTC), 30m ago or an ISO 8601 time
    --since TIME        history from then on
    --limit N           newest records shown [50]
    --affinity KEY      object of the request to explain
    --customer NAME     customer of the request to explain; never a key
    --method METHOD     method of the request to explain [GET]
    --json              one line of JSON
    --help, --version

  Exit codes
    0 done   1 refused, with the reason   2 usage   3 outcome unknown
`;

/** Timers of the clock do not keep a process alive, so that a wait for the store needs this. */
const KEEP_ALIVE_MS = 60_000;

const STANDARD_INPUT = '/dev/stdin';

const cli = meow(HELP, {
  importMeta: import.meta,
  flags: {
    json: { type: 'boolean', default: false },
    settings: { type: 'string' },
    store: { type: 'string', isMultiple: true },
    prefix: { type: 'string' },
    admin: { type: 'string', isMultiple: true },
    operator: { type: 'string' },
    reason: { type: 'string' },
    base: { type: 'number' },
    changeId: { type: 'string' },
    dryRun: { type: 'boolean', default: false },
    demand: { type: 'string', isMultiple: true },
    at: { type: 'string' },
    since: { type: 'string' },
    limit: { type: 'number', default: 50 },
    affinity: { type: 'string' },
    customer: { type: 'string' },
    method: { type: 'string' },
    from: { type: 'number' },
    to: { type: 'number' },
  },
});
const { env } = process;

function failUsage(text: string): never {
  process.stderr.write(`usage: ${text}\n`);
  process.exit(EXIT_CODES.Usage);
}

function listWords(flags: readonly string[] | undefined, variable: string | undefined) {
  return flags && flags.length > 0 ? flags : (variable?.split(/[\s,]+/).filter(Boolean) ?? []);
}

async function readSettings(file: string) {
  const text = await readFile(file, 'utf8').catch((error: unknown) => failUsage(String(error)));
  const settings = parseSettings(file, text);
  return isLeft(settings) ? failUsage(`\n${formatFaults(settings.left)}`) : settings.right;
}

const [command, ...words] = cli.input;
if (command === undefined) {
  cli.showHelp(EXIT_CODES.Usage);
}
if (command === 'trace') {
  const [requestId, ...files] = words;
  if (requestId === undefined) {
    failUsage('trace REQUEST_ID [FILE …]');
  }
  const sources = files.length > 0 ? files : [STANDARD_INPUT];
  const logs = await Promise.all(
    sources.map((file) => readFile(file, 'utf8').catch((error) => failUsage(String(error)))),
  );
  process.exit(printResult(runTrace(requestId, logs), cli.flags.json, process));
}
const givenAdmins = listWords(cli.flags.admin, env.BURDOCKCOVE_ADMIN);
if (command === 'explain-request') {
  const explained = await runExplainRequest({ admins: givenAdmins, fetchAdmin }, words, cli.flags);
  process.exit(printResult(explained, cli.flags.json, process));
}
const settings = cli.flags.settings ? await readSettings(cli.flags.settings) : undefined;
const stores = listWords(cli.flags.store, env.BURDOCKCOVE_STORE);
const endpoints = stores.length > 0 ? stores : (settings?.store.endpoints ?? []);
if (endpoints.length === 0) {
  failUsage('which store? give --store URL, --settings FILE or BURDOCKCOVE_STORE');
}
const ownAdmin = settings === undefined ? [] : [`${settings.ip}:${settings.adminPort}`];
const clock = new SystemClock();
const prefix = cli.flags.prefix ?? settings?.store.prefix ?? 'burdockcove/';
const store = new EtcdStore(clock, endpoints, prefix);
const keepAlive = setInterval(() => undefined, KEEP_ALIVE_MS);
const result = await runCommand(
  {
    store,
    clock,
    operator: cli.flags.operator ?? env.BURDOCKCOVE_OPERATOR ?? userInfo().username,
    createId: randomUUID,
    admins: givenAdmins.length > 0 ? givenAdmins : ownAdmin,
    fetchAdmin,
  },
  { command, words, flags: { ...cli.flags, demand: cli.flags.demand ?? [] } },
);
clearInterval(keepAlive);
await store.close();
process.exitCode = printResult(result, cli.flags.json, process);
