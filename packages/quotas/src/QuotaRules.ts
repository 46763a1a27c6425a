/**
 * The bound on what runs of a customer's requests.
 */

/** In a window, at most `(rate x window + burst) x (1 + overage) + slack` requests run. */
interface QuotaRules {
  readonly windowMs: number;
  readonly overage: number;
  /** Requests. */
  readonly slack: number;
}

export default QuotaRules;
