/**
 * The `explain-request` command: where a request would go now, as an entry VM on the users' platform sees it.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import type RequestExplanation from '../requests/RequestExplanation.js';
import formatRequestExplanation from '../requests/formatRequestExplanation.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';

const STEP = 'read command';
const NO_ADMIN = "give the address of an entry VM's metrics with --admin IP:PORT";

interface RequestFlags {
  readonly affinity?: string | undefined;
  readonly customer?: string | undefined;
  readonly method?: string | undefined;
}

/** Asks one entry VM after another until one answers; each answers for itself. */
export default async function runExplainRequest(
  { admins, fetchAdmin }: Pick<CommandContext, 'admins' | 'fetchAdmin'>,
  [host, path]: readonly string[],
  { affinity, customer, method }: RequestFlags,
): Promise<Either<CtlFailure, CommandResult>> {
  if (host === undefined || path === undefined) {
    return left(createFailure('Usage', STEP, "expected 'explain-request HOST PATH'"));
  }
  const query = new URLSearchParams({
    host,
    path,
    ...(affinity !== undefined && { affinity }),
    ...(customer !== undefined && { customer }),
    ...(method !== undefined && { method }),
  });
  let last = createFailure('Usage', STEP, NO_ADMIN);
  for (const address of admins) {
    const answer = await fetchAdmin(address, `/explain?${query.toString()}`);
    if (!isLeft(answer)) {
      const words = formatRequestExplanation(answer.right as RequestExplanation);
      return right({ data: answer.right, lines: [`As entry VM ${address} sees it:`, ...words] });
    }
    last = answer.left;
  }
  return left(last);
}
