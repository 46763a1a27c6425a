/**
 * Callers that come back after an outage: how long they have waited is told by what is left of their deadline.
 */
import { expect } from 'chai';
import CallerWaitEstimator from '../src/ingress/CallerWaitEstimator.js';

describe('CallerPatience', () => {
  it('takes the longest deadline of a service for that of a new request', () => {
    const patience = new CallerWaitEstimator();
    expect(patience.estimateWaitedMs('desk', 4000)).to.equal(0);
    expect(patience.estimateWaitedMs('desk', 2500)).to.equal(1500);
    expect(patience.estimateWaitedMs('ledger', 2500)).to.equal(0);
  });

  it('remembers a bounded number of services', () => {
    const patience = new CallerWaitEstimator();
    patience.estimateWaitedMs('first', 4000);
    for (let index = 0; index < 1100; index += 1) {
      patience.estimateWaitedMs(`service ${index}`, 4000);
    }
    expect(patience.estimateWaitedMs('first', 2500)).to.equal(0);
  });
});
