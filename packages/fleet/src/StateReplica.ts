/**
 * This entry VM's copy of the store's state, which can be passed on to other entry VMs.
 *
 * Changes may arrive from the store and from another VM at the same time. They are ordered by the store's revisions, so
 * that each is applied once and nothing reverts.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import type PeerState from './PeerState.js';
import type StateAge from './StateAge.js';
import type StateSink from './StateSink.js';

/** Changes kept for other VMs; one that is further behind gets a snapshot. */
const MAX_CHANGES = 2000;

function getRevision(event: StoreEvent): number {
  return event._tag === 'Put' ? event.entry.revision : event.revision;
}

/** Passes every change on to its sink. */
export default class StateReplica {
  private readonly entries = new Map<string, StoreEntry>();

  /** Changes after `changesSince`, in order. */
  private changes: StoreEvent[] = [];

  private changesSince = -1;

  private currentRevision = -1;

  /** Whether neither the store nor another VM can be read. */
  private isUnavailable = false;

  private isSilent = false;

  constructor(
    private readonly sink: StateSink,
    readonly stateAge: StateAge,
  ) {}

  /** The revision until which all changes have been applied; -1 before the first state. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Whether the store does not respond to this VM. */
  isStoreSilent(): boolean {
    return this.isSilent;
  }

  /** Records whether the store responds to this VM. */
  setStoreSilent(isSilent: boolean): void {
    this.isSilent = isSilent;
  }

  /** Replaces the whole state; returns false, without an effect, if it is older than the current one. */
  replaceState(entries: readonly StoreEntry[], revision: number): boolean {
    if (revision < this.currentRevision) {
      return false;
    }
    this.entries.clear();
    entries.forEach((entry) => this.entries.set(entry.key, entry));
    this.changes = [];
    this.changesSince = revision;
    this.currentRevision = revision;
    this.sink.replaceState(entries);
    return true;
  }

  /** Applies a change unless a later one has been applied; changes of one transaction have the same revision. */
  applyEvent(event: StoreEvent): void {
    const revision = getRevision(event);
    if (revision < this.currentRevision) {
      return;
    }
    this.currentRevision = revision;
    if (event._tag === 'Put') {
      this.entries.set(event.entry.key, event.entry);
    } else {
      this.entries.delete(event.key);
    }
    this.recordChange(event);
    this.sink.applyEvent(event);
  }

  /** Applies what another VM has passed on. */
  applyPeerState({ content, revision }: PeerState): void {
    if (content._tag === 'Snapshot') {
      if (revision > this.currentRevision) {
        this.replaceState(content.entries, revision);
      }
      return;
    }
    content.events.forEach((event) => this.applyEvent(event));
    this.currentRevision = Math.max(this.currentRevision, revision);
  }

  /** Returns the state for another VM: the changes after the revision if they are kept, else a snapshot. */
  buildPeerState(afterRevision: number): PeerState {
    const { currentRevision: revision } = this;
    const ageMs = this.stateAge.getAgeMs();
    if (afterRevision >= this.changesSince) {
      const events = this.changes.filter((event) => getRevision(event) > afterRevision);
      return { revision, ageMs, content: { _tag: 'Changes', events } };
    }
    return { revision, ageMs, content: { _tag: 'Snapshot', entries: [...this.entries.values()] } };
  }

  /** Records that every change until the given monotonic time, or until now, is known. */
  recordConfirmed(atMs?: number): void {
    this.stateAge.recordConfirmed(atMs);
  }

  markStoreUnavailable(): void {
    if (!this.isUnavailable) {
      this.isUnavailable = true;
      this.sink.markStoreUnavailable();
    }
  }

  markStoreAvailable(): void {
    if (this.isUnavailable) {
      this.isUnavailable = false;
      this.sink.markStoreAvailable();
    }
  }

  /** Discards the older half of the changes when there are too many, at the end of a transaction. */
  private recordChange(event: StoreEvent): void {
    this.changes.push(event);
    if (this.changes.length > MAX_CHANGES) {
      const middle = this.changes[Math.floor(MAX_CHANGES / 2)] as StoreEvent;
      this.changesSince = getRevision(middle);
      this.changes = this.changes.filter((change) => getRevision(change) > this.changesSince);
    }
  }
}
