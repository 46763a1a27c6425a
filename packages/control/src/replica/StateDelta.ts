/**
 * Changes of the replicated state between two store revisions.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';

/** With these entries, a copy complete up to `afterRevision` is complete up to `completeRevision`. */
interface StateDelta {
  readonly afterRevision: number;
  readonly completeRevision: number;
  /** An empty value stands for a deleted key. */
  readonly entries: readonly StoreEntry[];
  /** Whether the sender has more than fitted into the message. */
  readonly truncated: boolean;
}

export default StateDelta;
