/**
 * The store as one virtual process reaches it.
 */
import { left, type Either } from 'fp-ts/lib/Either.js';
import type { Option } from 'fp-ts/lib/Option.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type Store from '@burdockcove/store/Store';
import type StoreCommit from '@burdockcove/store/StoreCommit';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import type StoreError from '@burdockcove/types/StoreError';
import type VirtualNetwork from './VirtualNetwork.js';
import type VirtualProcess from './VirtualProcess.js';

const CALL_TIMEOUT_MS = 2_000;

/** Calls are delayed and lost by the network; a write whose answer is lost may take effect later. */
export default class VirtualStore implements Store {
  constructor(
    private readonly address: string,
    private readonly process: VirtualProcess,
    private readonly network: VirtualNetwork,
    private readonly store: Store,
  ) {}

  readKey(key: string): TaskEither<StoreError, Option<StoreEntry>> {
    return this.callStore('read', 'StoreUnavailable', this.store.readKey(key));
  }

  listKeys(
    prefix: string,
    limit?: number,
  ): TaskEither<
    StoreError,
    { readonly entries: readonly StoreEntry[]; readonly revision: number }
  > {
    return this.callStore('list', 'StoreUnavailable', this.store.listKeys(prefix, limit));
  }

  commitTransaction(transaction: StoreTransaction): TaskEither<StoreError, StoreCommit> {
    const commit = this.store.commitTransaction(transaction);
    return this.callStore('commit', 'StoreAnswerLost', commit);
  }

  grantLease(ttlSeconds: number): TaskEither<StoreError, string> {
    return this.callStore('grant', 'StoreAnswerLost', this.store.grantLease(ttlSeconds));
  }

  keepAlive(leaseId: string): TaskEither<StoreError, number> {
    return this.callStore('keep alive', 'StoreAnswerLost', this.store.keepAlive(leaseId));
  }

  revokeLease(leaseId: string): TaskEither<StoreError, void> {
    return this.callStore('revoke', 'StoreAnswerLost', this.store.revokeLease(leaseId));
  }

  watchPrefix(): TaskEither<StoreError, void> {
    return async () => left(VirtualStore.buildError('StoreUnavailable', 'watch'));
  }

  private callStore<A>(
    step: string,
    tag: StoreError['_tag'],
    call: TaskEither<StoreError, A>,
  ): TaskEither<StoreError, A> {
    return () =>
      new Promise<Either<StoreError, A>>((resolve) => {
        const timer = this.process.startTimer(CALL_TIMEOUT_MS, () =>
          resolve(left(VirtualStore.buildError(tag, step))),
        );
        this.network.carryToStore(this.address, () => {
          call().then((answer) =>
            this.network.carryFromStore(this.address, () =>
              this.process.deliver(() => {
                timer.cancel();
                resolve(answer);
              }),
            ),
          );
        });
      });
  }

  private static buildError(_tag: StoreError['_tag'], step: string): StoreError {
    return { _tag, step, peer: 'store', detail: 'no answer in time' };
  }
}
