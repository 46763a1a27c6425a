/**
 * Age of what an entry VM knows from the store.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import StateAge from '../src/StateAge.js';

describe('StateAge', () => {
  it('counts from the last response of the store, on the monotonic clock', async () => {
    const clock = new FakeClock();
    const stateAge = new StateAge(clock);
    expect(stateAge.getAgeMs()).to.equal(Infinity);
    stateAge.recordConfirmed();
    clock.shiftWallClock(60_000);
    await clock.advance(700);
    expect(stateAge.getAgeMs()).to.equal(700);
  });
});
