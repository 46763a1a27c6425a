/**
 * Load with slow first visits of objects: a target that works is not taken for a silent one.
 */
import { expect } from 'chai';
import computeSilenceLimitMs from '../src/exchange/computeSilenceLimitMs.js';

describe('computeSilenceLimitMs', () => {
  it('waits twice the aim where the target has answered faster so far', () => {
    expect(computeSilenceLimitMs(300, 600, 4000)).to.equal(1200);
  });

  it('follows the target where it takes longer than the aim', () => {
    expect(computeSilenceLimitMs(1800, 600, 4000)).to.equal(1800);
  });

  it('leaves half of the remaining time to another target', () => {
    expect(computeSilenceLimitMs(3000, 600, 2500)).to.equal(1250);
  });
});
