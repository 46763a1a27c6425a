/**
 * Where the store's state goes.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreEvent from '@burdockcove/store/StoreEvent';

/** Told in order; must not throw. */
interface StateSink {
  /** The whole state under the followed prefix. */
  replaceState(entries: readonly StoreEntry[]): void;
  applyEvent(event: StoreEvent): void;
  markStoreUnavailable(): void;
  markStoreAvailable(): void;
}

export default StateSink;
