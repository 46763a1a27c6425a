/**
 * Admission of requests by the quotas of customers.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type Customer from '@burdockcove/types/Customer';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type QuotaPermit from './QuotaPermit.js';

/** Implemented by the package that enforces quotas over all entry VMs. */
interface QuotaGate {
  /**
   * Takes one request from the customer's quota. Left with `NotRun` if the quota is used up, or if it cannot be decided
   * before the monotonic time in milliseconds.
   */
  acquire(customer: Customer, deadlineAtMs: number): Promise<Either<RequestFailure, QuotaPermit>>;
}

export default QuotaGate;
