/**
 * A request in flight at a target.
 */

/** Times are in milliseconds. */
interface SentRequest {
  /** Monotonic time at which it was sent. */
  readonly sentAtMs: number;
  /** Expected time of its work, without the wait for a slot. */
  readonly expectedDurationMs: number;
  /** Expected wait for a slot when it was sent. */
  readonly expectedWaitMs: number;
}

export default SentRequest;
