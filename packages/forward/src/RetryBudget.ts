/**
 * The limit on retries.
 */
import type Service from '@burdockcove/types/Service';

/** Keeps retries at a share of first attempts, per service. */
interface RetryBudget {
  /** Counts the first attempt of a request, which earns a part of a retry. */
  recordFirstAttempt(service: Service): void;
  /** Takes one retry out of the budget; false where none is left. */
  tryRetry(service: Service): boolean;
}

export default RetryBudget;
