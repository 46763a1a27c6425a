/**
 * A request in flight at a target.
 */

/** Times are in milliseconds. */
interface SentRequest {
  /** Monotonic time at which it was sent. */
  readonly sentAtMs: number;
  readonly expectedDurationMs: number;
}

export default SentRequest;
