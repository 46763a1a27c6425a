/**
 * Source of time; tests replace it by a fake clock.
 */
import type Timer from './Timer.js';

/** A monotonic clock, a wall clock and timers. */
interface Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  getMonotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump. */
  getWallMs(): number;
  /** Calls the function once after the delay in milliseconds. */
  startTimer(delayMs: number, run: () => void): Timer;
}

export default Clock;
