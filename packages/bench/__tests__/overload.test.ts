/**
 * Recovery after an overload with callers that try again at once.
 */
import { expect } from 'chai';
import runOverload from '../src/benches/overload/runOverload.js';

const SEED = 11;
const CAPACITY_PER_SECOND = 480;

describe('overload', () => {
  it('keeps goodput and recovers within seconds, where an unbounded queue does neither', async () => {
    const own = await runOverload('split', 2, SEED);
    const baseline = await runOverload('unbounded', 2, SEED);
    expect(own.goodput).to.be.at.least(0.9 * CAPACITY_PER_SECOND);
    expect(own.recoverySeconds).to.be.at.most(5);
    expect(baseline.goodput).to.be.below(0.9 * CAPACITY_PER_SECOND);
    expect(baseline.recoverySeconds).to.be.above(5);
  }).timeout(120_000);
});
