/**
 * Fencing of a role's writes.
 */
import type HeldRole from './HeldRole.js';
import type StoreTransaction from './StoreTransaction.js';

/** Returns the compare clause that every write under the role must contain. */
export default function buildFence(held: HeldRole): StoreTransaction['compares'][number] {
  return { key: held.key, revision: held.epoch };
}
