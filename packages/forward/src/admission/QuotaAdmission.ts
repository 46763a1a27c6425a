/**
 * Runs requests within the quotas of their customers.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type CallerRequest from '../exchange/CallerRequest.js';
import type QuotaGate from './QuotaGate.js';

/** Without a gate there are no quotas. */
export default class QuotaAdmission {
  constructor(private readonly gate?: QuotaGate) {}

  /**
   * Forwards the request once its customer's quota has room; left if it has not been forwarded. `forward` resolves with
   * whether a target may have run the request; if none has, the request does not count for the quota.
   */
  async runWithinQuota(
    { customer, caller, deadlineAtMs }: CallerRequest,
    forward: () => Promise<boolean>,
  ): Promise<Either<RequestFailure, void>> {
    // The request of a caller that has left is not sent, so that it needs no permit.
    if (this.gate === undefined || customer?.quota === undefined || caller.isDisconnected()) {
      await forward();
      return right(undefined);
    }
    const permit = await this.gate.acquire(customer, deadlineAtMs);
    if (isLeft(permit)) {
      return left(permit.left);
    }
    if (!(await forward())) {
      permit.right.giveBack();
    }
    return right(undefined);
  }
}
