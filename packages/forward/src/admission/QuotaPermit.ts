/**
 * One request taken from a customer's quota.
 */

/** Held until the request has ended. */
interface QuotaPermit {
  /** Returns the request to the quota; called only if no target has run it and none will. */
  giveBack(): void;
}

export default QuotaPermit;
