/**
 * A manually advanced clock for tests and simulations in virtual time.
 */
import { createClock } from '@sinonjs/fake-timers';
import type Clock from './Clock.js';
import type Timer from './Timer.js';

/** Instances are independent, so that nodes in one test can pause or have clocks that differ. */
export default class FakeClock implements Clock {
  private readonly timers = createClock(0);

  private wallOffsetMs = 0;

  getMonotonicMs(): number {
    return this.timers.now;
  }

  getWallMs(): number {
    return this.timers.now + this.wallOffsetMs;
  }

  startTimer(delayMs: number, run: () => void): Timer {
    const handle = this.timers.setTimeout(run, delayMs);
    return { cancel: () => this.timers.clearTimeout(handle) };
  }

  /** Advances time, running due timers and the promises they settle. */
  async advance(ms: number): Promise<void> {
    await this.timers.tickAsync(ms);
  }

  /** Shifts the wall clock without changing the monotonic clock. */
  shiftWallClock(ms: number): void {
    this.wallOffsetMs += ms;
  }
}
