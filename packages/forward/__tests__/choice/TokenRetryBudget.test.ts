/**
 * The limit on retries.
 */
import { expect } from 'chai';
import { Registry } from 'prom-client';
import TokenRetryBudget from '../../src/admission/TokenRetryBudget.js';
import ChooserHarness from './ChooserHarness.js';

describe('TokenRetryBudget', () => {
  const { service } = new ChooserHarness();

  it('keeps retries at the share of first attempts when every attempt fails', () => {
    const budget = new TokenRetryBudget(new Registry());
    let retries = 0;
    for (let index = 0; index < 10_000; index += 1) {
      budget.recordFirstAttempt(service);
      retries += budget.tryAcquireRetry(service) ? 1 : 0;
    }
    expect(retries).to.be.within(1_000, 1_002);
  });

  it('saves up no storm in quiet times', () => {
    const budget = new TokenRetryBudget(new Registry());
    Array.from({ length: 100_000 }).forEach(() => budget.recordFirstAttempt(service));
    const retries = Array.from({ length: 1_000 }, () => budget.tryAcquireRetry(service));
    expect(retries.filter((allowed) => allowed)).to.have.length(20);
  });

  it('allows none where the share is zero, and keeps services apart', () => {
    const budget = new TokenRetryBudget(new Registry());
    expect(budget.tryAcquireRetry({ ...service, retryBudget: 0 })).to.equal(false);
    expect(budget.tryAcquireRetry({ ...service, name: 'ledger' })).to.equal(true);
  });
});
