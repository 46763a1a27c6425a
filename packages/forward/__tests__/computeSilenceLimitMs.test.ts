/**
 * Slow first requests for objects: a target that still works on one must not count as silent.
 */
import { expect } from 'chai';
import computeSilenceLimitMs from '../src/exchange/computeSilenceLimitMs.js';

describe('computeSilenceLimitMs', () => {
  it('is twice the target latency if the target responded faster so far', () => {
    expect(computeSilenceLimitMs(300, 600, 4000)).to.equal(1200);
  });

  it('follows the latency of the target if that exceeds the target latency', () => {
    expect(computeSilenceLimitMs(1800, 600, 4000)).to.equal(1800);
  });

  it('reserves half of the remaining time for another target', () => {
    expect(computeSilenceLimitMs(3000, 600, 2500)).to.equal(1250);
  });
});
