/**
 * One process's way to the store, which can be cut.
 */
import { left } from 'fp-ts/lib/Either.js';
import type { Option } from 'fp-ts/lib/Option.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type Store from '@burdockcove/store/Store';
import type StoreCommit from '@burdockcove/store/StoreCommit';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import type StoreError from '@burdockcove/types/StoreError';
import buildStoreError from '../store/buildStoreError.js';

/** While cut, calls fail as with a store that is down, and open watches go silent. */
export default class SeveredStore implements Store {
  private cut = false;

  private readonly watches = new Set<AbortController>();

  constructor(private readonly store: Store) {}

  /** Cuts the way to the store or mends it; cutting ends open watches. */
  setCut(cut: boolean): void {
    this.cut = cut;
    if (cut) {
      this.watches.forEach((watch) => watch.abort());
    }
  }

  /** Watches that this process has open. */
  countWatches(): number {
    return this.watches.size;
  }

  readKey(key: string): TaskEither<StoreError, Option<StoreEntry>> {
    return this.pass('read', this.store.readKey(key));
  }

  listKeys(
    prefix: string,
    limit?: number,
    minRevision?: number,
  ): TaskEither<
    StoreError,
    { readonly entries: readonly StoreEntry[]; readonly revision: number }
  > {
    return this.pass('list', this.store.listKeys(prefix, limit, minRevision));
  }

  commitTransaction(transaction: StoreTransaction): TaskEither<StoreError, StoreCommit> {
    return this.pass('commit', this.store.commitTransaction(transaction));
  }

  grantLease(ttlSeconds: number): TaskEither<StoreError, string> {
    return this.pass('grant', this.store.grantLease(ttlSeconds));
  }

  keepAlive(leaseId: string): TaskEither<StoreError, number> {
    return this.pass('keep-alive', this.store.keepAlive(leaseId));
  }

  revokeLease(leaseId: string): TaskEither<StoreError, void> {
    return this.pass('revoke', this.store.revokeLease(leaseId));
  }

  watchPrefix(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
    signal: AbortSignal,
  ): TaskEither<StoreError, void> {
    return async () => {
      const severed = new AbortController();
      this.watches.add(severed);
      const both = AbortSignal.any([signal, severed.signal]);
      const watch = this.store.watchPrefix(prefix, fromRevision, onEvent, both);
      const result = await this.pass('watch', watch)();
      this.watches.delete(severed);
      return severed.signal.aborted && !signal.aborted
        ? left(buildStoreError('StoreUnavailable', 'watch', 'cut off from the store'))
        : result;
    };
  }

  private pass<A>(call: string, task: TaskEither<StoreError, A>): TaskEither<StoreError, A> {
    return async () =>
      this.cut ? left(buildStoreError('StoreUnavailable', call, 'cut off from the store')) : task();
  }
}
