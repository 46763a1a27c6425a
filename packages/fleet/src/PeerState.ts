/**
 * State of the store as another entry VM passes it on.
 */
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreEvent from '@burdockcove/store/StoreEvent';

/** Proves how old it is: everything until `revision` of the era is in it, and nothing newer was in the store `ageMs` ago. */
interface PeerState {
  readonly revision: number;
  /** Era of the store that the revision belongs to; absent: 0, or not known to a VM of an earlier version. */
  readonly era?: number | undefined;
  /** Milliseconds since the store, or the VM that the sender has it from, confirmed the state. */
  readonly ageMs: number;
  /** Upper bound of the age: since the store was asked for what the state holds; absent where the sender has none. */
  readonly verifiedAgeMs?: number | undefined;
  /** Entries that the sender goes by although the store, since a return, shows earlier ones; absent: none. */
  readonly kept?: readonly StoreEntry[] | undefined;
  readonly content:
    | { readonly _tag: 'Changes'; readonly events: readonly StoreEvent[] }
    | { readonly _tag: 'Snapshot'; readonly entries: readonly StoreEntry[] };
}

export default PeerState;
