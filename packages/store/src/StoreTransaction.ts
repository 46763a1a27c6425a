/**
 * A compare-and-swap over a few keys.
 */

/** All writes take effect atomically if every compared key still has the given revision, else none does. */
interface StoreTransaction {
  /** Required revisions of keys; zero requires that the key does not exist. */
  readonly compares: readonly { readonly key: string; readonly revision: number }[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: string;
    readonly leaseId?: string;
  }[];
  readonly deletes: readonly string[];
}

export default StoreTransaction;
