/**
 * Receiver of the state read from the store.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreEvent from '@burdockcove/store/StoreEvent';

/** Methods are called in the order of the changes and must not throw. */
interface StateSink {
  /**
   * Replaces the whole state under the followed prefix. `isReturn` is set if the store has returned from a snapshot since
   * the last change, so that what it lacks may have been lost rather than removed.
   */
  replaceState(entries: readonly StoreEntry[], isReturn: boolean): void;
  applyEvent(event: StoreEvent): void;
  /** Returns entries that count although the store, since a return, shows earlier ones; absent: none are kept. */
  listKept?(): readonly StoreEntry[];
  /** Applies those of another VM's entries that are newer than what the store shows; absent: none are kept. */
  applyKept?(entries: readonly StoreEntry[]): void;
  markStoreUnavailable(): void;
  markStoreAvailable(): void;
}

export default StateSink;
