/**
 * Interface of the platform's key-value store.
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
   * Returns the entries whose keys start with the prefix, in key order, and the store's revision at the read. With
   * `minRevision`, returns only entries changed at that revision or later (deleted keys are not reported). `era` is the
   * store's era at the read, absent where the adapter knows none.
   */
  listKeys(
    prefix: string,
    limit?: number,
    minRevision?: number,
  ): TaskEither<
    StoreError,
    { readonly entries: readonly StoreEntry[]; readonly revision: number; readonly era?: number }
  >;
  commitTransaction(transaction: StoreTransaction): TaskEither<StoreError, StoreCommit>;
  /** Grants a lease that expires after the time to live unless it is renewed; returns its id. */
  grantLease(ttlSeconds: number): TaskEither<StoreError, string>;
  /** Renews the lease; returns the remaining seconds, or zero if it has expired. */
  keepAlive(leaseId: string): TaskEither<StoreError, number>;
  revokeLease(leaseId: string): TaskEither<StoreError, void>;
  /**
   * Reports changes from the revision on, which is one of the era known at the call, until the signal is aborted (right) or the watch is interrupted (left). Changes
   * of one transaction are reported synchronously, one after another. The error is `StoreRefused` if the store no longer
   * keeps changes that old, or is in another era, so that the keys must be listed again. `onAnswered` is called at each response of the
   * store, even if nothing changed, with the monotonic time in milliseconds at which the store was asked for it, where
   * the adapter knows that.
   */
  watchPrefix(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
    signal: AbortSignal,
    onAnswered?: (askedAtMs?: number) => void,
  ): TaskEither<StoreError, void>;
}

export default Store;
