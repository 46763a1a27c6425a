/**
 * Local replica of the state shared by all entry VMs.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type StoreEntry from './StoreEntry.js';

/** A replica of the keys under `state/`; the store revision of each key never decreases. */
interface Replica {
  /** Returns the entry last received from the store or from a peer. */
  getEntry(key: string): Option<StoreEntry>;
  listEntries(prefix: string): readonly StoreEntry[];
  /**
   * Calls the listener with each newer entry under the prefix (an empty value means a deleted key); returns a function that
   * unsubscribes.
   */
  subscribe(prefix: string, listener: (entry: StoreEntry) => void): () => void;
  /** Returns the milliseconds since the replica was last known to be current. */
  getAgeMs(): number;
}

export default Replica;
