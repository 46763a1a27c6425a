/**
 * The limit on retries.
 */
import type Service from '@burdockcove/types/Service';

/** Keeps retries at a share of first attempts, per service. `targetService` is the one whose targets get the request. */
interface RetryBudget {
  /** Counts the first attempt of a request, which earns a part of a retry. */
  recordFirstAttempt(service: Service, targetService: string): void;
  /** Takes one retry out of the budget; false where none is left. */
  tryRetry(service: Service, targetService: string): boolean;
}

export default RetryBudget;
