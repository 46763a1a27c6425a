/**
 * Base class for decorators of a store.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type StoreError from '@burdockcove/types/StoreError';
import type Store from './Store.js';
import type StoreCommit from './StoreCommit.js';
import type StoreEntry from './StoreEntry.js';
import type StoreEvent from './StoreEvent.js';
import type StoreTransaction from './StoreTransaction.js';

/** Delegates each call to the decorated store through `wrapCall`. */
export default abstract class StoreDecorator implements Store {
  constructor(protected readonly store: Store) {}

  readKey(key: string): TaskEither<StoreError, Option<StoreEntry>> {
    return this.wrapCall('read', this.store.readKey(key));
  }

  listKeys(
    prefix: string,
    limit?: number,
    minRevision?: number,
  ): TaskEither<
    StoreError,
    { readonly entries: readonly StoreEntry[]; readonly revision: number; readonly era?: number }
  > {
    return this.wrapCall('list', this.store.listKeys(prefix, limit, minRevision));
  }

  commitTransaction(transaction: StoreTransaction): TaskEither<StoreError, StoreCommit> {
    return this.wrapCall('commit', this.store.commitTransaction(transaction));
  }

  grantLease(ttlSeconds: number): TaskEither<StoreError, string> {
    return this.wrapCall('grant', this.store.grantLease(ttlSeconds));
  }

  keepAlive(leaseId: string): TaskEither<StoreError, number> {
    return this.wrapCall('keep-alive', this.store.keepAlive(leaseId));
  }

  revokeLease(leaseId: string): TaskEither<StoreError, void> {
    return this.wrapCall('revoke', this.store.revokeLease(leaseId));
  }

  watchPrefix(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
    signal: AbortSignal,
    onAnswered?: (askedAtMs?: number) => void,
  ): TaskEither<StoreError, void> {
    const watch = this.store.watchPrefix(prefix, fromRevision, onEvent, signal, onAnswered);
    return this.wrapCall('watch', watch);
  }

  /** Wraps every call; `call` is its name. */
  protected abstract wrapCall<Answer>(
    call: string,
    task: TaskEither<StoreError, Answer>,
  ): TaskEither<StoreError, Answer>;
}
