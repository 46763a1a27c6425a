/**
 * Knowledge about a caller is refreshed by its age.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import CallerState from '../src/exchange/CallerState.js';

describe('CallerState', () => {
  /** Returns whether the caller, which leaves in the next poll of the event loop, is known to be gone. */
  async function refreshAfter(clock: FakeClock, caller: CallerState, ms: number): Promise<boolean> {
    await clock.advance(ms);
    setImmediate(() => caller.markDisconnected());
    await caller.refresh(clock);
    return caller.isDisconnected();
  }

  // Guards against requests that are sent on what was known of their callers before a stall.
  [
    { ageMs: 0, isKnown: false },
    { ageMs: 99, isKnown: false },
    { ageMs: 100, isKnown: true },
    { ageMs: 2000, isKnown: true },
  ].forEach(({ ageMs, isKnown }) => {
    it(`${isKnown ? 'reads' : 'does not wait for'} events that are due after ${ageMs} ms`, async () => {
      const clock = new FakeClock();
      const caller = new CallerState(new AbortController().signal);
      await caller.refresh(clock);
      expect(await refreshAfter(clock, caller, ageMs)).to.equal(isKnown);
    });
  });
});
