/**
 * How old the knowledge of customers' keys may be.
 */

/** Times are in milliseconds. */
interface KeyLimits {
  /** Returns an upper bound of the time since every change of the keys was known. */
  getVerifiedAgeMs(): number;
  /** Returns the age from which on a key that is not known may belong to a customer. */
  getMaxUnknownKeyAgeMs(): number;
  /** Returns the age from which on a known key may have been revoked too long ago; Infinity: there is no such limit. */
  getMaxKnownKeyAgeMs(): number;
}

export default KeyLimits;
