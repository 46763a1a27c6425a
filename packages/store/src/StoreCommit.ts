/**
 * Result of a store transaction.
 */

/** `committed` is false if a compare failed. */
interface StoreCommit {
  readonly committed: boolean;
  /** The store's revision after the transaction. */
  readonly revision: number;
}

export default StoreCommit;
