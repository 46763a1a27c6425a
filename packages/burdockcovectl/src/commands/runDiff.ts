/**
 * The `diff` command: compares a file with the configuration in force, or two revisions.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { toUndefined } from 'fp-ts/lib/Option.js';
import formatFaults from '@burdockcove/configuration/formatFaults';
import parseConfiguration from '@burdockcove/configuration/parseConfiguration';
import formatChange from '../changes/formatChange.js';
import listChanges from '../changes/listChanges.js';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import readChangesBetween from '../store/readChangesBetween.js';
import readCurrent from '../store/readCurrent.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';
import describeBetween from './describeBetween.js';

/** What the command line gives: a file, or revisions. */
interface DiffRequest {
  readonly file?: { readonly name: string; readonly text: string };
  readonly from?: number;
  readonly to?: number;
}

/** Without a file, `from` must be given; `to` defaults to the revision in force. */
export default async function runDiff(
  context: CommandContext,
  { file, from, to }: DiffRequest,
): Promise<Either<CtlFailure, CommandResult>> {
  const current = await readCurrent(context.store);
  if (isLeft(current)) {
    return current;
  }
  const { revision, stored } = current.right;
  if (file !== undefined) {
    const parsed = parseConfiguration(file.name, file.text);
    if (isLeft(parsed)) {
      const lines = formatFaults(parsed.left).split('\n');
      return left(createFailure('Refused', 'read file', `faults in ${file.name}`, lines));
    }
    const before = toUndefined(stored)?.accepted.configuration;
    const changes = listChanges(before, parsed.right).map(formatChange);
    return right({ data: { revision, changes }, lines: changes });
  }
  if (from === undefined) {
    return left(createFailure('Usage', 'read command', 'diff needs FILE or --from REVISION'));
  }
  const between = await readChangesBetween(context.store, from, to ?? revision);
  return isLeft(between)
    ? between
    : right({
        data: { from, to: to ?? revision, changes: between.right },
        lines: describeBetween(between.right),
      });
}
