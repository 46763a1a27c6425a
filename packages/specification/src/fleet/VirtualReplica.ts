/**
 * A replica whose entries are handed to it by the fleet.
 */
import { fromNullable, type Option } from 'fp-ts/lib/Option.js';
import type Replica from '@burdockcove/store/Replica';
import type StoreEntry from '@burdockcove/store/StoreEntry';

/** Keeps the newest entry of each key. */
export default class VirtualReplica implements Replica {
  private readonly entries = new Map<string, StoreEntry>();

  private readonly listeners = new Set<(entry: StoreEntry) => void>();

  getEntry(key: string): Option<StoreEntry> {
    return fromNullable(this.entries.get(key));
  }

  listEntries(prefix: string): readonly StoreEntry[] {
    return [...this.entries.values()].filter((entry) => entry.key.startsWith(prefix));
  }

  subscribe(prefix: string, listener: (entry: StoreEntry) => void): () => void {
    const filtered = (entry: StoreEntry): void => {
      if (entry.key.startsWith(prefix)) {
        listener(entry);
      }
    };
    this.listeners.add(filtered);
    return () => this.listeners.delete(filtered);
  }

  getAgeMs(): number {
    return 0;
  }

  applyEntry(entry: StoreEntry): void {
    const known = this.entries.get(entry.key);
    if (known === undefined || known.revision < entry.revision) {
      this.entries.set(entry.key, entry);
      this.listeners.forEach((listener) => listener(entry));
    }
  }
}
