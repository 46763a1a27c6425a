/**
 * Metrics of requests that wait for capacity at a target.
 */

/** Updated by the admission queue. */
interface WaitMetrics {
  /** Registers the function that returns the number of waiting requests. */
  watchWaiting(count: () => number): void;
  /** Records the end of a wait in milliseconds, and whether the request got a target. */
  recordWait(waitedMs: number, isServed: boolean): void;
}

export default WaitMetrics;
