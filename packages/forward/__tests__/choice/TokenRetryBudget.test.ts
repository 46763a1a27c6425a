/**
 * The retry budget of one entry VM.
 */
import { expect } from 'chai';
import { Registry } from 'prom-client';
import TokenRetryBudget from '../../src/admission/TokenRetryBudget.js';
import ChooserHarness from './ChooserHarness.js';

describe('TokenRetryBudget', () => {
  const { service } = new ChooserHarness();

  it('limits retries to the configured share of first attempts when every attempt fails', () => {
    const budget = new TokenRetryBudget(new Registry());
    let retries = 0;
    for (let index = 0; index < 10_000; index += 1) {
      budget.recordFirstAttempt(service);
      retries += budget.tryAcquireRetry(service) ? 1 : 0;
    }
    expect(retries).to.be.within(1_000, 1_002);
  });

  it('caps the retries that accumulate while there are no failures', () => {
    const budget = new TokenRetryBudget(new Registry());
    Array.from({ length: 100_000 }).forEach(() => budget.recordFirstAttempt(service));
    const retries = Array.from({ length: 1_000 }, () => budget.tryAcquireRetry(service));
    expect(retries.filter((isAllowed) => isAllowed)).to.have.length(20);
  });

  it('allows no retry if the share is zero, and keeps a budget per service', () => {
    const budget = new TokenRetryBudget(new Registry());
    expect(budget.tryAcquireRetry({ ...service, retryBudget: 0 })).to.equal(false);
    expect(budget.tryAcquireRetry({ ...service, name: 'ledger' })).to.equal(true);
  });
});
