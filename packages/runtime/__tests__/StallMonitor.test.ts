/**
 * Stalls are reported with their length, so that on-call can tell late requests from slow targets.
 */
import { expect } from 'chai';
import FakeClock from '../src/FakeClock.js';
import Logger from '../src/Logger.js';
import StallMonitor from '../src/StallMonitor.js';

/** A clock that stands still for a while before a timer is handled. */
class StallingClock extends FakeClock {
  private stalledMs = 0;

  override getMonotonicMs(): number {
    return super.getMonotonicMs() + this.stalledMs;
  }

  stall(ms: number): void {
    this.stalledMs += ms;
  }
}

describe('StallMonitor', () => {
  it('reports each stall once, and no short delay', async () => {
    const clock = new StallingClock();
    const stalls: number[] = [];
    const monitor = new StallMonitor(clock, new Logger('silent', 'json'), (ms) => stalls.push(ms));
    const abort = new AbortController();
    const done = monitor.run(abort.signal);
    await clock.advance(1000);
    clock.stall(2500);
    await clock.advance(1000);
    clock.stall(50);
    await clock.advance(1000);
    abort.abort();
    await done;
    expect(stalls).to.deep.equal([2500]);
  });
});
