/**
 * The store's answer to a transaction.
 */

/** `committed` is false when a compare did not hold. */
interface StoreCommit {
  readonly committed: boolean;
  /** The store's revision after the transaction. */
  readonly revision: number;
}

export default StoreCommit;
