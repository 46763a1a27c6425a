/**
 * Keys of store events.
 */
import type StoreEvent from '@burdockcove/store/StoreEvent';

/** The key that the event is about. */
export default function getEventKey(event: StoreEvent): string {
  return event._tag === 'Put' ? event.entry.key : event.key;
}
