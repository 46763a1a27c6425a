/**
 * The replicated keys, each at the newest store revision learned.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StateDelta from './StateDelta.js';
import buildDelta from './buildDelta.js';

interface Subscription {
  readonly prefix: string;
  readonly listener: (entry: StoreEntry) => void;
}

/** A deleted key is kept as an entry with an empty value, so that an older value cannot come back. */
export default class StateTable {
  private readonly entries = new Map<string, StoreEntry>();

  private readonly subscriptions = new Set<Subscription>();

  private readonly progressListeners = new Set<() => void>();

  private completeRevision = 0;

  /** Every change up to this store revision is in the table. */
  getCompleteRevision(): number {
    return this.completeRevision;
  }

  getEntry(key: string): StoreEntry | undefined {
    return this.entries.get(key);
  }

  /** Entries under the prefix, deleted ones left out. */
  listEntries(prefix: string): readonly StoreEntry[] {
    return [...this.entries.values()].filter(
      ({ key, value }) => value !== '' && key.startsWith(prefix),
    );
  }

  /** Takes the entry in where it is newer than the one known; returns whether it was. */
  mergeEntry(entry: StoreEntry): boolean {
    const known = this.entries.get(entry.key);
    if (known !== undefined && known.revision >= entry.revision) {
      return false;
    }
    this.entries.set(entry.key, entry);
    [...this.subscriptions]
      .filter(({ prefix }) => entry.key.startsWith(prefix))
      .forEach(({ listener }) => listener(entry));
    return true;
  }

  /** Takes in a whole list read at the store's revision; keys missing from it were deleted. */
  mergeSnapshot(entries: readonly StoreEntry[], revision: number): void {
    const listed = new Set(entries.map(({ key }) => key));
    const deleted = [...this.entries.values()].filter(
      (entry) => entry.value !== '' && entry.revision <= revision && !listed.has(entry.key),
    );
    entries.forEach((entry) => this.mergeEntry(entry));
    deleted.forEach(({ key }) => this.mergeEntry({ key, value: '', revision }));
    this.markComplete(revision);
  }

  /** Takes in a delta; returns whether any of it was news. */
  mergeDelta(delta: StateDelta): boolean {
    const news = delta.entries.filter((entry) => this.mergeEntry(entry));
    if (delta.afterRevision <= this.completeRevision) {
      this.markComplete(delta.completeRevision);
    }
    return news.length > 0;
  }

  /** States that no change up to the revision is missing. */
  markComplete(revision: number): void {
    if (revision > this.completeRevision) {
      this.completeRevision = revision;
      this.progressListeners.forEach((listener) => listener());
    }
  }

  /** Changes after the revision, oldest first, cut to about `maxBytes` of values between two revisions. */
  listNewer(afterRevision: number, maxBytes: number): StateDelta {
    const newer = [...this.entries.values()].filter(({ revision }) => revision > afterRevision);
    return buildDelta(newer, afterRevision, this.completeRevision, maxBytes);
  }

  /** Calls the listener with each newer entry under the prefix; returns the way to stop. */
  subscribe(prefix: string, listener: (entry: StoreEntry) => void): () => void {
    const subscription = { prefix, listener };
    this.subscriptions.add(subscription);
    return () => this.subscriptions.delete(subscription);
  }

  /** Calls the listener whenever the complete revision has grown; returns the way to stop. */
  subscribeProgress(listener: () => void): () => void {
    this.progressListeners.add(listener);
    return () => this.progressListeners.delete(listener);
  }
}
