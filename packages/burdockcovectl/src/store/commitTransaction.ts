/**
 * Committing of a transaction, with the outcome found out when the store's answer is lost.
 *
 * The transaction compares the revision of a key that it writes, so that however often it is sent,
 * it takes effect at most once. After a lost answer it is sent again: either it takes effect now,
 * or its compare fails, and what the store holds says whose change came first.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type Store from '@burdockcove/store/Store';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import type Clock from '@burdockcove/runtime/Clock';
import waitFor from '@burdockcove/runtime/waitFor';
import type StoreError from '@burdockcove/types/StoreError';
import type CommitOutcome from './CommitOutcome.js';
import type Winner from './Winner.js';

const RETRY_DELAY_MS = 500;
const LIMIT_MS = 15_000;

/** The outcome of one sending; undefined where it must be sent again. */
async function sendOnce(
  store: Store,
  transaction: StoreTransaction,
  readWinner: () => Promise<Winner>,
  lost: StoreError | undefined,
): Promise<CommitOutcome | { readonly _tag: 'Lost'; readonly error: StoreError }> {
  const commit = await store.commitTransaction(transaction)();
  if (isRight(commit)) {
    if (commit.right.committed) {
      return { _tag: 'Accepted', foundByReadingBack: false };
    }
    // With no answer lost before, the failed compare alone proves that nothing was stored.
    const winner = lost === undefined ? 'other' : await readWinner();
    if (winner === 'own') {
      return { _tag: 'Accepted', foundByReadingBack: true };
    }
    return winner === 'other' ? { _tag: 'Conflict' } : { _tag: 'Lost', error: winner };
  }
  const isDoubtful =
    commit.left._tag === 'StoreAnswerLost' || commit.left._tag === 'StoreMalformed';
  if (isDoubtful || lost !== undefined) {
    return { _tag: 'Lost', error: commit.left };
  }
  return { _tag: 'Refused', error: commit.left };
}

/** Sends the transaction until its outcome is known, or the time is up. */
export default async function commitTransaction(
  store: Store,
  clock: Clock,
  transaction: StoreTransaction,
  readWinner: () => Promise<Winner>,
): Promise<CommitOutcome> {
  const endMs = clock.getMonotonicMs() + LIMIT_MS;
  let lost: StoreError | undefined;
  for (;;) {
    const outcome = await sendOnce(store, transaction, readWinner, lost);
    if (outcome._tag !== 'Lost') {
      return outcome;
    }
    lost = outcome.error;
    if (clock.getMonotonicMs() >= endMs) {
      return { _tag: 'Unknown', error: lost };
    }
    await waitFor(clock, RETRY_DELAY_MS);
  }
}
