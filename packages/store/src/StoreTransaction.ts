/**
 * A compare-and-swap over a few keys.
 */

/** All writes take effect at once when every key still has the revision named, else none does. */
interface StoreTransaction {
  /** Key revisions that must hold; zero requires that the key does not exist. */
  readonly compares: readonly { readonly key: string; readonly revision: number }[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: string;
    readonly leaseId?: string;
  }[];
  readonly deletes: readonly string[];
}

export default StoreTransaction;
