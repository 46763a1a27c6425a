/**
 * Fencing of a role's writes.
 */
import type HeldRole from './HeldRole.js';
import type StoreTransaction from './StoreTransaction.js';

/** The compare clause that every write made under the role must carry. */
export default function buildFence(held: HeldRole): StoreTransaction['compares'][number] {
  return { key: held.key, revision: held.epoch };
}
