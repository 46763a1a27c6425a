/**
 * The limits of each part of a customer's quota.
 */

/** What one part may grant. */
interface PartLimits {
  /** Requests a second. */
  readonly ratePerS: number;
  /** Requests that the part holds at most. */
  readonly capacity: number;
}

/** All parts but the first are equal. */
interface PartQuota {
  readonly parts: number;
  readonly first: PartLimits;
  readonly others: PartLimits;
  /** How long a portion may be used, from when it was asked for, in milliseconds. */
  readonly lifetimeMs: number;
}

export default PartQuota;
