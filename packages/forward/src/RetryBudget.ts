/**
 * The limit on retries.
 */

/** Retries are kept to a share of first attempts, per service. */
interface RetryBudget {
  /** Counts a request's first attempt. */
  recordFirstAttempt(service: string): void;
  /** Takes one retry from the budget; false where none is left. */
  tryRetry(service: string): boolean;
}

export default RetryBudget;
