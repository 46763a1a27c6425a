/**
 * A pending timer.
 */

/** Returned by a clock; cancelling a timer that fired or was cancelled has no effect. */
interface Timer {
  cancel(): void;
}

export default Timer;
