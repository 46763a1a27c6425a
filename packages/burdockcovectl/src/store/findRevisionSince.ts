/**
 * Finding of revisions by time.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import type Store from '@burdockcove/store/Store';
import type CtlFailure from '../errors/CtlFailure.js';
import toReadFailure from '../errors/toReadFailure.js';
import getHistoryKey from './getHistoryKey.js';
import parseOperatorChange from './parseOperatorChange.js';

/**
 * The first revision made at or after the moment, or one past `newest`. Found by bisection over the
 * change records, so that a read of a long history stays small; a record that is gone counts as old.
 */
export default async function findRevisionSince(
  store: Store,
  sinceMs: number,
  newest: number,
): Promise<Either<CtlFailure, number>> {
  let low = 1;
  let high = newest + 1;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const entry = await store.readKey(getHistoryKey(middle))();
    if (isLeft(entry)) {
      return left(toReadFailure(entry.left));
    }
    const change = isSome(entry.right) ? parseOperatorChange(entry.right.value.value) : entry.right;
    if (isSome(change) && Date.parse(change.value.at) >= sinceMs) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return right(low);
}
