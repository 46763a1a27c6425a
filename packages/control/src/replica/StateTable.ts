/**
 * The replicated keys, each at the newest store revision learned.
 */
import type StoreEntry from '@burdockcove/platform/StoreEntry';
import type StateDelta from './StateDelta.js';

interface Subscription {
  readonly prefix: string;
  readonly listener: (entry: StoreEntry) => void;
}

/** A deleted key is kept as an entry with an empty value, so that an older value cannot come back. */
export default class StateTable {
  private readonly entries = new Map<string, StoreEntry>();

  private readonly subscriptions = new Set<Subscription>();

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

  /** Takes in all changes after some revision up to `completeRevision`, if that revision was reached here. */
  mergeDelta(delta: StateDelta): void {
    delta.entries.forEach((entry) => this.mergeEntry(entry));
    if (delta.afterRevision <= this.completeRevision) {
      this.markComplete(delta.completeRevision);
    }
  }

  /** States that no change up to the revision is missing. */
  markComplete(revision: number): void {
    this.completeRevision = Math.max(this.completeRevision, revision);
  }

  /** Changes after the revision, oldest first, at most about `maxBytes` of values but at least one entry. */
  listNewer(afterRevision: number, maxBytes: number): StateDelta {
    const newer = [...this.entries.values()]
      .filter(({ revision }) => revision > afterRevision)
      .sort((a, b) => a.revision - b.revision);
    const entries: StoreEntry[] = [];
    let bytes = 0;
    for (const entry of newer) {
      const cut = entries.at(-1);
      const startsRevision = cut !== undefined && cut.revision < entry.revision;
      if (startsRevision && bytes + entry.value.length > maxBytes) {
        const completeRevision = Math.min(this.completeRevision, cut.revision);
        return { afterRevision, entries, completeRevision };
      }
      entries.push(entry);
      bytes += entry.value.length;
    }
    return { afterRevision, entries, completeRevision: this.completeRevision };
  }

  /** Calls the listener with each newer entry under the prefix; returns the way to stop. */
  subscribe(prefix: string, listener: (entry: StoreEntry) => void): () => void {
    const subscription = { prefix, listener };
    this.subscriptions.add(subscription);
    return () => this.subscriptions.delete(subscription);
  }
}
