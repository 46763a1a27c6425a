/**
 * Changes made between two revisions.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import type Store from '@burdockcove/store/Store';
import type CtlFailure from '../errors/CtlFailure.js';
import toReadFailure from '../errors/toReadFailure.js';
import getHistoryKey from './getHistoryKey.js';
import type OperatorChange from './OperatorChange.js';
import parseOperatorChange from './parseOperatorChange.js';

/** Reads for one command at most. */
const MAX_READS = 200;

/** Changes after `from` up to `to`, oldest first; of a longer span the newest. */
export default async function readChangesBetween(
  store: Store,
  from: number,
  to: number,
): Promise<Either<CtlFailure, readonly OperatorChange[]>> {
  const changes: OperatorChange[] = [];
  for (let revision = Math.max(from + 1, to - MAX_READS); revision <= to; revision += 1) {
    const entry = await store.readKey(getHistoryKey(revision))();
    if (isLeft(entry)) {
      return left(toReadFailure(entry.left));
    }
    const change = isSome(entry.right) ? parseOperatorChange(entry.right.value.value) : entry.right;
    if (isSome(change)) {
      changes.push(change.value);
    }
  }
  return right(changes);
}
