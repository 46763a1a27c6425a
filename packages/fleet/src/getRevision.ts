/**
 * Revision of a change.
 */
import type StoreEvent from '@burdockcove/store/StoreEvent';

/** Returns the store's revision at the change. */
export default function getRevision(event: StoreEvent): number {
  return event._tag === 'Put' ? event.entry.revision : event.revision;
}
