/**
 * What came of a transaction.
 */
import type StoreError from '@burdockcove/types/StoreError';

/**
 * `Conflict`: another change came first, nothing was stored. `Refused`: the store did not take it.
 * `Unknown`: the store may have taken it, and could not be asked in time.
 */
type CommitOutcome =
  | { readonly _tag: 'Accepted'; readonly foundByReadingBack: boolean }
  | { readonly _tag: 'Conflict' }
  | { readonly _tag: 'Refused'; readonly error: StoreError }
  | { readonly _tag: 'Unknown'; readonly error: StoreError };

export default CommitOutcome;
