/**
 * What this entry VM knows of its own registration and of the age of its knowledge.
 */

/** Times are monotonic, in milliseconds. */
interface OwnershipEvidence {
  /** Returns the end of the lease, counted from when its last renewal was requested; -Infinity without a lease. */
  getLeaseValidUntilMs(): number;
  /**
   * Returns when this VM's registration was known to be in the store, without a gap since; before the start of the
   * process if it replaced the registration of an earlier one. Infinity while there is none.
   */
  getRegisteredSinceMs(): number;
  /** Returns an upper bound of the age of the membership that this VM knows. */
  getVerifiedAgeMs(): number;
}

export default OwnershipEvidence;
