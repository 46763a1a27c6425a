/**
 * This entry VM's copy of the store's state, which can be passed on to other entry VMs.
 *
 * Changes may arrive from the store and from another VM at the same time. They are ordered by the store's era and
 * revisions, so that each is applied once and nothing reverts. Changes of two eras are never mixed: a higher era begins
 * with a whole state.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';
import StoreEra from '@burdockcove/store/StoreEra';
import type StoreEvent from '@burdockcove/store/StoreEvent';
import ChangeHistory from './ChangeHistory.js';
import getRevision from './getRevision.js';
import type PeerState from './PeerState.js';
import type StateAge from './StateAge.js';
import type StateSink from './StateSink.js';

/** Passes every change on to its sink. */
export default class StateReplica {
  private readonly entries = new Map<string, StoreEntry>();

  private readonly history = new ChangeHistory();

  private currentRevision = -1;

  private currentEra = 0;

  /** Whether the first state came from a VM that knows of no era, so that the next era may be the same. */
  private isEraUnknown = false;

  /** Whether the store has returned from a snapshot since this process started. */
  private hasReturned = false;

  /** Whether neither the store nor another VM can be read. */
  private isUnavailable = false;

  private isSilent = false;

  constructor(
    private readonly sink: StateSink,
    readonly stateAge: StateAge,
    /** What this process knows of the store's era; the state may be of an earlier one until it is listed again. */
    private readonly storeEra: StoreEra = new StoreEra(),
  ) {}

  /** The revision until which all changes have been applied; -1 before the first state. */
  get revision(): number {
    return this.currentRevision;
  }

  /** The era of the store that the state and its revision belong to. */
  get era(): number {
    return this.currentEra;
  }

  /** Whether the state is of an earlier era than the one that the store is known to be in. */
  isOutdated(): boolean {
    return this.currentRevision >= 0 && this.currentEra < this.storeEra.current;
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
  replaceState(entries: readonly StoreEntry[], revision: number, era = this.currentEra): boolean {
    const isReverted = era === this.currentEra && revision < this.currentRevision;
    if (era < this.currentEra || isReverted) {
      return false;
    }
    const isReturn =
      era > this.currentEra &&
      this.currentRevision >= 0 &&
      (!this.isEraUnknown || revision < this.currentRevision);
    this.isEraUnknown = false;
    this.hasReturned ||= isReturn;
    this.entries.clear();
    entries.forEach((entry) => this.entries.set(entry.key, entry));
    this.history.restart(revision);
    this.currentRevision = revision;
    this.currentEra = era;
    this.storeEra.record(era);
    this.sink.replaceState(entries, isReturn);
    return true;
  }

  /**
   * Applies a change of the era unless a later one has been applied, or the state is of another era; changes of one
   * transaction have the same revision.
   */
  applyEvent(event: StoreEvent, era = this.currentEra): void {
    const revision = getRevision(event);
    if (era !== this.currentEra || revision < this.currentRevision) {
      return;
    }
    this.currentRevision = revision;
    if (event._tag === 'Put') {
      this.entries.set(event.entry.key, event.entry);
    } else {
      this.entries.delete(event.key);
    }
    this.history.record(event);
    this.sink.applyEvent(event);
  }

  /** Applies what another VM has passed on; returns false, without an effect, if it does not fit in by its era. */
  applyPeerState({ content, revision, era: knownEra, kept }: PeerState): boolean {
    if (kept !== undefined) {
      this.sink.applyKept?.(kept);
    }
    const era = knownEra ?? 0;
    if (era < this.storeEra.current || era < this.currentEra) {
      return false;
    }
    if (content._tag === 'Snapshot') {
      if (era > this.currentEra || revision > this.currentRevision) {
        const isEraUnknown =
          knownEra === undefined && (this.currentRevision < 0 || this.isEraUnknown);
        this.replaceState(content.entries, revision, era);
        this.isEraUnknown = isEraUnknown;
      }
      return true;
    }
    if (era > this.currentEra) {
      return false;
    }
    content.events.forEach((event) => this.applyEvent(event));
    this.currentRevision = Math.max(this.currentRevision, revision);
    return true;
  }

  /**
   * Applies entries that the store may have lost, of a state of any era: those that the sender keeps, and those that it
   * has from the store.
   */
  applyKept({ content, kept = [] }: PeerState): void {
    const entries =
      content._tag === 'Snapshot'
        ? content.entries
        : content.events.flatMap((event) => (event._tag === 'Put' ? [event.entry] : []));
    this.sink.applyKept?.([...entries, ...kept]);
  }

  /**
   * Whether a VM that knows of no era must get no state: its revision is of the era before, or it is ahead. It would take
   * a state with a lower revision for a confirmation of its own.
   */
  isBehindUnknownEra(afterRevision: number): boolean {
    return this.hasReturned && afterRevision > this.currentRevision;
  }

  /**
   * Returns the state for another VM: the changes after the revision of the era if they are kept, else a snapshot. The
   * era of a VM that knows of none counts as the same one until a return of the store has been seen.
   */
  buildPeerState(afterRevision: number, era?: number): PeerState {
    const verifiedAgeMs = this.stateAge.getVerifiedAgeMs();
    const kept = this.sink.listKept?.() ?? [];
    const isSameEra = era === undefined ? !this.hasReturned : era === this.currentEra;
    const events = isSameEra ? this.history.listAfter(afterRevision) : null;
    return {
      revision: this.currentRevision,
      ...(this.currentEra > 0 ? { era: this.currentEra } : {}),
      ageMs: this.stateAge.getAgeMs(),
      ...(Number.isFinite(verifiedAgeMs) ? { verifiedAgeMs } : {}),
      ...(kept.length > 0 ? { kept } : {}),
      content:
        events === null
          ? { _tag: 'Snapshot', entries: [...this.entries.values()] }
          : { _tag: 'Changes', events },
    };
  }

  /** Records that every change until the given monotonic time, or until now, is known. */
  recordConfirmed(atMs?: number): void {
    this.stateAge.recordConfirmed(atMs);
  }

  /** Records that a response to a question asked at the monotonic time holds every change until then. */
  recordVerified(askedAtMs: number): void {
    this.stateAge.recordVerified(askedAtMs);
  }

  /** Whether every change of the era until the revision has been applied. */
  hasApplied(revision: number, era: number): boolean {
    return this.currentEra === era && this.currentRevision >= revision;
  }

  /** Returns the entry of the key, if there is one. */
  findEntry(key: string): StoreEntry | undefined {
    return this.entries.get(key);
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
}
