/**
 * Deltas of bounded size.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StateDelta from './StateDelta.js';

/** Of the entries newer than `afterRevision`, as many as fit, oldest first; the changes of one revision stay together. */
export default function buildDelta(
  newer: readonly StoreEntry[],
  afterRevision: number,
  completeRevision: number,
  maxBytes: number,
): StateDelta {
  const entries: StoreEntry[] = [];
  let bytes = 0;
  for (const entry of [...newer].sort((a, b) => a.revision - b.revision)) {
    const last = entries.at(-1);
    const startsRevision = last !== undefined && last.revision < entry.revision;
    if (startsRevision && bytes + entry.value.length > maxBytes) {
      const cutRevision = Math.min(completeRevision, last.revision);
      return { afterRevision, completeRevision: cutRevision, entries, truncated: true };
    }
    entries.push(entry);
    bytes += entry.value.length;
  }
  return { afterRevision, completeRevision, entries, truncated: false };
}
