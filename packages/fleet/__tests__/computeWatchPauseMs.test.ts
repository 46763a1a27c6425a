/**
 * The pace of the reads of a fleet against the time in which a change must be applied.
 */
import { expect } from 'chai';
import computeWatchPauseMs from '../src/computeWatchPauseMs.js';

describe('computeWatchPauseMs', () => {
  it('leaves more than half of the time for the call and a busy VM', () => {
    [2000, 3000, 4000].forEach((maxStateAgeMs) => {
      const pauseMs = computeWatchPauseMs(maxStateAgeMs, false);
      expect(pauseMs).to.be.within(maxStateAgeMs / 4, maxStateAgeMs / 2);
    });
  });

  it('reads quickly until there is a configuration', () => {
    expect(computeWatchPauseMs(4000, true)).to.be.at.most(150);
    expect(computeWatchPauseMs(200, true)).to.be.at.most(100);
  });
});
