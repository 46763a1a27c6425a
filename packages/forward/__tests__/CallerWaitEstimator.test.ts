/**
 * Callers that retry after an outage: the time they have waited is derived from the deadline that is left.
 */
import { expect } from 'chai';
import CallerWaitEstimator from '../src/ingress/CallerWaitEstimator.js';

describe('CallerPatience', () => {
  it('assumes that new requests have the longest deadline seen for the service', () => {
    const estimator = new CallerWaitEstimator();
    expect(estimator.estimateWaitedMs('desk', 4000)).to.equal(0);
    expect(estimator.estimateWaitedMs('desk', 2500)).to.equal(1500);
    expect(estimator.estimateWaitedMs('ledger', 2500)).to.equal(0);
  });

  it('records a bounded number of services', () => {
    const estimator = new CallerWaitEstimator();
    estimator.estimateWaitedMs('first', 4000);
    for (let index = 0; index < 1100; index += 1) {
      estimator.estimateWaitedMs(`service ${index}`, 4000);
    }
    expect(estimator.estimateWaitedMs('first', 2500)).to.equal(0);
  });
});
