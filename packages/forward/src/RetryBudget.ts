/**
 * The retry budget: a limit on retries relative to first attempts.
 */
import type Service from '@burdockcove/types/Service';

/**
 * Limits retries of each service to a share of its first attempts. `targetService` is the service whose targets receive
 * the request.
 */
interface RetryBudget {
  /** Records the first attempt of a request, which adds a fraction of a retry to the budget. */
  recordFirstAttempt(service: Service, targetService: string): void;
  /** Takes one retry from the budget. Returns false if none is left. */
  tryAcquireRetry(service: Service, targetService: string): boolean;
}

export default RetryBudget;
