/**
 * Clock of a test that also moves from one reading to the next, as a real one does.
 */
import FakeClock from '@burdockcove/runtime/FakeClock';

/** Behaves like `FakeClock` until `stepMs` is set. */
export default class TickingClock extends FakeClock {
  /** Time that passes with each reading of the monotonic clock, in milliseconds. */
  stepMs = 0;

  private passedMs = 0;

  override getMonotonicMs(): number {
    this.passedMs += this.stepMs;
    return super.getMonotonicMs() + this.passedMs;
  }
}
