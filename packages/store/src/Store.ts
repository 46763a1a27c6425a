/**
 * The platform's key-value store, as the rest of burdockcove sees it.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type StoreError from '@burdockcove/types/StoreError';
import type StoreCommit from './StoreCommit.js';
import type StoreEntry from './StoreEntry.js';
import type StoreEvent from './StoreEvent.js';
import type StoreTransaction from './StoreTransaction.js';

/** Every call ends within the adapter's timeout. */
interface Store {
  readKey(key: string): TaskEither<StoreError, Option<StoreEntry>>;
  /**
   * Entries whose keys start with the prefix, in key order, with the store's revision at the read; only those changed
   * at `minRevision` or later where it is given (keys deleted since are then not seen).
   */
  listKeys(
    prefix: string,
    limit?: number,
    minRevision?: number,
  ): TaskEither<StoreError, { readonly entries: readonly StoreEntry[]; readonly revision: number }>;
  commitTransaction(transaction: StoreTransaction): TaskEither<StoreError, StoreCommit>;
  /** Grants a lease that ends after the time to live unless it is kept alive; returns its id. */
  grantLease(ttlSeconds: number): TaskEither<StoreError, string>;
  /** Returns the seconds left; zero when the lease has ended. */
  keepAlive(leaseId: string): TaskEither<StoreError, number>;
  revokeLease(leaseId: string): TaskEither<StoreError, void>;
  /**
   * Reports changes from the revision on, those of one transaction without a pause, until the signal is aborted (right) or the watch is cut (left); the error is
   * `StoreRefused` where the store no longer keeps changes that old, so that the keys must be listed again. `onAnswered` is called whenever the store
   * was heard, also where nothing changed.
   */
  watchPrefix(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
    signal: AbortSignal,
    onAnswered?: () => void,
  ): TaskEither<StoreError, void>;
}

export default Store;
