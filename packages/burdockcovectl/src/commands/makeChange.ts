/**
 * The way of every change into the store: read, check, build, commit, find out.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { isSome, toUndefined } from 'fp-ts/lib/Option.js';
import type Configuration from '@burdockcove/types/Configuration';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import toCommitFailure from '../errors/toCommitFailure.js';
import buildPreview from '../preview/buildPreview.js';
import formatPreview from '../preview/formatPreview.js';
import type Preview from '../preview/Preview.js';
import buildChangeTransaction from '../store/buildChangeTransaction.js';
import commitTransaction from '../store/commitTransaction.js';
import type CommitOutcome from '../store/CommitOutcome.js';
import type CurrentConfiguration from '../store/CurrentConfiguration.js';
import type OperatorChange from '../store/OperatorChange.js';
import readCurrent from '../store/readCurrent.js';
import readChangeWinner from '../store/readChangeWinner.js';
import readNewSelectors from '../store/readNewSelectors.js';
import buildChangeResult from './buildChangeResult.js';
import type ChangeIntent from './ChangeIntent.js';
import checkBase from './checkBase.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';
import findEarlierAttempt from './findEarlierAttempt.js';

const MAX_ATTEMPTS = 5;

type Result = Either<CtlFailure, CommandResult>;

/** A change that may be committed. */
interface CheckedChange {
  readonly current: CurrentConfiguration;
  readonly mergedOver: readonly OperatorChange[];
  readonly configuration: Configuration;
  readonly preview: Preview;
}

function getConfiguration({ stored }: CurrentConfiguration): Configuration | undefined {
  return toUndefined(stored)?.accepted.configuration;
}

/** Reads the configuration in force and checks base and limits against it. */
async function checkChange(
  { store }: CommandContext,
  intent: ChangeIntent,
  current: CurrentConfiguration,
  base: number,
): Promise<Either<CtlFailure, CheckedChange>> {
  const mergedOver = await checkBase(store, base, current.revision, intent.onlyObject);
  if (isLeft(mergedOver)) {
    return mergedOver;
  }
  const before = getConfiguration(current);
  const configuration = intent.build(before);
  if (isLeft(configuration)) {
    return configuration;
  }
  const preview = buildPreview(current.revision, before, configuration.right, intent.demand);
  return right({
    current,
    mergedOver: mergedOver.right,
    configuration: configuration.right,
    preview,
  });
}

/** The answer where nothing is to be committed, or undefined. */
function endWithoutCommit(intent: ChangeIntent, preview: Preview): Result | undefined {
  const lines = formatPreview(preview);
  if (preview.breaches.length > 0) {
    const { limit, object } = preview.breaches[0] ?? { limit: '', object: '' };
    return left(createFailure('Refused', 'check limits', `limit ${limit} on ${object}`, lines));
  }
  if (preview.changes.length === 0) {
    const data = { outcome: 'unchanged', revision: preview.revision };
    return right({ data, lines: [`nothing to change; revision ${preview.revision} is in force`] });
  }
  return intent.dryRun ? right({ data: { outcome: 'dry-run', ...preview }, lines }) : undefined;
}

async function commitChecked(
  { store, clock, operator }: CommandContext,
  intent: ChangeIntent,
  changeId: string,
  { current, configuration }: CheckedChange,
): Promise<Either<CtlFailure, CommitOutcome>> {
  const newSelectors = await readNewSelectors(store, getConfiguration(current), configuration);
  if (isLeft(newSelectors)) {
    return newSelectors;
  }
  const at = new Date(clock.getWallMs()).toISOString();
  const draft = { operator, reason: intent.reason, changeId, configuration, at };
  const transaction = buildChangeTransaction(current, draft, newSelectors.right);
  const readWinner = () => readChangeWinner(store, current.revision + 1, changeId);
  return right(await commitTransaction(store, clock, transaction, readWinner));
}

/** Makes the change, or says why not; tries again where another change came first and may be merged. */
export default async function makeChange(
  context: CommandContext,
  intent: ChangeIntent,
): Promise<Result> {
  const changeId = intent.changeId ?? context.createId();
  const advice = `'burdockcovectl history --change-id ${changeId}' says what became of it`;
  let base = intent.baseRevision;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const current = await readCurrent(context.store);
    if (isLeft(current)) {
      return current;
    }
    const earlier = await findEarlierAttempt(context.store, current.right, intent.changeId);
    if (isLeft(earlier)) {
      return earlier;
    }
    if (isSome(earlier.right)) {
      return right(earlier.right.value);
    }
    base ??= current.right.revision;
    const checked = await checkChange(context, intent, current.right, base);
    if (isLeft(checked)) {
      return checked;
    }
    const ended = endWithoutCommit(intent, checked.right.preview);
    if (ended !== undefined) {
      return ended;
    }
    const outcome = await commitChecked(context, intent, changeId, checked.right);
    if (isLeft(outcome)) {
      return outcome;
    }
    if (outcome.right._tag === 'Accepted') {
      const revision = current.right.revision + 1;
      return right(buildChangeResult({ ...outcome.right, ...checked.right, revision, changeId }));
    }
    if (outcome.right._tag !== 'Conflict') {
      return left(toCommitFailure(outcome.right, advice));
    }
  }
  const detail = `other changes came first ${MAX_ATTEMPTS} times; nothing was stored`;
  return left(createFailure('Refused', 'commit', detail));
}
