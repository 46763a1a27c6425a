/**
 * The latest changes of the store's state, kept for other entry VMs.
 */
import type StoreEvent from '@burdockcove/store/StoreEvent';
import getRevision from './getRevision.js';

const MAX_CHANGES = 2000;
/** Entry VMs have a heap of 180 MB, and a value may have a megabyte. */
const MAX_BYTES = 8 * 1024 * 1024;

function countBytes(event: StoreEvent): number {
  if (event._tag === 'Delete') {
    return event.key.length;
  }
  return event.entry.key.length + event.entry.value.length;
}

/** Limited by the number of changes and by their size; the older half is discarded at a limit. */
export default class ChangeHistory {
  /** Changes after `sinceRevision`, in order. */
  private events: StoreEvent[] = [];

  private bytes = 0;

  private sinceRevision = -1;

  /** Returns the characters of all keys and values that are kept: a byte each, or two in texts beyond Latin-1. */
  countBytes(): number {
    return this.bytes;
  }

  /** Discards all changes up to the revision. */
  restart(revision: number): void {
    this.events = [];
    this.bytes = 0;
    this.sinceRevision = revision;
  }

  record(event: StoreEvent): void {
    this.events.push(event);
    this.bytes += countBytes(event);
    if (this.events.length > MAX_CHANGES || this.bytes > MAX_BYTES) {
      this.discardOlder();
    }
  }

  /** Returns the changes after the revision, or null if some of them are no longer kept. */
  listAfter(revision: number): readonly StoreEvent[] | null {
    return revision < this.sinceRevision
      ? null
      : this.events.filter((event) => getRevision(event) > revision);
  }

  /** Keeps whole transactions only, whose changes have the same revision. */
  private discardOlder(): void {
    let changes = 0;
    let bytes = 0;
    const firstDiscarded = this.events.findLast((event) => {
      changes += 1;
      bytes += countBytes(event);
      return changes > MAX_CHANGES / 2 || bytes > MAX_BYTES / 2;
    });
    if (firstDiscarded === undefined) {
      return;
    }
    this.sinceRevision = getRevision(firstDiscarded);
    this.events = this.events.filter((event) => getRevision(event) > this.sinceRevision);
    this.bytes = this.events.reduce((sum, event) => sum + countBytes(event), 0);
  }
}
