/**
 * One process's way to the store, which can be cut.
 */
import { left } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import StoreDecorator from '@burdockcove/store/StoreDecorator';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import type StoreError from '@burdockcove/types/StoreError';
import buildStoreError from '../store/buildStoreError.js';

/** While cut, calls fail as with a store that is down, and open watches go silent. */
export default class SeveredStore extends StoreDecorator {
  private cut = false;

  private readonly watches = new Set<AbortController>();

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

  override watchPrefix(
    prefix: string,
    fromRevision: number,
    onEvent: (event: StoreEvent) => void,
    signal: AbortSignal,
    onAnswered?: () => void,
  ): TaskEither<StoreError, void> {
    return async () => {
      const severed = new AbortController();
      this.watches.add(severed);
      const both = AbortSignal.any([signal, severed.signal]);
      const result = await super.watchPrefix(prefix, fromRevision, onEvent, both, onAnswered)();
      this.watches.delete(severed);
      return severed.signal.aborted && !signal.aborted
        ? left(buildStoreError('StoreUnavailable', 'watch', 'cut off from the store'))
        : result;
    };
  }

  protected override wrapCall<Answer>(
    call: string,
    task: TaskEither<StoreError, Answer>,
  ): TaskEither<StoreError, Answer> {
    return async () =>
      this.cut ? left(buildStoreError('StoreUnavailable', call, 'cut off from the store')) : task();
  }
}
