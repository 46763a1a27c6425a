/**
 * The `explain` command: why a caller goes where it goes.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';

const NO_ADMIN = 'give the admin address of an entry VM with --admin IP:PORT';

/** Asks one entry VM after another until one answers; each answers for itself. */
export default async function runExplain(
  context: CommandContext,
  [service, client]: readonly string[],
): Promise<Either<CtlFailure, CommandResult>> {
  if (service === undefined || client === undefined) {
    return left(createFailure('Usage', 'read command', "expected 'explain SERVICE CLIENT_IP'"));
  }
  const query = new URLSearchParams({ service, client });
  let last = createFailure('Usage', 'read command', NO_ADMIN);
  for (const address of context.admins) {
    const answer = await context.fetchAdmin(address, `/explain?${query.toString()}`);
    if (!isLeft(answer)) {
      const { words } = answer.right as { readonly words: readonly string[] };
      return right({ data: answer.right, lines: [`As entry VM ${address} sees it:`, ...words] });
    }
    last = answer.left;
  }
  return left(last);
}
