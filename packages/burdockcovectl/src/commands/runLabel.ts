/**
 * The `label` command: changes labels on one target or place.
 */
import { isLeft, type Either } from 'fp-ts/lib/Either.js';
import type CtlFailure from '../errors/CtlFailure.js';
import type Demand from '../limits/Demand.js';
import applyLabelEdit from './applyLabelEdit.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';
import makeChange from './makeChange.js';
import parseLabelEdit from './parseLabelEdit.js';

/** What the command line gives. */
interface LabelRequest {
  readonly words: readonly string[];
  readonly reason: string;
  readonly base?: number;
  readonly changeId?: string;
  readonly dryRun: boolean;
  readonly demand: readonly Demand[];
}

/** Merged with other operators' changes of other objects; refused where the same object changed. */
export default async function runLabel(
  context: CommandContext,
  { words, base, ...request }: LabelRequest,
): Promise<Either<CtlFailure, CommandResult>> {
  const edit = parseLabelEdit(words);
  if (isLeft(edit)) {
    return edit;
  }
  return makeChange(context, {
    ...request,
    baseRevision: base,
    onlyObject: `${edit.right.kind} ${edit.right.name}`,
    build: (current) => applyLabelEdit(current, edit.right),
  });
}
