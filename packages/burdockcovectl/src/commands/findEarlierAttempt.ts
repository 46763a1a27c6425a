/**
 * Finding out about an earlier attempt by its change id.
 */
import { isLeft, right, type Either } from 'fp-ts/lib/Either.js';
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type Store from '@burdockcove/store/Store';
import type CtlFailure from '../errors/CtlFailure.js';
import type CurrentConfiguration from '../store/CurrentConfiguration.js';
import readChangesBetween from '../store/readChangesBetween.js';
import type CommandResult from './CommandResult.js';

/** Changes looked through. */
const MAX_LOOK_BACK = 50;

/** The result of the earlier attempt where it was accepted; an identifier made just now has none. */
export default async function findEarlierAttempt(
  store: Store,
  { revision }: CurrentConfiguration,
  changeId: string | undefined,
): Promise<Either<CtlFailure, Option<CommandResult>>> {
  if (changeId === undefined) {
    return right(none);
  }
  const changes = await readChangesBetween(store, revision - MAX_LOOK_BACK, revision);
  if (isLeft(changes)) {
    return changes;
  }
  const found = changes.right.find((change) => change.changeId === changeId);
  if (found === undefined) {
    return right(none);
  }
  const data = { outcome: 'done', revision: found.revision, changeId, foundByReadingBack: true };
  const lines = [`already accepted as revision ${found.revision}`];
  return right(some({ data, lines }));
}
