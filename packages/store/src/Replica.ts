/**
 * This entry VM's copy of the state that all entry VMs share.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type StoreEntry from './StoreEntry.js';

/** A copy of the keys under `state/`; each key's store revision never goes back. */
interface Replica {
  /** The entry as last learned, from the store or from a peer. */
  getEntry(key: string): Option<StoreEntry>;
  listEntries(prefix: string): readonly StoreEntry[];
  /** Calls the listener with each newer entry under the prefix (an empty value stands for a deleted key); returns the way to stop. */
  subscribe(prefix: string, listener: (entry: StoreEntry) => void): () => void;
  /** Milliseconds since the copy was last known to be current. */
  getAgeMs(): number;
}

export default Replica;
