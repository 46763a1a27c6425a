/**
 * A change reported by a watch.
 */
import type StoreEntry from './StoreEntry.js';

/** A put with its entry, or a deletion. */
type StoreEvent =
  | { readonly _tag: 'Put'; readonly entry: StoreEntry }
  | { readonly _tag: 'Delete'; readonly key: string; readonly revision: number };

export default StoreEvent;
