/**
 * Timing of the watch calls to the store.
 */

/** In milliseconds. */
interface WatchTiming {
  /** How long the store holds a call; limits how long a silent connection goes undetected. */
  readonly waitMs: number;
  /** Pause between two calls, so that one call returns a series of changes. */
  readonly pauseMs: number;
}

export default WatchTiming;
