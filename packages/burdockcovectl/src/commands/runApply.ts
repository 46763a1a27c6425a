/**
 * The `apply` command: puts a configuration file in force.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import formatFaults from '@burdockcove/configuration/formatFaults';
import parseConfiguration from '@burdockcove/configuration/parseConfiguration';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import type Demand from '../limits/Demand.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';
import makeChange from './makeChange.js';
import readBaseRevision from './readBaseRevision.js';

/** What the command line gives. */
interface ApplyRequest {
  readonly file: string;
  readonly text: string;
  readonly reason: string;
  readonly base?: number;
  readonly changeId?: string;
  readonly dryRun: boolean;
  readonly demand: readonly Demand[];
}

/** The base is `--base`, or the revision in the file's comment; without either nothing is changed. */
export default async function runApply(
  context: CommandContext,
  request: ApplyRequest,
): Promise<Either<CtlFailure, CommandResult>> {
  const parsed = parseConfiguration(request.file, request.text);
  if (isLeft(parsed)) {
    const lines = formatFaults(parsed.left).split('\n');
    const detail = `${parsed.left.length} faults in ${request.file}`;
    return left(createFailure('Refused', 'read file', detail, lines));
  }
  const baseRevision = request.base ?? readBaseRevision(request.text);
  if (baseRevision === undefined) {
    const detail =
      'the file does not say which revision it was made against; start from the output of ' +
      `'burdockcovectl get', or give --base (0 for the first configuration)`;
    return left(createFailure('Usage', 'read file', detail));
  }
  const { reason, changeId, dryRun, demand } = request;
  const build = () => right(parsed.right);
  return makeChange(context, { reason, changeId, dryRun, demand, baseRevision, build });
}
