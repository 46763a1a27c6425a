/**
 * Policy that decides how many idle slots an owner lends.
 */

/** Evaluated for one target and one loan request at a time. */
interface LendingPolicy {
  /**
   * Maximum number of slots to lend, given the slots owned and not lent, how many of them are in
   * use, and the number of local requests waiting.
   */
  countLendable(ownedNotLent: number, inUse: number, waiting: number): number;
  /** Whether a loan may be renewed while this many local requests wait. */
  isRenewable(waiting: number): boolean;
}

export default LendingPolicy;
