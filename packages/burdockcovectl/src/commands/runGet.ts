/**
 * The `get` command: prints the configuration in force.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { isNone } from 'fp-ts/lib/Option.js';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import readCurrent from '../store/readCurrent.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';

/** A file that `apply` takes; its first line names the revision. */
export default async function runGet(
  context: CommandContext,
): Promise<Either<CtlFailure, CommandResult>> {
  const current = await readCurrent(context.store);
  if (isLeft(current)) {
    return current;
  }
  const { stored } = current.right;
  if (isNone(stored)) {
    return left(createFailure('Refused', 'get', 'there is no configuration yet'));
  }
  const { accepted } = stored.value;
  const { configuration, ...change } = accepted;
  return right({
    data: accepted,
    lines: [
      `// burdockcove revision ${change.revision}`,
      `// by ${change.operator} at ${change.acceptedAt}: ${change.reason}`,
      ...JSON.stringify(configuration, null, 2).split('\n'),
    ],
  });
}
