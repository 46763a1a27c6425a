/**
 * Choice of the command, and checks that several commands share.
 */
import { readFile } from 'node:fs/promises';
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { isNone, toUndefined } from 'fp-ts/lib/Option.js';
import type CommandLine from './CommandLine.js';
import type CommandContext from './commands/CommandContext.js';
import type CommandResult from './commands/CommandResult.js';
import parseTime from './commands/parseTime.js';
import readDemand from './commands/readDemand.js';
import runApply from './commands/runApply.js';
import runDiff from './commands/runDiff.js';
import runExplain from './commands/runExplain.js';
import runGet from './commands/runGet.js';
import runHistory from './commands/runHistory.js';
import runLabel from './commands/runLabel.js';
import runRollout from './commands/runRollout.js';
import runStatus from './commands/runStatus.js';
import type CtlFailure from './errors/CtlFailure.js';
import createFailure from './errors/createFailure.js';
import type Demand from './limits/Demand.js';
import parseDemand from './limits/parseDemand.js';

type Result = Either<CtlFailure, CommandResult>;

function failUsage(detail: string): Either<CtlFailure, never> {
  return left(createFailure('Usage', 'read command', detail));
}

async function readText(file: string | undefined): Promise<Either<CtlFailure, string>> {
  if (file === undefined) {
    return failUsage('which file?');
  }
  try {
    return right(await readFile(file, 'utf8'));
  } catch (error) {
    return failUsage(`${file} cannot be read: ${String(error)}`);
  }
}

/** The demand given, else what the entry VMs observe. */
async function gatherDemand(
  context: CommandContext,
  given: readonly string[],
): Promise<Either<CtlFailure, readonly Demand[]>> {
  if (given.length === 0) {
    return right(await readDemand(context));
  }
  const parsed = given.map((text) => ({ text, demand: parseDemand(text) }));
  const wrong = parsed.find(({ demand }) => isNone(demand));
  return wrong === undefined
    ? right(parsed.flatMap(({ demand }) => toUndefined(demand) ?? []))
    : failUsage(`--demand ${wrong.text}: expected SERVICE@REGION=IN_FLIGHT[:PER_SECOND]`);
}

async function runChange(context: CommandContext, line: CommandLine): Promise<Result> {
  const { command, words, flags } = line;
  const { reason, base, changeId, dryRun } = flags;
  if (reason === undefined && !dryRun) {
    return failUsage('say why, with --reason: it goes into the audit trail');
  }
  const demand = await gatherDemand(context, flags.demand);
  if (isLeft(demand)) {
    return demand;
  }
  const request = { reason: reason ?? '', base, changeId, dryRun, demand: demand.right };
  if (command === 'label') {
    return runLabel(context, { ...request, words });
  }
  const [file] = words;
  const text = await readText(file);
  return isLeft(text)
    ? text
    : runApply(context, { ...request, file: file ?? '', text: text.right });
}

async function runDiffCommand(context: CommandContext, line: CommandLine): Promise<Result> {
  const [name] = line.words;
  const { from, to } = line.flags;
  if (name === undefined) {
    return runDiff(context, { from, to });
  }
  const text = await readText(name);
  return isLeft(text) ? text : runDiff(context, { file: { name, text: text.right } });
}

async function runHistoryCommand(context: CommandContext, line: CommandLine): Promise<Result> {
  const { since, at, changeId, limit } = line.flags;
  const nowMs = context.clock.getWallMs();
  const wrong = [since, at].find((text) => text !== undefined && isNone(parseTime(text, nowMs)));
  if (wrong !== undefined) {
    return failUsage(`${wrong}: expected 21:40 (UTC), 30m, or ISO 8601`);
  }
  const read = (text: string | undefined) =>
    text === undefined ? undefined : toUndefined(parseTime(text, nowMs));
  return runHistory(context, { sinceMs: read(since), atMs: read(at), changeId, limit });
}

async function runRolloutCommand(context: CommandContext, line: CommandLine): Promise<Result> {
  const { reason } = line.flags;
  return line.words.length > 1 && reason === undefined
    ? failUsage('say why, with --reason: it goes into the audit trail')
    : runRollout(context, line.words, reason ?? '');
}

const COMMANDS: Readonly<
  Record<string, (context: CommandContext, line: CommandLine) => Promise<Result>>
> = {
  apply: runChange,
  label: runChange,
  get: (context) => runGet(context),
  diff: runDiffCommand,
  history: runHistoryCommand,
  rollout: runRolloutCommand,
  status: (context) => runStatus(context),
  explain: (context, line) => runExplain(context, line.words),
};

/** Runs the command named. */
export default async function runCommand(
  context: CommandContext,
  line: CommandLine,
): Promise<Result> {
  const run = COMMANDS[line.command ?? ''];
  const known = Object.keys(COMMANDS).join(', ');
  return run === undefined
    ? failUsage(`unknown command ${line.command ?? '(none)'}; known: ${known}`)
    : run(context, line);
}
