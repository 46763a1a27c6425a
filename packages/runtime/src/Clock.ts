/**
 * Time as a process sees it; tests put a fake clock in its place.
 */
import type Timer from './Timer.js';

/** A monotonic clock, a wall clock and timers. */
interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  getMonotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump. */
  getWallMs(): number;
  /** Calls the function once after the delay in milliseconds. */
  startTimer(delayMs: number, run: () => void): Timer;
}

export default Clock;
