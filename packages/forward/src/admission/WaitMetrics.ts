/**
 * Measurements of requests that wait for room.
 */

/** Called by the waiting room. */
interface WaitMetrics {
  /** Names where the number of waiting requests is read. */
  watchWaiting(count: () => number): void;
  /** Records a wait that has ended, and whether it ended with a target. */
  recordWait(waitedMs: number, isServed: boolean): void;
}

export default WaitMetrics;
