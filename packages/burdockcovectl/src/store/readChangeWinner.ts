/**
 * Whose change made a revision.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import type Store from '@burdockcove/store/Store';
import getHistoryKey from './getHistoryKey.js';
import parseOperatorChange from './parseOperatorChange.js';
import type Winner from './Winner.js';

/** The change record stands in the same transaction as the configuration, so it cannot mislead. */
export default async function readChangeWinner(
  store: Store,
  revision: number,
  changeId: string,
): Promise<Winner> {
  const entry = await store.readKey(getHistoryKey(revision))();
  if (isLeft(entry)) {
    return entry.left;
  }
  const change = isSome(entry.right) ? parseOperatorChange(entry.right.value.value) : entry.right;
  return isSome(change) && change.value.changeId === changeId ? 'own' : 'other';
}
