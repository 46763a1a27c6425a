/**
 * How many idle slots an owner lends.
 */

/** Judges one target at one request for a loan. */
interface LendingPolicy {
  /** Slots to lend at most, given those owned and not lent, those of them in use, and requests waiting here. */
  countLendable(ownedNotLent: number, inUse: number, waiting: number): number;
  /** Whether a loan's term may start anew while requests wait here. */
  isRenewable(waiting: number): boolean;
}

export default LendingPolicy;
